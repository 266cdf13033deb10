//! Property tests of the directory over histories of starts, restarts, removals and foreign
//! entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use swiftlink_gateway::catalog::{CatalogError, ServerEntry};
use swiftlink_gateway::fleet::{Pool, ServerCriteria};
use swiftlink_gateway::model::Config;
use swiftlink_gateway::store::{Feed, MemStore, StoreFault};
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName, WallMs};
use tokio::time::sleep;

use crate::watch::{NoDialect, follow_alone};

/// Number of server names in a history.
const SERVERS: u8 = 3;
/// Time after which all writes are known and lapsed entries are gone: the longest poll, a pause and
/// the grace period of lapsed entries.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A step of a history.
#[derive(Clone, Debug)]
enum Event {
    /// An instance of a server writes its entry; 0 stands for an unknown start time.
    Put {
        name: u8,
        started: WallMs,
        port: u16,
    },
    /// Another writer writes an unreadable value under its name.
    Garbage { name: u8 },
    /// Its entry is removed.
    Remove { name: u8 },
    /// The store becomes unavailable or available.
    Outage(bool),
    /// Nothing happens for some milliseconds.
    Pause(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let put = (0..SERVERS, 0..4_u64, 1..3_u16);
    prop_oneof![
        4 => put.prop_map(|(name, started, port)| Event::Put { name, started, port }),
        1 => (0..SERVERS).prop_map(|name| Event::Garbage { name }),
        1 => (0..SERVERS).prop_map(|name| Event::Remove { name }),
        1 => any::<bool>().prop_map(Event::Outage),
        2 => (0..4_000_u64).prop_map(Event::Pause),
    ]
}

/// Decodes entries of the form `started port`.
#[derive(Debug)]
pub(crate) struct Entries;

impl Catalog for Entries {
    fn config(&self, _key: &str, _value: &[u8]) -> Result<Option<Config>, CatalogError> {
        Ok(None)
    }

    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError> {
        let text = String::from_utf8_lossy(value);
        let fields = text.split_once(' ').and_then(|(started, port)| {
            let fields = (started.parse().ok()?, port.parse().ok()?);
            Some(fields)
        });
        let (started, port) = fields.ok_or_else(|| CatalogError {
            key: key.to_owned(),
            reason: "something else".to_owned(),
        })?;
        Ok(ServerEntry {
            instance: ServerInstance::new(ServerName::from(key), started),
            pool: PoolName::from("pool"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            domain: DomainName::from("a"),
            slots: 4,
            version: "v1".into(),
            draining: false,
            warmup: Duration::ZERO,
        })
    }
}

/// The expected servers: of each name the newest instance, unless its entry was removed or another
/// writer has written since. An entry without a start time counts as foreign if the server has
/// reported one before.
#[derive(Debug, Default)]
struct Model {
    used: BTreeMap<String, (WallMs, u16)>,
    newest: BTreeMap<String, WallMs>,
}

impl Model {
    fn take(&mut self, event: &Event) {
        match *event {
            Event::Put {
                name,
                started,
                port,
            } => {
                let newest = self.newest.entry(key(name)).or_default();
                if started == 0 && *newest > 0 {
                    self.used.remove(&key(name));
                    return;
                }
                if started >= *newest {
                    *newest = started;
                    self.used.insert(key(name), (started, port));
                }
            }
            Event::Garbage { name } | Event::Remove { name } => {
                self.used.remove(&key(name));
            }
            Event::Outage(_) | Event::Pause(_) => {}
        }
    }
}

fn key(name: u8) -> String {
    format!("s{name}")
}

async fn apply(store: &MemStore, event: &Event) {
    let put = |name: u8, value: Option<String>| {
        store.put(Feed::Servers, &key(name), value.map(Bytes::from));
    };
    match *event {
        Event::Put {
            name,
            started,
            port,
        } => put(name, Some(format!("{started} {port}"))),
        Event::Garbage { name } => put(name, Some("garbage".to_owned())),
        Event::Remove { name } => put(name, None),
        Event::Outage(true) => store.set_fault(StoreFault::Unavailable),
        Event::Outage(false) => store.set_fault(StoreFault::None),
        Event::Pause(ms) => sleep(Duration::from_millis(ms)).await,
    }
}

/// All servers that the pool sends work to.
pub(crate) fn used(pool: &Arc<Pool>) -> BTreeMap<String, (WallMs, u16)> {
    let mut used = BTreeMap::new();
    let mut tried = Vec::new();
    loop {
        let criteria = ServerCriteria {
            latency_target: Duration::from_secs(1),
            exclude: &tried,
            ..ServerCriteria::default()
        };
        let Some((server, ticket)) = pool.send(&criteria) else {
            break;
        };
        let place = (server.instance.started, server.destination.address.port());
        used.insert(server.instance.name.to_string(), place);
        tried.push(ticket.idx);
    }
    used
}

async fn follow(events: &[Event]) -> (BTreeMap<String, (WallMs, u16)>, Model) {
    let store = Arc::new(MemStore::new());
    let node = Arc::new(Node::new(crate::pools::settings(), Arc::new(NoDialect)));
    node.pools
        .set_config(&crate::pools::config(), &node.settings);
    let _tasks = follow_alone(&node, &store, Entries);
    sleep(Duration::from_millis(10)).await;
    let mut model = Model::default();
    for event in events {
        apply(&store, event).await;
        model.take(event);
    }
    store.set_fault(StoreFault::None);
    sleep(SETTLE_TIME).await;
    let pool = node.pools.get(&"pool".into()).expect("a pool");
    (used(&pool), model)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever is written under the servers' names, in any order, requests go to the servers and
    /// addresses of the newest readable entries.
    #[test]
    fn the_newest_readable_entries_are_used(events in vec(event(), 1..30)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (used, model) = runtime.block_on(follow(&events));
        prop_assert_eq!(used, model.used);
    }
}
