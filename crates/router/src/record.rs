//! The access log: one line for each request.
//!
//! A line is written once the request's task has ended and the head of its answer is known.
//! A deferred charge of an interrupted answer is logged by events of its own.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::HeaderMap;
use swiftlink_telemetry::{Level, enabled, event};
use swiftlink_types::{OUTCOME_HEADER, Outcome, Refusal, RequestKey, Tokens, WorkspaceName};
use tokio::time::Instant;

use crate::call::Call;
use crate::reply::{Reply, StreamedReply};

/// Outcome of an answer that comes from another router or an earlier run.
const PASSED: &str = "passed";
/// Value of an unknown field.
const NONE: &str = "-";

/// Head of the answer.
#[derive(Debug)]
struct Head {
    status: u16,
    outcome: Option<String>,
    refusal: Option<&'static str>,
}

/// Log record of one admitted request; dropping it writes the line.
#[derive(Debug)]
pub struct Record {
    key: RequestKey,
    workspace: WorkspaceName,
    started: Instant,
    charged: AtomicU64,
    is_complete: AtomicBool,
    is_passed: AtomicBool,
    head: OnceLock<Head>,
}

impl Record {
    /// Creates the record of `call`, an admitted request that was received at `started`.
    #[must_use]
    pub fn new(call: &Call, started: Instant) -> Arc<Self> {
        event!(
            debug,
            "request.admitted",
            key = call.key(),
            workspace = call.workspace(),
            pool = call.pool.name,
            class = call.class_name,
            bound = call.bound,
            once = call.once,
            relayed = call.relayed,
        );
        Arc::new(Self {
            key: call.key(),
            workspace: call.workspace().clone(),
            started,
            charged: AtomicU64::new(0),
            is_complete: AtomicBool::new(false),
            is_passed: AtomicBool::new(false),
            head: OnceLock::new(),
        })
    }

    /// Adds budget tokens charged for the request.
    pub fn charge(&self, charged: Tokens) {
        self.charged.fetch_add(charged, Ordering::Relaxed);
    }

    /// Marks the answer as complete.
    pub fn mark_complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
    }

    /// Marks the answer as one from another router or an earlier run.
    pub fn mark_passed(&self) {
        self.is_passed.store(true, Ordering::Relaxed);
    }

    /// Records the head of the answer.
    pub fn set_head(&self, reply: &Reply) {
        let head = match reply {
            Reply::Refused(refusal) => {
                log_detail(&self.key, refusal);
                Head {
                    status: refusal.kind.status(),
                    outcome: Some(refusal.outcome.as_str().to_owned()),
                    refusal: Some(refusal.kind.slug()),
                }
            }
            Reply::Complete(status, headers, _)
            | Reply::Stream(StreamedReply {
                status, headers, ..
            }) => Head {
                status: status.as_u16(),
                outcome: outcome(headers),
                refusal: None,
            },
        };
        let _known = self.head.set(head);
    }

    fn outcome(&self) -> &str {
        let head = self.head.get();
        let stated = head.and_then(|head| head.outcome.as_deref());
        let is_refused = head.is_some_and(|head| head.refusal.is_some());
        let is_set = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        let unknown = Outcome::Unknown.as_str();
        match stated {
            Some(stated) if is_refused => stated,
            _ if is_set(&self.is_complete) => Outcome::Ran.as_str(),
            // The head of a stream precedes its outcome.
            Some(stated) if stated != unknown => stated,
            _ if is_set(&self.is_passed) => PASSED,
            _ => unknown,
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if !enabled(Level::Info) {
            return;
        }
        let head = self.head.get();
        let ms = self.started.elapsed().as_millis();
        if let Some(refusal) = head.and_then(|head| head.refusal) {
            return event!(
                info,
                "request.refused",
                key = self.key,
                workspace = self.workspace,
                outcome = self.outcome(),
                kind = refusal,
                status = head.map_or(0, |head| head.status),
                charged = self.charged.load(Ordering::Relaxed),
                ms = ms,
            );
        }
        let status = head.map(|head| head.status.to_string());
        event!(
            info,
            "request.done",
            key = self.key,
            workspace = self.workspace,
            outcome = self.outcome(),
            status = status.as_deref().unwrap_or(NONE),
            charged = self.charged.load(Ordering::Relaxed),
            ms = ms,
        );
    }
}

fn outcome(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(OUTCOME_HEADER)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Writes the line of a request that was not admitted. `workspace` is called only if the line
/// is written.
pub fn refused(
    refusal: &Refusal,
    key: Option<RequestKey>,
    workspace: impl FnOnce() -> Option<WorkspaceName>,
    started: Instant,
) {
    if !enabled(Level::Info) {
        return;
    }
    let key = key.map_or_else(|| NONE.to_owned(), |key| key.to_string());
    let workspace = workspace();
    log_detail(&key, refusal);
    event!(
        info,
        "request.refused",
        key = key,
        workspace = workspace.as_ref().map_or(NONE, WorkspaceName::as_str),
        outcome = refusal.outcome.as_str(),
        kind = refusal.kind.slug(),
        status = refusal.kind.status(),
        charged = 0,
        ms = started.elapsed().as_millis(),
    );
}

fn log_detail(key: &dyn std::fmt::Display, refusal: &Refusal) {
    event!(
        debug,
        "request.refusal",
        key = key,
        detail = refusal.detail,
        field = refusal.field.as_deref().unwrap_or(NONE),
    );
}
