//! Finds the version that began a stream which its caller resumes.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use swiftlink_types::{PoolName, VersionName, VmName};
use swiftlink_wire::link::{FindOrigin, OriginReply, RecordedVersions, reply, request};
use tokio::time::timeout;

use super::exchange::{decode, decode_key, encode, encode_key};
use super::{
    Knowledge, MAX_LIFETIME, MIN_LIFETIME, Origin, Origins, RECORDERS, Recorders, StreamKey,
    VersionRecords,
};
use crate::clock::steady_millis;
use crate::fleet::Pool;

/// Number of recorders that are asked: those that a router chose which is one of them itself, too.
const ASKED: usize = RECORDERS + 1;
/// Maximum time for their replies. Within a region one takes a millisecond or two.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

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
        let mut evidence = Evidence::of(pool, lifetime);
        let routers = self.recorders.recorders(&key.unwrap_or_default());
        let mut asked: FuturesUnordered<_> = routers
            .iter()
            .take(ASKED)
            .map(|vm| self.ask(vm, key, &pool.name, lifetime))
            .collect();
        let replies = async {
            while let Some((vm, reply)) = asked.next().await {
                let Some(reply) = reply else {
                    continue;
                };
                if reply.is_ambiguous {
                    return Some(Err(OriginError::Ambiguous));
                }
                if let Some((key, origin)) = reply.origin.as_ref().and_then(decode) {
                    self.origins.insert(key, origin.clone());
                    let source = Source::Peer(vm.clone());
                    return Some(Ok(Found { origin, source }));
                }
                evidence.add(&reply);
                if evidence.is_settled() {
                    return None;
                }
            }
            None
        };
        if let Ok(Some(found)) = timeout(ASK_TIMEOUT, replies).await {
            return found;
        }
        if evidence.needs_record() {
            let since = pool.observed_since().unwrap_or_else(steady_millis);
            let recorded = self.records.within(&pool.name, since, lifetime).await;
            evidence.add_record(recorded);
        }
        evidence.only_version(pool)
    }

    async fn ask<'a>(
        &self,
        vm: &'a VmName,
        key: Option<StreamKey>,
        pool: &PoolName,
        lifetime: Duration,
    ) -> (&'a VmName, Option<OriginReply>) {
        let kind = request::Kind::FindOrigin(FindOrigin {
            key: key.as_ref().map(encode_key),
            pool: pool.to_string(),
            lifetime_ms: lifetime.as_millis() as u64,
        });
        match self.recorders.call(vm, kind, ASK_TIMEOUT).await {
            Ok(reply::Kind::OriginReply(reply)) => (vm, Some(reply)),
            Ok(_) | Err(_) => (vm, None),
        }
    }
}

/// What is known of the versions that may have begun a stream.
struct Evidence {
    lifetime: Duration,
    versions: HashSet<VersionName>,
    /// Whether the versions are all that were listed since before the stream can have begun: a
    /// router has observed the list since then, or they were recorded.
    is_covered: bool,
    replies: usize,
}

impl Evidence {
    /// What this router knows.
    fn of(pool: &Pool, lifetime: Duration) -> Self {
        Self {
            lifetime,
            versions: pool.versions_within(lifetime).into_iter().collect(),
            is_covered: pool.known_for() >= lifetime,
            replies: 0,
        }
    }

    fn add(&mut self, reply: &OriginReply) {
        let versions = reply.versions.iter();
        let versions = versions.map(|version| VersionName::from(version.as_str()));
        self.versions.extend(versions);
        self.is_covered |= u128::from(reply.known_ms) >= self.lifetime.as_millis();
        self.replies += 1;
    }

    /// Whether further replies can hardly change that only one version may have begun the stream.
    fn is_settled(&self) -> bool {
        self.versions.len() == 1 && self.is_covered && self.replies >= 2
    }

    /// Whether only the store's record can show that one version alone may have begun the stream.
    fn needs_record(&self) -> bool {
        self.versions.len() == 1 && !self.is_covered
    }

    fn add_record(&mut self, versions: Option<Vec<VersionName>>) {
        self.is_covered |= versions.is_some();
        self.versions.extend(versions.into_iter().flatten());
    }

    /// The only version that may have begun the stream.
    fn only_version(self, pool: &Pool) -> Result<Found, OriginError> {
        let mut versions: Vec<VersionName> = self.versions.into_iter().collect();
        if versions.len() != 1 || !self.is_covered {
            versions.sort_unstable();
            return Err(OriginError::Unknown { versions });
        }
        let now = steady_millis();
        let origin = Origin {
            pool: pool.name.clone(),
            version: versions.remove(0),
            begun: now,
            expires: now,
        };
        let source = Source::OnlyVersion;
        Ok(Found { origin, source })
    }
}

/// Replies to a router that asks for an origin at `now`, in milliseconds of the monotonic clock.
#[must_use]
pub fn reply_to(origins: &Origins, ask: &FindOrigin, now: u64) -> OriginReply {
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
        recorded: history.recorded().map(|versions| RecordedVersions {
            versions: versions.iter().map(VersionName::to_string).collect(),
        }),
    }
}
