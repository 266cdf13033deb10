//! Tests of failure domains that operators drain and restore: the state that a router knows, in
//! whatever order the store and other routers deliver it, and what it does with that state.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use swiftlink_gateway::catalog::{CatalogError, DomainChange, ServerEntry};
use swiftlink_gateway::domains::{Domains, allowed_domains};
use swiftlink_gateway::freshness::Freshness;
use swiftlink_gateway::model::Config;
use swiftlink_gateway::store::{Feed, MemStore, Record, Store, StoreFault};
use swiftlink_gateway::watch::{DrainedDomains, FeedUpdate, PeerPage, Reader};
use swiftlink_gateway::{Catalog, Node};
use swiftlink_types::{DomainName, RegionName};
use tokio::time::{Instant, advance, sleep};

use crate::clock::TestClock;
use crate::starts::Entries;
use crate::watch::{NoDialect, follow_alone};

/// Failure domains of a history.
const DOMAINS: usize = 3;

/// Events of the feed and of its readers.
#[derive(Clone, Debug)]
enum Event {
    Drain(usize),
    Restore(usize),
    /// A record about something else.
    Other,
    /// The store keeps only the newest records.
    Compact,
    /// While set, reads return the state of the time it was set.
    Rewind(bool),
    Poll,
    /// Another router sends a page of what it knew at some time, from an offset on.
    Receive {
        at: usize,
        from: usize,
        limit: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..DOMAINS).prop_map(Event::Drain),
        3 => (0..DOMAINS).prop_map(Event::Restore),
        2 => Just(Event::Other),
        2 => Just(Event::Compact),
        1 => any::<bool>().prop_map(Event::Rewind),
        4 => Just(Event::Poll),
        4 => (0..60usize, 0..60usize, 1..8usize)
            .prop_map(|(at, from, limit)| Event::Receive { at, from, limit }),
    ]
}

fn key(domain: usize) -> String {
    format!("empty/{domain}")
}

/// The complete history of the feed, and a reader of it.
struct History {
    store: Arc<MemStore>,
    all: Vec<Record>,
    reader: Reader,
    drained: DrainedDomains,
    /// By key, the latest point of the history that the reader received.
    received: HashMap<String, u64>,
}

impl History {
    fn new() -> Self {
        let store = Arc::new(MemStore::new());
        let reader = Reader::new(Feed::Config, Arc::clone(&store) as Arc<dyn Store>);
        Self {
            store,
            all: Vec::new(),
            reader,
            drained: DrainedDomains::default(),
            received: HashMap::new(),
        }
    }

    fn write(&mut self, key: &str, value: Option<&'static str>) {
        let value = value.map(Bytes::from);
        self.store.put(Feed::Config, key, value.clone());
        self.all.push(Record {
            offset: self.all.len() as u64,
            key: key.to_owned(),
            value,
        });
    }

    /// The latest record of `key` before a point of the history.
    fn newest(&self, key: &str, end: u64) -> Option<&Record> {
        let before = &self.all[..end as usize];
        before.iter().rev().find(|record| record.key == key)
    }

    fn apply_update(&mut self, update: &FeedUpdate) {
        if let Some(keys) = &update.keys {
            self.drained.retain(keys);
            for domain in 0..DOMAINS {
                if !keys.contains(&key(domain)) {
                    let received = self.received.entry(key(domain)).or_default();
                    *received = (*received).max(update.end);
                }
            }
        }
        for change in &update.changes {
            if change.key == "other" {
                continue;
            }
            let received = self.received.entry(change.key.clone()).or_default();
            *received = (*received).max(change.offset + 1);
            let domain_change = DomainChange {
                domain: DomainName::from(change.key.as_str()),
                is_drained: change.value.is_some(),
            };
            self.drained.take(&change.key, &domain_change);
        }
    }

    async fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Drain(domain) => self.write(&key(*domain), Some("{}")),
            Event::Restore(domain) => self.write(&key(*domain), None),
            Event::Other => self.write("other", Some("x")),
            Event::Compact => self.store.compact(Feed::Config),
            Event::Rewind(true) => self.store.set_fault(StoreFault::Stale),
            Event::Rewind(false) => self.store.set_fault(StoreFault::None),
            Event::Poll => {
                let update = self.reader.poll(Duration::ZERO).await.expect("an update");
                self.apply_update(&update);
            }
            Event::Receive { at, from, limit } => {
                let received = self.page_at(*at, *from, *limit);
                let update = self.reader.take_peer_page(received, Instant::now());
                self.apply_update(&update);
            }
        }
    }

    /// The latest record of each key as of a point of the history, from an offset on.
    fn page_at(&self, at: usize, from: usize, limit: usize) -> PeerPage {
        let known = &self.all[..at.min(self.all.len())];
        let mut newest: BTreeMap<&str, &Record> = BTreeMap::new();
        for record in known {
            newest.insert(&record.key, record);
        }
        let mut records: Vec<Record> = newest.into_values().cloned().collect();
        records.retain(|record| record.offset >= from as u64);
        records.sort_by_key(|record| record.offset);
        records.truncate(limit);
        PeerPage { records, age: None }
    }

    /// Checks that the known state of each domain comes from a record no older than any that was
    /// received for it.
    fn check(&self) {
        for domain in 0..DOMAINS {
            let key = key(domain);
            let received = self.received.get(&key).copied().unwrap_or(0);
            let known = self.drained.domains().contains(key.as_str());
            let expected = self
                .newest(&key, received)
                .is_some_and(|record| record.value.is_some());
            assert_eq!(known, expected, "{key} as of {received}");
        }
    }
}

