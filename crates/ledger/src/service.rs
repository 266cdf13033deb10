//! Serves the requests of routers, operators and other ledgers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use prost::Message;
use swiftlink_link::{Handler, Replies};
use swiftlink_log::Fold;
use swiftlink_types::Incarnation;
use swiftlink_wire::link::{
    Budgets, Failure, FailureKind, Follow, GetPending, Pending, Pong, Settle, Stored, Submit,
    Submitted, reply, request,
};
use swiftlink_wire::log::{Record, record};

use crate::appender::{Outbox, Waiter};
use crate::batcher::{EntryOutcome, MAX_BATCH_BYTES, MAX_BATCH_RECORDS};
use crate::join_filter::JoinFilter;
use crate::log_health::LogHealth;
use crate::shards::{Shard, Shards};
use crate::stream::Stream;

/// Longest time that a request may wait for the fates of submitted records.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Interval at which a follower gets a page even without records, for the age in it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Failure detail while the process accepts no more records.
const STOPPING: &str = "the ledger is stopping";

/// Handler of the requests that arrive over links.
#[derive(Debug)]
pub struct Service {
    name: Arc<str>,
    domain: Arc<str>,
    config: Arc<Stream<swiftlink_resource::Fold>>,
    shards: Arc<Shards>,
    log_health: Arc<LogHealth>,
    joins: JoinFilter,
    closed: AtomicBool,
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, _peer: &str, request: request::Kind, replies: Replies) {
        let answer = match request {
            request::Kind::Submit(submit) => self.submit(submit, &replies).await,
            request::Kind::Settle(settle) => self.settle(settle, &replies).await,
            request::Kind::Follow(follow) => self.follow(&follow, &replies).await,
            request::Kind::GetBudgets(ask) => {
                let items = self.shards.views(&ask.names);
                Ok(reply::Kind::Budgets(Budgets { items }))
            }
            request::Kind::GetPending(ask) => self.pending(&ask),
            request::Kind::Ping(_) => Ok(reply::Kind::Pong(self.pong())),
            request::Kind::Reserve(_)
            | request::Kind::Release(_)
            | request::Kind::Notes(_)
            | request::Kind::GetFeed(_)
            | request::Kind::Ends(_)
            | request::Kind::Tally(_)
            | request::Kind::AskPermits(_)
            | request::Kind::DomainReport(_)
            | request::Kind::PoolReport(_)
            | request::Kind::StreamOrigins(_)
            | request::Kind::FindOrigin(_)
            | request::Kind::CopyOrigins(_)
            | request::Kind::GetSeen(_) => Err(failure(FailureKind::NotServed, NOT_A_ROUTER)),
        };
        let last = answer.unwrap_or_else(reply::Kind::Failure);
        // Fails if the caller has disconnected.
        let _result = replies.send(last, true).await;
    }
}

/// Failure detail for requests that only routers of the gateway answer.
const NOT_A_ROUTER: &str = "a ledger holds no rights and follows no platform";

type ReplyResult = Result<reply::Kind, Failure>;

impl Service {
    /// Creates a handler that serves the folded streams as process `name` in failure domain
    /// `domain`.
    #[must_use]
    pub fn new(
        name: Arc<str>,
        domain: Arc<str>,
        config: Arc<Stream<swiftlink_resource::Fold>>,
        shards: Arc<Shards>,
        log_health: Arc<LogHealth>,
        joins: JoinFilter,
    ) -> Self {
        Self {
            name,
            domain,
            config,
            shards,
            log_health,
            joins,
            closed: AtomicBool::new(false),
        }
    }

