//! Records of earlier eras that only other routers know.

use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_wire::link::Following;

use super::follow::{Follow, Relay};
use super::reader::{FeedUpdate, Reader};
use super::replicas;
use crate::store::{Feed, Record, era_of};

/// Time for an answer of another router.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Times that other routers are asked. A starting router knows none of them at first.
const MAX_TRIES: u32 = 8;
/// Those before the first records of the store are applied: a router that was chosen may have ended.
const FIRST_TRIES: u32 = 3;
/// Answers that are enough: a router that was asked may have started a moment ago itself.
const MAX_ANSWERS: u32 = 3;

/// Asks other routers, after the start, for records that a store which went back to a copy may
/// lack until they are written again.
#[derive(Debug)]
pub(super) struct EarlierRecords {
    tries_left: u32,
    answers_left: u32,
}

impl EarlierRecords {
    /// For a router that has just started.
    pub(super) fn new() -> Self {
        Self {
            tries_left: MAX_TRIES,
            answers_left: MAX_ANSWERS,
        }
    }

    /// Passes what another router knows of the configuration's feed to `handler`, unless enough were
    /// asked or the store has never gone back.
    pub(super) async fn receive(
        &mut self,
        relay: &Relay,
        reader: &Reader,
        handler: &mut impl Follow,
    ) {
        if reader.feed() != Feed::Config || era_of(reader.known_end()) == 0 {
            return;
        }
        let is_first = self.tries_left == MAX_TRIES;
        let tries = if is_first { FIRST_TRIES } else { 1 };
        for _ in 0..tries {
            if self.tries_left.min(self.answers_left) == 0 {
                return;
            }
            self.tries_left -= 1;
            let Some(records) = fetch_all(relay, reader.feed()).await else {
                continue;
            };
            self.answers_left -= 1;
            event!(
                info,
                "feed.earlier_fetched",
                feed = reader.feed(),
                records = records.len(),
            );
            let update = FeedUpdate {
                changes: handler.take_earlier(&records),
                ..FeedUpdate::default()
            };
            return relay.node.replicas.apply(reader.feed(), &update);
        }
    }
}

/// All that another router knows of `feed`; `None` if none answers or it knows nothing.
async fn fetch_all(relay: &Relay, feed: Feed) -> Option<Vec<Record>> {
    let vm = relay.peers.any_peer()?;
    let mut query = replicas::query(feed, 0)?;
    query.follow = Some(Following::default());
    let update = relay.peers.follow(&vm, query, ANSWER_TIMEOUT).await?;
    Some(update.page.records).filter(|records| !records.is_empty())
}