proptest! {
    /// Missed removals, lost histories, stale reads and peers that know less, in any order.
    #[test]
    fn domain_state_never_goes_back(events in vec(event(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let mut history = History::new();
            for event in &events {
                history.apply_event(event).await;
                history.check();
            }
            // Once the store returns its current state, all of it is known.
            history.store.set_fault(StoreFault::None);
            history.store.compact(Feed::Config);
            for _ in 0..2 {
                history.apply_event(&Event::Poll).await;
            }
            for domain in 0..DOMAINS {
                let key = key(domain);
                let end = history.all.len() as u64;
                let last = history.newest(&key, end);
                let is_drained = last.is_some_and(|record| record.value.is_some());
                assert_eq!(history.drained.domains().contains(key.as_str()), is_drained);
            }
        });
    }
}

/// A late record about a domain whose removal was only noticed since its key was gone.
#[tokio::test]
async fn domain_restored_between_polls_stays_open() {
    let mut history = History::new();
    history.write(&key(0), Some("{}"));
    history.apply_event(&Event::Poll).await;
    history.write(&key(0), None);
    history.write("other", Some("x"));
    history.store.compact(Feed::Config);
    history.apply_event(&Event::Poll).await;
    history.check();
    let receive = Event::Receive {
        at: 1,
        from: 0,
        limit: 8,
    };
    history.apply_event(&receive).await;
    history.check();
    assert!(history.drained.domains().is_empty());
}

/// Configuration under `config`, drained failure domains under `empty/NAME`, servers as in
/// [`Entries`].
#[derive(Debug)]
struct Documents;

impl Catalog for Documents {
    fn config(&self, key: &str, _value: &[u8]) -> Result<Option<Config>, CatalogError> {
        Ok((key == "config").then(crate::pools::config))
    }

