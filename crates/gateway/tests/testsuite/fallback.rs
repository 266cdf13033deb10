//! A router whose upstreams fail and that reads the store itself. No network; time is paused.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_gateway::store::{Feed, MemStore, Record, Store};
use swiftlink_gateway::watch::{self, PeerFeeds, PeerPage, PeerUpdate, Upstreams};
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::VmName;
use swiftlink_wire::link::{FeedKind, GetFeed};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::net::name;
use crate::starts::{Entries, used};
use crate::watch::NoDialect;

/// An upstream that answers once, with what it knew some time ago, and is cut off then.
#[derive(Debug)]
struct CutUpstream {
    servers: Vec<Record>,
    age: Duration,
    has_answered: AtomicBool,
}

#[async_trait]
impl PeerFeeds for CutUpstream {
    async fn fetch(&self, _feed: Feed, _from: u64) -> Option<PeerPage> {
        None
    }

    fn upstreams(&self, _feed: Feed) -> Option<Upstreams> {
        Some(Upstreams {
            vms: vec![name(1)],
            has_followers: false,
            is_leaf: true,
        })
    }

    async fn follow(&self, _vm: &VmName, query: GetFeed, time: Duration) -> Option<PeerUpdate> {
        if query.kind() != FeedKind::Servers || self.has_answered.swap(true, SeqCst) {
            sleep(time).await;
            return None;
        }
        Some(PeerUpdate {
            page: PeerPage {
                records: self.servers.clone(),
                age: Some(self.age),
            },
            process: 1,
            revision: 2,
            end: 2,
            is_complete: true,
            is_confirmed: false,
        })
    }
}

fn record(offset: u64, key: &str, value: &'static str) -> Record {
    Record {
        offset,
        key: key.to_owned(),
        value: Some(Bytes::from(value)),
    }
}

/// Guards against requests that reach a server too long after its entry was removed. A router that
/// starts while nearly all others are cut off gets what one of them knew before, and waits for a
/// better answer before it reads the store. It took that read for the end of an outage of the store,
/// since it knew nothing of the seconds before, and kept a server whose entry was missing.
#[tokio::test(start_paused = true)]
async fn a_router_that_starts_with_outdated_servers_drops_a_removed_one_in_time() {
    let drain = Duration::from_secs(3);
    for run in 0..20 {
        let store = Arc::new(MemStore::new());
        let servers = vec![record(0, "a", "1 1"), record(1, "b", "1 2")];
        for server in &servers {
            store.put(Feed::Servers, &server.key, server.value.clone());
        }
        store.put(Feed::Config, "config", Some(Bytes::from_static(b"x")));
        let mut settings = crate::pools::settings();
        settings.config_apply = drain;
        settings.drain = drain;
        let node = Arc::new(Node::new(settings, Arc::new(NoDialect)));
        node.pools
            .set_config(&crate::pools::config(), &node.settings);
        let peers: Arc<dyn PeerFeeds> = Arc::new(CutUpstream {
            servers,
            age: Duration::from_secs(4),
            has_answered: AtomicBool::new(false),
        });
        let catalog: Arc<dyn Catalog> = Arc::new(Entries);
        let path = Arc::clone(&store) as Arc<dyn Store>;
        let mut tasks = JoinSet::new();
        watch::spawn(&mut tasks, &node, &path, &catalog, &peers);
        sleep(Duration::from_millis(1_900)).await;
        store.put(Feed::Servers, "a", None);
        sleep(drain).await;
        let pool = node.pools.get(&"pool".into()).expect("a pool");
        let used = used(&pool);
        assert!(!used.contains_key("a"), "run {run}: {used:?}");
        assert!(used.contains_key("b"), "run {run}: {used:?}");
    }
}
