//! A request that was understood and admitted by name: who sends it, what it asks
//! for, and what it may cost.

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

/// A request as it came, for relaying it to a peer router.
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

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A model's answer.
    Model(ModelWork),
    /// A call of a plain service.
    Service(ServiceWork),
    /// The rest of a model's answer.
    Resume(ResumeWork),
}

/// A model's answer.
#[derive(Debug, Clone)]
pub struct ModelWork {
    /// Body for the engine.
    pub body: Bytes,
    /// A chat completion rather than a plain one.
    pub chat: bool,
    /// The caller wants a stream.
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

/// The rest of a model's answer.
#[derive(Debug, Clone)]
pub struct ResumeWork {
    /// The caller's proof that the stream is its own.
    pub token: ResumeToken,
    /// The same as text.
    pub text: String,
    /// First chunk that the caller has not seen.
    pub from: u64,
}

/// One request on its way.
#[derive(Debug)]
pub struct Call {
    /// Its key, in use.
    pub key_use: KeyUse,
    /// Whether the caller gave the key.
    pub has_key: bool,
    /// Budget that it draws on.
    pub budget: BudgetName,
    /// Its priority class.
    pub class_name: ClassName,
    /// The class as declared.
    pub class: Arc<Class>,
    /// Pool that serves it.
    pub pool: Arc<Pool>,
    /// The pool as declared.
    pub pool_spec: Arc<PoolSpec>,
    /// It must not run twice.
    pub once: bool,
    /// A peer has relayed it here.
    pub relayed: bool,
    /// Latest useful moment.
    pub deadline: Instant,
    /// Most that it can cost, in budget tokens.
    pub bound: Tokens,
    /// Hash that knows it again when it comes back.
    pub identity: u64,
    /// What it asks for.
    pub work: Work,
    /// The request as it came.
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

    /// Whether it reads a run that exists, and makes none.
    #[must_use]
    pub fn is_resumption(&self) -> bool {
        matches!(self.work, Work::Resume(_))
    }

    /// Time left until its deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Budget tokens for `tokens` run, at most the bound that was reserved.
    #[must_use]
    pub fn cost(&self, tokens: Tokens) -> Tokens {
        cost(tokens, self.class.price).min(self.bound)
    }

    /// What it shows to the queue.
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
