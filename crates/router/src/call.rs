//! An admitted request: its sender, its work and its maximum cost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use swiftlink_admission::ClassSpec;
use swiftlink_resource::{Class, Pool as PoolSpec};
use swiftlink_stream::ResumeToken;
use swiftlink_types::{BudgetName, ClassName, RequestKey, Tokens, WorkspaceName, cost};
use tokio::time::Instant;

use crate::fleet::Pool;
use crate::keys::KeyUse;
use crate::queue::Arrival;

/// A request as received, kept for relaying it to a peer router.
#[derive(Debug, Clone)]
pub struct Original {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// The work that a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A model's answer.
    Model(ModelWork),
    /// A call of a plain service.
    Service(ServiceWork),
    /// The remainder of a model's answer.
    Resume(ResumeWork),
}

/// A model's answer.
#[derive(Debug, Clone)]
pub struct ModelWork {
    /// Body for the engine.
    pub body: Bytes,
    /// Whether it is a chat completion rather than a text completion.
    pub chat: bool,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceWork {
    /// Path and query at the service.
    pub target: String,
}

/// The remainder of a model's answer.
#[derive(Debug, Clone)]
pub struct ResumeWork {
    /// Proves that the stream belongs to the caller.
    pub token: ResumeToken,
    /// The token in its text form.
    pub text: String,
    /// Number of the first chunk that the caller has not received.
    pub from: u64,
}

/// An admitted request that is being served.
#[derive(Debug)]
pub struct Call {
    /// Keeps its key in use.
    pub key_use: KeyUse,
    /// Whether the caller gave the key.
    pub has_key: bool,
    /// Budget that it is charged to.
    pub budget: BudgetName,
    /// Its priority class.
    pub class_name: ClassName,
    /// The class as declared.
    pub class: Arc<Class>,
    /// Pool whose servers may run it.
    pub pool: Arc<Pool>,
    /// The pool as declared.
    pub pool_spec: Arc<PoolSpec>,
    /// Whether it is non-idempotent: it must not run more than once.
    pub once: bool,
    /// Whether a peer router relayed it here.
    pub relayed: bool,
    /// Time after which an answer is useless to the caller.
    pub deadline: Instant,
    /// Maximum cost (budget tokens).
    pub bound: Tokens,
    /// Hash that identifies the request when its caller sends it again: key of its queue entry
    /// and choice of the first peer to relay to.
    pub identity: u64,
    /// The requested work.
    pub work: Work,
    /// The request as received.
    pub original: Original,
}

impl Call {
    /// Its key.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        self.key_use.key()
    }

    /// Workspace that sent it.
    #[must_use]
    pub fn workspace(&self) -> &WorkspaceName {
        self.key_use.workspace()
    }

    /// Whether it reads the answer of an existing run instead of starting one.
    #[must_use]
    pub fn is_resumption(&self) -> bool {
        matches!(self.work, Work::Resume(_))
    }

    /// Time left until its deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Cost (budget tokens) of `tokens` processed, at most the reserved maximum.
    #[must_use]
    pub fn cost(&self, tokens: Tokens) -> Tokens {
        cost(tokens, self.class.price).min(self.bound)
    }

    /// Its description for the queue.
    #[must_use]
    pub fn arrival(&self) -> Arrival {
        Arrival {
            class: self.class_name.clone(),
            spec: ClassSpec {
                weight: self.class.weight,
                limit: self.class.queue as usize,
            },
            key: self.identity,
            left: self.time_left(),
        }
    }
}
