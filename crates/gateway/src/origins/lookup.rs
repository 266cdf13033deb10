//! Finds the version that began a stream which its caller resumes.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use swiftlink_types::{PoolName, VersionName, VmName};
use swiftlink_wire::link::{FindOrigin, OriginReply, RecordedVersions, reply, request};
use tokio::time::{Instant, timeout_at};

use super::evidence::Evidence;
use super::exchange::{decode, decode_key, encode, encode_key};
use super::{
    Knowledge, MAX_LIFETIME, MIN_LIFETIME, Origin, Origins, RECORDERS, Recorders, StreamKey,
    VersionRecords,
};
use crate::clock::steady_millis;
use crate::fleet::Pool;
use crate::peers::MAX_KEEPERS;

/// Number of recorders that are asked: those that a router chose which is one of them itself, too.
const ASKED: usize = RECORDERS + 1;
/// Maximum time for their replies. Within a region one takes a millisecond or two.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// The same if they read the list of servers first.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Where an origin is known from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The stream began at this router, or this router is one of its recorders.
    Own,
    /// The router on this VM.
    Peer(VmName),
    /// The pool had servers of no other version while the stream can have begun.
    OnlyVersion,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.write_str("own"),
            Self::Peer(vm) => f.write_str(vm.as_str()),
            Self::OnlyVersion => f.write_str("only_version"),
        }
    }
}

/// The origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Pool and version.
    pub origin: Origin,
    /// Where it is known from.
    pub source: Source,
}

/// Why the version that began a stream isn't known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OriginError {
    /// Streams of two versions have the same key.
    #[error("two streams have the same id")]
    Ambiguous,
    /// No router knows the stream, and another version than the listed one may have begun it.
    #[error(
        "no router knows the stream, which may have begun at another version than {versions:?}"
    )]
    Unknown {
        /// The versions that are known to have been listed.
        versions: Vec<VersionName>,
    },
    /// No router knows the stream, and another version may have appeared since the list of servers
    /// was read.
    #[error(
        "no router knows the stream; the list of servers was last read {age:?} ago, and no other \
         router has read it since"
    )]
    Unconfirmed {
        /// Time since the list was last read here.
        age: Duration,
        /// Whether no other router replied.
        is_alone: bool,
    },
}

/// How far this router has read the list of servers.
#[async_trait]
pub trait ServerList: fmt::Debug + Send + Sync {
    /// Time in which the list may have changed without being known; `None` until it has been read.
    fn age(&self) -> Option<Duration>;

    /// Whether the last read failed.
    fn is_lost(&self) -> bool;

    /// Waits until all that the store had at `moment` is in force, for a short time. Returns whether
    /// it is; `false` at once while reads fail.
    async fn read_since(&self, moment: Instant) -> bool;
}

/// Finds origins.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// The origins that this router knows.
    pub origins: Arc<Origins>,
    /// Other routers.
    pub recorders: Arc<dyn Recorders>,
    /// What the store keeps of the pools' versions.
    pub records: Arc<VersionRecords>,
    /// The list of servers.
    pub list: Arc<dyn ServerList>,
}

impl Lookup {
    /// Finds the origin of a stream that can have begun up to `lifetime` ago at `pool`. `key` is
    /// `None` if its caller doesn't say which request began it.
    ///
    /// # Errors
    /// Why it isn't known.
    pub async fn find(
        &self,
        key: Option<StreamKey>,
        pool: &Pool,
        lifetime: Duration,
    ) -> Result<Found, OriginError> {
        let own = key.map(|key| self.origins.get(&key));
        match own {
            Some(Knowledge::Known(origin)) => {
                let source = Source::Own;
                return Ok(Found { origin, source });
            }
            Some(Knowledge::Ambiguous) => return Err(OriginError::Ambiguous),
            Some(Knowledge::Unknown) | None => {}
        }
        let question = Question {
            key,
            pool: &pool.name,
        };
        let mut evidence = Evidence::new(pool, lifetime);
        // Where the list can't be read here, other routers may read it.
        let is_lost = self.list.is_lost();
        let (replies, is_read) = self.ask_and_read(&question, &evidence, is_lost).await;
        evidence.set_read(is_read);
        match replies {
            Ok(replies) => evidence.add(replies),
            Err(decided) => return decided,
        }
        if evidence.needs_others() && !is_lost {
            match self.ask_all(&question, &evidence, true).await {
                Ok(replies) => evidence.add(replies),
                Err(decided) => return decided,
            }
        }
        if evidence.needs_record() {
            let since = pool.observed_since().unwrap_or_else(steady_millis);
            let recorded = self
                .records
                .within(&pool.name, since, evidence.window())
                .await;
            evidence.set_recorded(recorded);
        }
        evidence.only_version(self.list.age())
    }

