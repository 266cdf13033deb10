//! Records the callers' requests and their results in one total order.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::caller::Answer;
use crate::checker::{Call, CallOutcome};

/// Attributes of a request that are known before it is sent.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Budget that is charged.
    pub budget: String,
    /// Price of the priority class, in thousandths.
    pub price: u32,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// Expected text of a complete answer.
    pub expected: Option<String>,
}

/// Collects the calls of concurrent callers.
#[derive(Debug, Default)]
pub struct Recorder {
    clock: AtomicU64,
    calls: Mutex<Vec<Call>>,
}

impl Recorder {
    /// Awaits `send`, records it as one call, and returns its answer.
    pub async fn record(&self, request: RequestInfo, send: impl Future<Output = Answer>) -> Answer {
        let began = self.tick();
        let answer = send.await;
        self.note(request, began, CallOutcome::from(&answer));
        answer
    }

    /// Returns the next position in the order of events.
    pub fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::SeqCst)
    }

    /// Records a call that began at position `began` and ends now.
    pub fn note(&self, request: RequestInfo, began: u64, outcome: CallOutcome) {
        let call = Call {
            key: request.key,
            workspace: request.workspace,
            budget: request.budget,
            price: request.price,
            once: request.once,
            expected: request.expected,
            began,
            ended: self.tick(),
            outcome,
        };
        self.calls.lock().expect("no holder panics").push(call);
    }

    /// The calls that have ended so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no holder panics").clone()
    }
}