    fn domain(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<DomainChange>, CatalogError> {
        let Some(name) = key.strip_prefix("empty/") else {
            return Ok(None);
        };
        if value.is_some_and(|value| value != b"{}") {
            return Err(CatalogError {
                key: key.to_owned(),
                reason: "unreadable".to_owned(),
            });
        }
        Ok(Some(DomainChange {
            domain: DomainName::from(name),
            is_drained: value.is_some(),
        }))
    }

    fn server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError> {
        Entries.server(key, value)
    }
}

fn node(domains: &[&str]) -> Arc<Node> {
    let mut settings = crate::pools::settings();
    settings.regions = domains
        .iter()
        .map(|domain| (DomainName::from(*domain), RegionName::from("r")))
        .collect();
    Arc::new(Node::new(settings, Arc::new(NoDialect)))
}

fn put(store: &MemStore, key: &str, value: Option<&'static str>) {
    store.put(Feed::Config, key, value.map(Bytes::from));
}

fn drained(node: &Node) -> Vec<String> {
    let mut names: Vec<String> = node
        .pools
        .domains()
        .drained()
        .iter()
        .map(ToString::to_string)
        .collect();
    names.sort();
    names
}

/// A router that reaches the store must apply changes within five seconds; the tests allow about a
/// quarter of that.
const APPLY_TIME: Duration = Duration::from_millis(1_300);

#[tokio::test(start_paused = true)]
async fn router_applies_drained_and_restored_domains() {
    let store = Arc::new(MemStore::new());
    let node = node(&["a", "b"]);
    let _tasks = follow_alone(&node, &store, Documents);
    put(&store, "config", Some("config"));
    sleep(APPLY_TIME).await;
    assert!(drained(&node).is_empty());
    put(&store, "empty/a", Some("{}"));
    sleep(APPLY_TIME).await;
    assert_eq!(drained(&node), ["a"]);
    put(&store, "empty/b", Some("{}"));
    put(&store, "empty/a", None);
    sleep(APPLY_TIME).await;
    assert_eq!(drained(&node), ["b"]);
    store.compact(Feed::Config);
    put(&store, "empty/b", None);
    store.compact(Feed::Config);
    sleep(APPLY_TIME).await;
    assert!(drained(&node).is_empty());
}

/// Unreadable records are logged and counted once each, and change nothing else.
#[tokio::test(start_paused = true)]
async fn unknown_domains_and_unreadable_records_change_nothing() {
    let store = Arc::new(MemStore::new());
    let node = node(&["a", "b"]);
    let _tasks = follow_alone(&node, &store, Documents);
    put(&store, "config", Some("config"));
    put(&store, "empty/a", Some("{}"));
    sleep(APPLY_TIME).await;
    put(&store, "empty/a", Some("garbage"));
    put(&store, "empty/b", Some("garbage"));
    put(&store, "empty/elsewhere", Some("{}"));
    sleep(APPLY_TIME).await;
    assert_eq!(drained(&node), ["a"]);
    let text = node.metrics.render(&node);
    let counted = "swiftlink_unreadable_records_total{feed=\"config\"} 3";
    assert!(text.contains(counted), "{text}");
}

/// A router that starts may receive the configuration before it knows which domains are drained.
#[tokio::test(start_paused = true)]
async fn router_with_partial_configuration_is_not_ready() {
    let node = node(&[]);
    node.config.store(Some(Arc::new(crate::pools::config())));
    assert!(!node.knows_config());
    node.freshness.confirm(Instant::now());
    assert!(node.knows_config());
}

/// A process that was suspended only knows the state from before.
#[tokio::test(start_paused = true)]
async fn only_requests_after_a_suspension_wait_for_an_update() {
    let limit = Duration::from_millis(60);
    let freshness = Arc::new(Freshness::new(TestClock::new()));
    freshness.mark_polled();
    let before = Instant::now();
    freshness.wait_after_stall(limit).await;
    assert_eq!(before.elapsed(), Duration::ZERO);
    advance(Duration::from_secs(8)).await;
    let poller = Arc::clone(&freshness);
    let poll = tokio::spawn(async move {
        sleep(Duration::from_millis(10)).await;
        poller.mark_polled();
    });
    let before = Instant::now();
    freshness.wait_after_stall(limit).await;
    assert_eq!(before.elapsed(), Duration::from_millis(10));
    poll.await.expect("the poll");
    advance(Duration::from_secs(8)).await;
    let before = Instant::now();
    freshness.wait_after_stall(limit).await;
    assert_eq!(before.elapsed(), limit, "waits no longer than the limit");
}

/// Guards against a poll that timed out while the process was suspended, and released the requests that
/// wait for an update as it resumed. In an outage of the store later ones do.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_an_update_beyond_the_poll_that_timed_out_in_a_suspension() {
    let limit = Duration::from_millis(60);
    let freshness = Arc::new(Freshness::new(TestClock::new()));
    for expected in [20, 60, 20] {
        freshness.mark_polled();
        advance(Duration::from_secs(8)).await;
        let poller = Arc::clone(&freshness);
        let poll = tokio::spawn(async move {
            sleep(Duration::from_millis(10)).await;
            poller.mark_unanswered();
            sleep(Duration::from_millis(10)).await;
            match expected {
                20 => poller.mark_unanswered(),
                _ => sleep(limit).await,
            }
        });
        let before = Instant::now();
        freshness.wait_after_stall(limit).await;
        assert_eq!(before.elapsed(), Duration::from_millis(expected));
        poll.await.expect("the poll");
    }
}

/// Servers listed later share the current state of their domain.
#[test]
fn domain_state_is_shared_by_all_senders() {
    let domains = Domains::default();
    let early = domains.get(&DomainName::from("a"));
    domains.set_drained_domains(HashSet::from([
        DomainName::from("a"),
        DomainName::from("b"),
    ]));
    let late = domains.get(&DomainName::from("b"));
    assert!(early.is_drained() && late.is_drained());
    domains.set_drained_domains(HashSet::new());
    assert!(!early.is_drained() && !late.is_drained());
}

#[test]
fn allowed_regions_of_route_and_workspace_both_apply() {
    let regions: HashMap<DomainName, RegionName> = [("a", "x"), ("b", "x"), ("c", "y")]
        .into_iter()
        .map(|(domain, region)| (domain.into(), region.into()))
        .collect();
    let domains_of = |route: &[&str], workspace: &[&str]| {
        let names = |regions: &[&str]| -> Vec<RegionName> {
            regions
                .iter()
                .map(|region| RegionName::from(*region))
                .collect()
        };
        let domains = allowed_domains(&names(route), &names(workspace), &regions)?;
        let mut names: Vec<String> = domains.iter().map(ToString::to_string).collect();
        names.sort();
        Some(names.concat())
    };
    assert_eq!(domains_of(&[], &[]), None);
    assert_eq!(domains_of(&["x"], &[]).as_deref(), Some("ab"));
    assert_eq!(domains_of(&[], &["y"]).as_deref(), Some("c"));
    assert_eq!(domains_of(&["x", "y"], &["y"]).as_deref(), Some("c"));
    assert_eq!(domains_of(&["x"], &["y"]).as_deref(), Some(""));
    assert_eq!(domains_of(&["z"], &[]).as_deref(), Some(""));
}