    /// Asks other routers, and reads the list of servers at the same time. Returns whether it was
    /// read; that isn't waited for if it can't decide.
    async fn ask_and_read(
        &self,
        question: &Question<'_>,
        evidence: &Evidence<'_>,
        is_confirming: bool,
    ) -> (Result<Vec<OriginReply>, Result<Found, OriginError>>, bool) {
        let now = Instant::now();
        let asked = pin!(self.ask_all(question, evidence, is_confirming));
        let read = pin!(async { !evidence.is_mixed(&[]) && self.list.read_since(now).await });
        match select(asked, read).await {
            Either::Left((Ok(replies), read)) if !evidence.is_mixed(&replies) => {
                (Ok(replies), read.await)
            }
            Either::Left((replies, _)) => (replies, false),
            Either::Right((is_read, asked)) => (asked.await, is_read),
        }
    }

    /// Asks other routers for the origin of a stream, and has them read the list of servers first if
    /// `is_confirming`: all recorders then, else the first ones. Returns early if one knows the
    /// origin, or if further replies can't add to the evidence.
    async fn ask_all(
        &self,
        question: &Question<'_>,
        evidence: &Evidence<'_>,
        is_confirming: bool,
    ) -> Result<Vec<OriginReply>, Result<Found, OriginError>> {
        let routers = self.recorders.recorders(&question.key.unwrap_or_default());
        let (count, time) = match is_confirming {
            true => (MAX_KEEPERS, CONFIRM_TIMEOUT),
            false => (ASKED, ASK_TIMEOUT),
        };
        let message = FindOrigin {
            key: question.key.as_ref().map(encode_key),
            pool: question.pool.to_string(),
            lifetime_ms: evidence.window().as_millis() as u64,
            is_confirming,
        };
        let asked = routers.iter().take(count);
        let mut asked: FuturesUnordered<_> = asked
            .map(|vm| self.ask(vm, message.clone(), time))
            .collect();
        let end = Instant::now() + time;
        let mut replies = Vec::new();
        while let Ok(Some((vm, reply))) = timeout_at(end, asked.next()).await {
            let Some(reply) = reply else {
                continue;
            };
            if reply.is_ambiguous {
                return Err(Err(OriginError::Ambiguous));
            }
            if let Some((key, origin)) = reply.origin.as_ref().and_then(decode) {
                self.origins.insert(key, origin.clone());
                let source = Source::Peer(vm.clone());
                return Err(Ok(Found { origin, source }));
            }
            replies.push(reply);
            if evidence.is_settled(&replies, is_confirming) {
                break;
            }
        }
        Ok(replies)
    }

    async fn ask<'a>(
        &self,
        vm: &'a VmName,
        message: FindOrigin,
        time: Duration,
    ) -> (&'a VmName, Option<OriginReply>) {
        let kind = request::Kind::FindOrigin(message);
        match self.recorders.call(vm, kind, time).await {
            Ok(reply::Kind::OriginReply(reply)) => (vm, Some(reply)),
            Ok(_) | Err(_) => (vm, None),
        }
    }
}

/// What is asked of other routers.
struct Question<'a> {
    /// `None` if the caller doesn't say which request began the stream.
    key: Option<StreamKey>,
    pool: &'a PoolName,
}

/// Replies to a router that asks for an origin, after a read of `list` if it asks for that.
pub async fn answer(origins: &Origins, list: &dyn ServerList, ask: &FindOrigin) -> OriginReply {
    let is_read = ask.is_confirming && list.read_since(Instant::now()).await;
    // Zero says that the list was read after the question.
    let min_age = Duration::from_millis((!is_read).into());
    let age = list.age().map(|age| age.max(min_age));
    let age = if is_read { Some(min_age) } else { age };
    reply_to(origins, ask, age, steady_millis())
}

/// The reply to a router that asks for an origin at `now`, in milliseconds of the monotonic clock,
/// where the list of servers was read `list_age` ago.
#[must_use]
pub fn reply_to(
    origins: &Origins,
    ask: &FindOrigin,
    list_age: Option<Duration>,
    now: u64,
) -> OriginReply {
    let key = ask.key.as_ref().map(decode_key);
    let known = key.map_or(Knowledge::Unknown, |key| origins.get(&key));
    let history = origins.versions().of(&PoolName::from(ask.pool.as_str()));
    let lifetime = Duration::from_millis(ask.lifetime_ms).clamp(MIN_LIFETIME, MAX_LIFETIME);
    let versions = history.within(lifetime, now);
    let origin = match (&known, key) {
        (Knowledge::Known(origin), Some(key)) => Some(encode(&key, origin)),
        _ => None,
    };
    OriginReply {
        origin,
        is_ambiguous: known == Knowledge::Ambiguous,
        versions: versions.iter().map(VersionName::to_string).collect(),
        known_ms: history.known_for(now).as_millis() as u64,
        list_age_ms: list_age.map(|age| age.as_millis() as u64),
        recorded: history.recorded().map(|versions| RecordedVersions {
            versions: versions.iter().map(VersionName::to_string).collect(),
        }),
    }
}
