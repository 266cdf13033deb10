//! Failure domains that operators empty and take back: what a router knows of them, whatever the
//! store and other routers tell it in whatever order, and what it does with that.

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

/// What happens to the feed and to those who read it.
#[derive(Clone, Debug)]
enum Event {
    Empty(usize),
    TakeBack(usize),
    /// A record about something else.
    Other,
    /// The store forgets all but the newest records.
    Compact,
    /// Reads answer with the state of now, until they don't any more.
    Rewind(bool),
    Poll,
    /// Another router tells what it knew at a time, from there on, in this part.
    Tell {
        at: usize,
        from: usize,
        most: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..DOMAINS).prop_map(Event::Empty),
        3 => (0..DOMAINS).prop_map(Event::TakeBack),
        2 => Just(Event::Other),
        2 => Just(Event::Compact),
        1 => any::<bool>().prop_map(Event::Rewind),
        4 => Just(Event::Poll),
        4 => (0..60usize, 0..60usize, 1..8usize)
            .prop_map(|(at, from, most)| Event::Tell { at, from, most }),
    ]
}

fn key(domain: usize) -> String {
    format!("empty/{domain}")
}

/// The feed's whole history, which only grows, and a reader of it.
struct History {
    store: Arc<MemStore>,
    all: Vec<Record>,
    reader: Reader,
    emptied: DrainedDomains,
    /// Per key, the newest place of the history that the reader was told of.
    told: HashMap<String, u64>,
}

