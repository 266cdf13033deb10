//! Streams that their callers resume at any router.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::VersionName;

use super::exchange::Exchange;
use super::refusal::Refusal;
use super::service::CallerService;
use crate::clock::steady_millis;
use crate::dialect::RequestMeta;
use crate::fleet::{Pool, SelectedServer};
use crate::model::{Replay, Route, Workspace};
use crate::origins::{Found, Origin, OriginError, StreamKey, lifetime};

/// When another router may know the origin of a stream: links to a router that has started are open
/// within this time, and a store that was away has been read again.
const ORIGIN_RETRY: Duration = Duration::from_millis(500);
/// When another router may be reached by a caller that came to one without a connection to others:
/// at once, unless the caller shares its path.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(100);

/// When a caller may come back whose stream isn't known.
fn retry_after(error: &OriginError) -> Duration {
    match error {
        OriginError::Unconfirmed { is_alone: true, .. } => ELSEWHERE_RETRY,
        OriginError::Unconfirmed { .. } | OriginError::Unknown { .. } | OriginError::Ambiguous => {
            ORIGIN_RETRY
        }
    }
}

/// The key of the stream that the request `id` of a workspace began.
fn key_of(workspace: Option<&Workspace>, id: &[u8]) -> StreamKey {
    StreamKey::new(
        workspace.map_or("", |workspace| workspace.name.as_str()),
        id,
    )
}

impl CallerService {
    /// Finds the pool and the version at which a stream goes on that its caller resumes; `None` for
    /// other requests.
    pub(super) async fn find_origin(
        &self,
        meta: &RequestMeta,
        workspace: Option<&Workspace>,
        route: &Route,
        pool: &Pool,
    ) -> Result<Option<(Arc<Pool>, VersionName)>, Refusal> {
        if meta.resume.is_none() || route.replay() != Replay::Resume {
            return Ok(None);
        }
        let key = meta.resumes.as_ref();
        let key = key.map(|id| key_of(workspace, id.as_bytes()));
        let time = lifetime(route.timeout, meta.deadline);
        let found = match self.lookup.find(key, pool, time).await {
            Ok(found) => found,
            Err(error) => {
                event!(
                    info,
                    "stream.origin_unknown",
                    id = meta.id(),
                    resumes = meta.resumes(),
                    pool = pool.name,
                    list_ms = self.list_millis(),
                    error = error,
                );
                return Err(Refusal::OriginUnknown(retry_after(&error)));
            }
        };
        let Found { origin, source } = found;
        event!(
            info,
            "stream.resumed",
            id = meta.id(),
            resumes = meta.resumes(),
            pool = origin.pool,
            version = origin.version,
            source = source,
            age_ms = steady_millis().saturating_sub(origin.begun),
            list_ms = self.list_millis(),
        );
        // The route may have been moved to another pool since.
        let is_target = route
            .targets
            .iter()
            .any(|target| target.pool == origin.pool);
        let pool = self.node.pools.get(&origin.pool).filter(|_| is_target);
        let pool = pool.ok_or(Refusal::OriginUnknown(ORIGIN_RETRY))?;
        Ok(Some((pool, origin.version)))
    }

    /// Time in which the list of servers may have changed unnoticed, in milliseconds; -1 if it was
    /// never read.
    fn list_millis(&self) -> i64 {
        let age = self.lookup.list.age();
        age.map_or(-1, |age| age.as_millis() as i64)
    }
}

impl Exchange {
    /// Handles the first event of the response, before it is delivered: no other version may go on
    /// with it.
    pub(super) async fn on_begun(&mut self, server: &SelectedServer) {
        if self.begun_by.is_some() {
            return;
        }
        self.begun_by = Some(server.version.clone());
        let id = self.meta.id.as_ref();
        let Some(id) = id.filter(|_| self.route.replay() == Replay::Resume) else {
            return;
        };
        let now = steady_millis();
        let time = lifetime(self.route.timeout, self.meta.deadline);
        let origin = Origin {
            pool: self.pool.name.clone(),
            version: server.version.clone(),
            begun: now,
            expires: now + time.as_millis() as u64,
        };
        let key = key_of(self.workspace.as_deref(), id.as_bytes());
        let origins = self.node.pools.origins();
        if !self.pool.is_mixed() {
            origins.record(key, origin);
            return;
        }
        origins.record_now(key, origin).await;
        event!(
            info,
            "stream.begun",
            id = self.id(),
            server = server.instance.name,
            version = server.version,
            recorded_ms = steady_millis().saturating_sub(now),
        );
    }
}
