//! Records what callers send and are told, in one order.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::caller::Answer;
use crate::checker::{Call, End};

/// What is known of a call before it is sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Budget that pays.
    pub budget: String,
    /// Price of the class (thousandths).
    pub price: u32,
    /// May not run twice.
    pub once: bool,
    /// Text that a whole answer must have.
    pub expected: Option<String>,
}

/// Collects the calls of many callers at once.
#[derive(Debug, Default)]
pub struct Recorder {
    clock: AtomicU64,
    calls: Mutex<Vec<Call>>,
}

impl Recorder {
    /// Records one call around `send`, and returns its answer.
    pub async fn record(&self, sent: Sent, send: impl Future<Output = Answer>) -> Answer {
        let began = self.tick();
        let answer = send.await;
        self.note(sent, began, End::from(&answer));
        answer
    }

    /// The next place in the order of events.
    pub fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::SeqCst)
    }

    /// Records a call that began at `began` and ends now.
    pub fn note(&self, sent: Sent, began: u64, end: End) {
        let call = Call {
            key: sent.key,
            workspace: sent.workspace,
            budget: sent.budget,
            price: sent.price,
            once: sent.once,
            expected: sent.expected,
            began,
            ended: self.tick(),
            end,
        };
        self.calls.lock().expect("no holder panics").push(call);
    }

    /// The calls that have ended until now.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no holder panics").clone()
    }
}
