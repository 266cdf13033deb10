//! How old the configuration is that a router answers by.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use swiftlink_gateway::freshness::Freshness;
use swiftlink_gateway::store::{Feed, MemStore, Store};
use swiftlink_gateway::watch::Reader;
use tokio::time::{Instant, advance};

#[tokio::test(start_paused = true)]
async fn knowledge_ages_until_the_store_confirms_it_and_never_gets_older_by_that() {
    let fresh = Freshness::new();
    advance(Duration::from_secs(3)).await;
    assert_eq!(fresh.age(), Duration::from_secs(3));
    fresh.confirm(Instant::now() - Duration::from_secs(1));
    assert_eq!(fresh.age(), Duration::from_secs(1));
    fresh.confirm(Instant::now() - Duration::from_secs(2));
    assert_eq!(fresh.age(), Duration::from_secs(1));
}

/// A poll that found nothing was held by the store until its wait was over. One that found
/// something may have been answered at once.
#[tokio::test(start_paused = true)]
async fn a_poll_says_of_when_its_answer_is() {
    let wait = Duration::from_secs(1);
    let store = Arc::new(MemStore::new());
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"1")));
    let mut reader = Reader::new(Feed::Config, Arc::clone(&store) as Arc<dyn Store>);
    let start = Instant::now();
    assert_eq!(reader.poll(wait).await.expect("news").as_of, Some(start));
    let news = reader.poll(wait).await.expect("no news");
    assert_eq!(news.as_of, Some(start + wait));
    let asked = Instant::now();
    store.put(Feed::Config, "config", Some(Bytes::from_static(b"2")));
    assert_eq!(reader.poll(wait).await.expect("news").as_of, Some(asked));
}