    /// Refuses new records from now on; accepted ones are still answered.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    async fn submit(&self, submit: Submit, replies: &Replies) -> ReplyResult {
        let (_, shard) = self.admit(&submit.stream, &submit.records)?;
        self.check_joins(&submit.records)?;
        let mut waiter = enqueue(&shard.outbox, submit.records)?;
        let limit = Duration::from_millis(u64::from(submit.wait_ms)).min(MAX_WAIT);
        let decided = tokio::select! {
            decided = tokio::time::timeout(limit, waiter.wait()) => decided,
            () = replies.closed() => return Err(caller_gone()),
        };
        match decided {
            Ok(Some(decided)) => Ok(submitted(decided)),
            Ok(None) => Err(failure(FailureKind::NotServed, STOPPING)),
            Err(_elapsed) => Err(failure(FailureKind::LogOut, "not decided in time")),
        }
    }

    async fn settle(&self, settle: Settle, replies: &Replies) -> ReplyResult {
        let kind = settle.charges.map(record::Kind::Charges);
        let records = vec![Record { kind }];
        let (_, shard) = self.admit(&settle.stream, &records)?;
        let charged_cost = shard.charged(&records);
        let mut waiter = enqueue(&shard.outbox, records)?;
        // From here on the charge is kept even if the caller disconnects.
        let stored = reply::Kind::Stored(Stored { charged_cost });
        let _result = replies.send(stored, false).await;
        let decided = tokio::select! {
            decided = waiter.wait() => decided,
            () = replies.closed() => return Err(caller_gone()),
        };
        match decided {
            Some(decided) => Ok(submitted(decided)),
            None => Err(failure(FailureKind::NotServed, STOPPING)),
        }
    }

    async fn follow(&self, follow: &Follow, replies: &Replies) -> ReplyResult {
        if follow.stream == self.config.name().as_str() {
            return Err(serve_pages(&self.config, follow.from, replies).await);
        }
        let (_, shard) = self.shard(&follow.stream)?;
        Err(serve_pages(&shard.stream, follow.from, replies).await)
    }

    fn pending(&self, ask: &GetPending) -> ReplyResult {
        let Some(incarnation) = &ask.incarnation else {
            return Err(failure(FailureKind::BadRequest, "incarnation is missing"));
        };
        let count = self.shards.pending(&Incarnation::from(incarnation));
        Ok(reply::Kind::Pending(Pending { count }))
    }

    fn pong(&self) -> Pong {
        Pong {
            name: self.name.to_string(),
            domain: self.domain.to_string(),
            log_age_ms: self.log_health.age_ms(),
        }
    }

    fn shard(&self, name: &str) -> Result<(u32, &Shard), Failure> {
        let found = self.shards.find(name);
        found.ok_or_else(|| failure(FailureKind::NotServed, "no such stream here"))
    }

    fn check_joins(&self, records: &[Record]) -> Result<(), Failure> {
        let config = {
            let state = self.config.state();
            state.get().map(swiftlink_resource::Fold::config)
        };
        let Some(config) = config else {
            return Ok(());
        };
        let checked = self.joins.check(&config, records);
        checked.map_err(|retired| failure(FailureKind::NotServed, &retired.to_string()))
    }

    fn admit(&self, name: &str, records: &[Record]) -> Result<(u32, &Shard), Failure> {
        if self.closed.load(Ordering::Relaxed) {
            return Err(failure(FailureKind::NotServed, STOPPING));
        }
        let (number, shard) = self.shard(name)?;
        let fits = self.shards.check(number, records);
        fits.map_err(|error| failure(FailureKind::BadRequest, &error.to_string()))?;
        let bytes: usize = records.iter().map(Message::encoded_len).sum();
        if bytes > MAX_BATCH_BYTES || records.len() > MAX_BATCH_RECORDS {
            return Err(failure(FailureKind::BadRequest, "too many records at once"));
        }
        Ok((number, shard))
    }
}

fn enqueue(outbox: &Arc<Outbox>, records: Vec<Record>) -> Result<Waiter, Failure> {
    let queued = outbox.submit(records);
    queued.map_err(|full| failure(FailureKind::Overloaded, &full.to_string()))
}

fn submitted(decided: EntryOutcome) -> reply::Kind {
    reply::Kind::Submitted(Submitted {
        fates: decided.fates,
        offset: decided.offset,
    })
}

fn failure(kind: FailureKind, detail: &str) -> Failure {
    Failure {
        kind: kind.into(),
        detail: detail.to_owned(),
    }
}

/// Sends pages from `from` on until the follower disconnects.
async fn serve_pages<F: Fold>(stream: &Stream<F>, from: u64, replies: &Replies) -> Failure {
    let mut changes = stream.subscribe();
    let mut from = from;
    loop {
        changes.mark_unchanged();
        let page = stream.page(from);
        let newest = page.records.last().map(|record| record.offset + 1);
        from = newest.unwrap_or(from);
        let behind = from < page.next;
        if replies.send(reply::Kind::Page(page), false).await.is_err() {
            return caller_gone();
        }
        if behind {
            continue;
        }
        tokio::select! {
            _changed = tokio::time::timeout(HEARTBEAT_INTERVAL, changes.changed()) => {}
            () = replies.closed() => return caller_gone(),
        }
    }
}

/// Failure for a caller that has disconnected and won't read it.
fn caller_gone() -> Failure {
    failure(FailureKind::NotServed, "the caller has gone")
}
