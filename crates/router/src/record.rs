//! The one line that the log gets about each request.
//!
//! It is written once the request's task has ended and its answer's head is known.
//! What a late charge adds to a cut answer has its own events.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::HeaderMap;
use swiftlink_telemetry::{Level, enabled, event};
use swiftlink_types::{OUTCOME_HEADER, Outcome, Refusal, RequestKey, Tokens, WorkspaceName};
use tokio::time::Instant;

use crate::call::Call;
use crate::reply::Reply;

/// Outcome of an answer that another run or router gave, and that was passed on.
const PASSED: &str = "passed";
/// Value of a field that isn't known.
const NONE: &str = "-";

/// What is known of the answer's head.
#[derive(Debug)]
struct Head {
    status: u16,
    outcome: Option<String>,
    refusal: Option<&'static str>,
}

/// One admitted request; dropping it writes the line.
#[derive(Debug)]
pub struct Record {
    key: RequestKey,
    workspace: WorkspaceName,
    begun: Instant,
    charged: AtomicU64,
    whole: AtomicBool,
    passed: AtomicBool,
    head: OnceLock<Head>,
}

impl Record {
    /// The record of `call`, which was admitted and has begun at `begun`.
    #[must_use]
    pub fn new(call: &Call, begun: Instant) -> Arc<Self> {
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
            begun,
            charged: AtomicU64::new(0),
            whole: AtomicBool::new(false),
            passed: AtomicBool::new(false),
            head: OnceLock::new(),
        })
    }

    /// Budget tokens were charged for it.
    pub fn charge(&self, charged: Tokens) {
        self.charged.fetch_add(charged, Ordering::Relaxed);
    }

    /// Its answer came to the end.
    pub fn whole(&self) {
        self.whole.store(true, Ordering::Relaxed);
    }

    /// Its answer is passed on from another router or an earlier run.
    pub fn pass(&self) {
        self.passed.store(true, Ordering::Relaxed);
    }

    /// The head of its answer.
    pub fn answer(&self, reply: &Reply) {
        let head = match reply {
            Reply::Refused(refusal) => {
                detail(&self.key, refusal);
                Head {
                    status: refusal.kind.status(),
                    outcome: Some(refusal.outcome.as_str().to_owned()),
                    refusal: Some(refusal.kind.slug()),
                }
            }
            Reply::Whole(status, headers, _) | Reply::Pieces(status, headers, _) => Head {
                status: status.as_u16(),
                outcome: outcome(headers),
                refusal: None,
            },
        };
        let _known = self.head.set(head);
    }

    fn outcome(&self) -> &str {
        let head = self.head.get();
        let told = head.and_then(|head| head.outcome.as_deref());
        let is_refused = head.is_some_and(|head| head.refusal.is_some());
        let is_set = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        let unknown = Outcome::Unknown.as_str();
        match told {
            Some(told) if is_refused => told,
            _ if is_set(&self.whole) => Outcome::Ran.as_str(),
            // The head of a stream can't tell yet.
            Some(told) if told != unknown => told,
            _ if is_set(&self.passed) => PASSED,
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
        let ms = self.begun.elapsed().as_millis();
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

/// Writes the line of a request that was not admitted. `workspace` is asked for only
/// when it is written.
pub fn refused(
    refusal: &Refusal,
    key: Option<RequestKey>,
    workspace: impl FnOnce() -> Option<WorkspaceName>,
    begun: Instant,
) {
    if !enabled(Level::Info) {
        return;
    }
    let key = key.map_or_else(|| NONE.to_owned(), |key| key.to_string());
    let workspace = workspace();
    detail(&key, refusal);
    event!(
        info,
        "request.refused",
        key = key,
        workspace = workspace.as_ref().map_or(NONE, WorkspaceName::as_str),
        outcome = refusal.outcome.as_str(),
        kind = refusal.kind.slug(),
        status = refusal.kind.status(),
        charged = 0,
        ms = begun.elapsed().as_millis(),
    );
}

fn detail(key: &dyn std::fmt::Display, refusal: &Refusal) {
    event!(
        debug,
        "request.refusal",
        key = key,
        detail = refusal.detail,
        field = refusal.field.as_deref().unwrap_or(NONE),
    );
}
