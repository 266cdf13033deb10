//! Which versions may have begun a stream that no router knows.

use std::collections::BTreeSet;
use std::time::Duration;

use swiftlink_types::VersionName;
use swiftlink_wire::link::OriginReply;

use super::{Found, Origin, OriginError, Source};
use crate::clock::steady_millis;
use crate::fleet::Pool;

/// What is known of the versions that may have begun a stream.
///
/// It shows something only if it reaches, without a gap, from before the stream can have begun up to
/// the moment at which its caller came: a version may have been listed since the list was last read.
pub(super) struct Evidence<'a> {
    pool: &'a Pool,
    /// Time for which the stream may be resumed.
    lifetime: Duration,
    /// When its caller came, in milliseconds of the monotonic clock.
    asked: u64,
    /// Whether this router has read the list since then.
    is_read: bool,
    replies: Vec<OriginReply>,
    recorded: Option<Vec<VersionName>>,
}

impl<'a> Evidence<'a> {
    /// What this router knows of a stream whose caller comes now.
    pub(super) fn new(pool: &'a Pool, lifetime: Duration) -> Self {
        Self {
            pool,
            lifetime,
            asked: steady_millis(),
            is_read: false,
            replies: Vec::new(),
            recorded: None,
        }
    }

    /// Notes whether this router has read the list since the caller came.
    pub(super) fn set_read(&mut self, is_read: bool) {
        self.is_read = is_read;
    }

    /// Adds the replies of other routers.
    pub(super) fn add(&mut self, replies: Vec<OriginReply>) {
        self.replies.extend(replies);
    }

    /// Adds the versions that the store's record of the pool names, if they are known. They were
    /// read after this router began to observe the list.
    pub(super) fn set_recorded(&mut self, versions: Option<Vec<VersionName>>) {
        self.recorded = versions;
    }

    /// Whether several versions may have begun the stream, also by `replies`.
    pub(super) fn is_mixed(&self, replies: &[OriginReply]) -> bool {
        let mut versions = self.versions();
        versions.extend(names(replies));
        versions.len() > 1
    }

    /// Whether this router reads the list and doesn't know what was before it did.
    pub(super) fn needs_record(&self) -> bool {
        self.is_read && self.versions().len() == 1 && !self.is_covered()
    }

    /// Whether this router can't read the list, so that only others may have the evidence.
    pub(super) fn needs_others(&self) -> bool {
        !self.is_read && self.versions().len() == 1 && !self.is_covered()
    }

    /// Whether further replies to a question of `is_confirming` can hardly change the outcome.
    pub(super) fn is_settled(&self, replies: &[OriginReply], is_confirming: bool) -> bool {
        if is_confirming {
            return replies.iter().any(|reply| self.covers(reply));
        }
        let is_observed = self.own_time() >= self.lifetime || replies.iter().any(|r| self.spans(r));
        is_observed && !self.is_mixed(replies) && replies.len() >= 2
    }

    /// Time until now in which the stream can have begun, or gone on until its caller came.
    pub(super) fn window(&self) -> Duration {
        let waited = steady_millis().saturating_sub(self.asked);
        self.lifetime + Duration::from_millis(waited)
    }

    /// The versions that were listed in the lifetime of the stream.
    fn versions(&self) -> BTreeSet<VersionName> {
        let own = self.pool.versions_within(self.window());
        let recorded = self.recorded.iter().flatten().cloned();
        let all = own.into_iter().chain(recorded);
        all.chain(names(&self.replies)).collect()
    }

    /// Time for which this router had observed the list when the caller came.
    fn own_time(&self) -> Duration {
        let since = self.pool.observed_since().unwrap_or(self.asked);
        Duration::from_millis(self.asked.saturating_sub(since))
    }

    /// Whether a router has observed the list since before the stream can have begun.
    fn spans(&self, reply: &OriginReply) -> bool {
        u128::from(reply.known_ms) >= self.window().as_millis()
    }

    /// Whether a reply shows all versions that may have begun the stream, together with what this
    /// router has observed since the list was read there.
    fn covers(&self, reply: &OriginReply) -> bool {
        let Some(age) = reply.list_age_ms else {
            return false;
        };
        let is_joined = self.is_read && u128::from(age) <= self.own_time().as_millis();
        self.spans(reply) && (age == 0 || is_joined)
    }

    fn is_covered(&self) -> bool {
        let is_observed = self.own_time() >= self.lifetime || self.recorded.is_some();
        self.is_read && is_observed || self.replies.iter().any(|reply| self.covers(reply))
    }

    /// The only version that may have begun the stream. `list_age` is the time since this router has
    /// read the list.
    pub(super) fn only_version(&self, list_age: Option<Duration>) -> Result<Found, OriginError> {
        let versions: Vec<VersionName> = self.versions().into_iter().collect();
        let [version] = &versions[..] else {
            return Err(OriginError::Unknown { versions });
        };
        if self.is_covered() {
            let origin = Origin {
                pool: self.pool.name.clone(),
                version: version.clone(),
                begun: self.asked,
                expires: self.asked,
            };
            let source = Source::OnlyVersion;
            return Ok(Found { origin, source });
        }
        if self.is_read {
            return Err(OriginError::Unknown { versions });
        }
        Err(OriginError::Unconfirmed {
            age: list_age.unwrap_or(Duration::MAX),
            is_alone: self.replies.is_empty(),
        })
    }
}

fn names(replies: &[OriginReply]) -> impl Iterator<Item = VersionName> {
    let names = replies.iter().flat_map(|reply| &reply.versions);
    names.map(|name| VersionName::from(name.as_str()))
}