impl History {
    fn new() -> Self {
        let store = Arc::new(MemStore::new());
        let reader = Reader::new(Feed::Config, Arc::clone(&store) as Arc<dyn Store>);
        Self {
            store,
            all: Vec::new(),
            reader,
            emptied: DrainedDomains::default(),
            told: HashMap::new(),
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

    /// The newest record of `key` before a place of the history.
    fn newest(&self, key: &str, end: u64) -> Option<&Record> {
        let before = &self.all[..end as usize];
        before.iter().rev().find(|record| record.key == key)
    }

    fn take(&mut self, news: &FeedUpdate) {
        if let Some(keys) = &news.keys {
            self.emptied.retain(keys);
            for domain in 0..DOMAINS {
                if !keys.contains(&key(domain)) {
                    let told = self.told.entry(key(domain)).or_default();
                    *told = (*told).max(news.end);
                }
            }
        }
        for change in &news.changes {
            if change.key == "other" {
                continue;
            }
            let told = self.told.entry(change.key.clone()).or_default();
            *told = (*told).max(change.offset + 1);
            let change_of = DomainChange {
                domain: DomainName::from(change.key.as_str()),
                is_drained: change.value.is_some(),
            };
            self.emptied.take(&change.key, &change_of);
        }
    }

    async fn play(&mut self, event: &Event) {
        match event {
            Event::Empty(domain) => self.write(&key(*domain), Some("{}")),
            Event::TakeBack(domain) => self.write(&key(*domain), None),
            Event::Other => self.write("other", Some("x")),
            Event::Compact => self.store.compact(Feed::Config),
            Event::Rewind(true) => self.store.set_fault(StoreFault::Stale),
            Event::Rewind(false) => self.store.set_fault(StoreFault::None),
            Event::Poll => {
                let news = self.reader.poll(Duration::ZERO).await.expect("news");
                self.take(&news);
            }
            Event::Tell { at, from, most } => {
                let told = self.copy(*at, *from, *most);
                let news = self.reader.take_peer_page(told, Instant::now());
                self.take(&news);
            }
        }
    }

    /// The newest record of each key as somebody knew them, from an offset on.
    fn copy(&self, at: usize, from: usize, most: usize) -> PeerPage {
        let known = &self.all[..at.min(self.all.len())];
        let mut newest: BTreeMap<&str, &Record> = BTreeMap::new();
        for record in known {
            newest.insert(&record.key, record);
        }
        let mut records: Vec<Record> = newest.into_values().cloned().collect();
        records.retain(|record| record.offset >= from as u64);
        records.sort_by_key(|record| record.offset);
        records.truncate(most);
        PeerPage { records, age: None }
    }

    /// What is known of each domain is the state that a record made which is no older than any
    /// that was told of it.
    fn check(&self) {
        for domain in 0..DOMAINS {
            let key = key(domain);
            let told = self.told.get(&key).copied().unwrap_or(0);
            let known = self.emptied.domains().contains(key.as_str());
            let expected = self
                .newest(&key, told)
                .is_some_and(|record| record.value.is_some());
            assert_eq!(known, expected, "{key} as of {told}");
        }
    }
}

proptest! {
    /// Removals that were missed, lost histories, answers of an older state and tales of others that
    /// know less, in any order.
    #[test]
    fn no_older_state_of_a_domain_ever_comes_back(events in vec(event(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let mut history = History::new();
            for event in &events {
                history.play(event).await;
                history.check();
            }
            // Once the store answers as it is, all of it is known.
            history.store.set_fault(StoreFault::None);
            history.store.compact(Feed::Config);
            for _ in 0..2 {
                history.play(&Event::Poll).await;
            }
            for domain in 0..DOMAINS {
                let key = key(domain);
                let end = history.all.len() as u64;
                let last = history.newest(&key, end);
                let is_drained = last.is_some_and(|record| record.value.is_some());
                assert_eq!(history.emptied.domains().contains(key.as_str()), is_drained);
            }
        });
    }
}

/// A record that was told late, of a domain whose removal was only seen by its key being gone.
#[tokio::test]
async fn a_domain_that_was_taken_back_unseen_stays_open() {
    let mut history = History::new();
    history.write(&key(0), Some("{}"));
    history.play(&Event::Poll).await;
    history.write(&key(0), None);
    history.write("other", Some("x"));
    history.store.compact(Feed::Config);
    history.play(&Event::Poll).await;
    history.check();
    let tell = Event::Tell {
        at: 1,
        from: 0,
        most: 8,
    };
    history.play(&tell).await;
    history.check();
    assert!(history.emptied.domains().is_empty());
}

/// A configuration as `config N`, failure domains under `empty/NAME`, servers as in [`Entries`].
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

fn emptied(node: &Node) -> Vec<String> {
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

/// A bound of five seconds holds for each router that hears the store; half of one is left here.
const HEARD: Duration = Duration::from_millis(1_300);

#[tokio::test(start_paused = true)]
async fn a_router_follows_what_operators_do_with_domains() {
    let store = Arc::new(MemStore::new());
    let node = node(&["a", "b"]);
    let _tasks = follow_alone(&node, &store, Documents);
    put(&store, "config", Some("config"));
    sleep(HEARD).await;
    assert!(emptied(&node).is_empty());
    put(&store, "empty/a", Some("{}"));
    sleep(HEARD).await;
    assert_eq!(emptied(&node), ["a"]);
    put(&store, "empty/b", Some("{}"));
    put(&store, "empty/a", None);
    sleep(HEARD).await;
    assert_eq!(emptied(&node), ["b"]);
    store.compact(Feed::Config);
    put(&store, "empty/b", None);
    store.compact(Feed::Config);
    sleep(HEARD).await;
    assert!(emptied(&node).is_empty());
}

/// One line and one count for each, and nothing else changes.
#[tokio::test(start_paused = true)]
async fn what_is_no_domain_or_no_record_changes_nothing() {
    let store = Arc::new(MemStore::new());
    let node = node(&["a", "b"]);
    let _tasks = follow_alone(&node, &store, Documents);
    put(&store, "config", Some("config"));
    put(&store, "empty/a", Some("{}"));
    sleep(HEARD).await;
    put(&store, "empty/a", Some("garbage"));
    put(&store, "empty/b", Some("garbage"));
    put(&store, "empty/elsewhere", Some("{}"));
    sleep(HEARD).await;
    assert_eq!(emptied(&node), ["a"]);
    let text = node.metrics.render(&node);
    let counted = "swiftlink_unreadable_records_total{feed=\"config\"} 3";
    assert!(text.contains(counted), "{text}");
}

/// A router that starts may be told the configuration before it hears of emptied domains.
#[tokio::test(start_paused = true)]
async fn a_router_that_knows_a_part_only_is_not_ready() {
    let node = node(&[]);
    node.config.store(Some(Arc::new(crate::pools::config())));
    assert!(!node.knows_config());
    node.freshness.confirm(Instant::now());
    assert!(node.knows_config());
}

/// Whoever wakes knows what was true before it fell asleep.
#[tokio::test(start_paused = true)]
async fn a_request_after_a_standstill_waits_for_news_and_others_dont() {
    let most = Duration::from_millis(60);
    let fresh = Arc::new(Freshness::new(TestClock::new()));
    fresh.mark_polled();
    let before = Instant::now();
    fresh.wait_after_stall(most).await;
    assert_eq!(before.elapsed(), Duration::ZERO);
    advance(Duration::from_secs(8)).await;
    let looked = Arc::clone(&fresh);
    let look = tokio::spawn(async move {
        sleep(Duration::from_millis(10)).await;
        looked.mark_polled();
    });
    let before = Instant::now();
    fresh.wait_after_stall(most).await;
    assert_eq!(before.elapsed(), Duration::from_millis(10));
    look.await.expect("a look");
    advance(Duration::from_secs(8)).await;
    let before = Instant::now();
    fresh.wait_after_stall(most).await;
    assert_eq!(before.elapsed(), most, "nobody waits for what doesn't come");
}

/// Servers that are listed later are in the domain as it is.
#[test]
fn a_domain_is_the_same_for_all_who_send_into_it() {
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
fn homes_of_route_and_workspace_both_bind() {
    let regions: HashMap<DomainName, RegionName> = [("a", "x"), ("b", "x"), ("c", "y")]
        .into_iter()
        .map(|(domain, region)| (domain.into(), region.into()))
        .collect();
    let home = |route: &[&str], workspace: &[&str]| {
        let names = |homes: &[&str]| -> Vec<RegionName> {
            homes.iter().map(|home| RegionName::from(*home)).collect()
        };
        let domains = allowed_domains(&names(route), &names(workspace), &regions)?;
        let mut names: Vec<String> = domains.iter().map(ToString::to_string).collect();
        names.sort();
        Some(names.concat())
    };
    assert_eq!(home(&[], &[]), None);
    assert_eq!(home(&["x"], &[]).as_deref(), Some("ab"));
    assert_eq!(home(&[], &["y"]).as_deref(), Some("c"));
    assert_eq!(home(&["x", "y"], &["y"]).as_deref(), Some("c"));
    assert_eq!(home(&["x"], &["y"]).as_deref(), Some(""));
    assert_eq!(home(&["z"], &[]).as_deref(), Some(""));
}
