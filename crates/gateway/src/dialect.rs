//! What callers and backend servers of a deployment speak, on top of HTTP.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use swiftlink_routing::LoadReport;
use swiftlink_types::{ServerName, Tokens, WorkspaceName};

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Names the request; backend servers repeat it in their answers.
    pub id: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// What it may consume.
    pub usage: Option<Usage>,
    /// Hash of the prompt's last part that other requests share; 0 without one.
    pub prefix: u64,
    /// Tokens of the parts that other requests share.
    pub shared: Tokens,
    /// The caller's key.
    pub key: Option<String>,
    /// The event after which the answer goes on, if the caller has a part of it.
    pub resume: Option<u64>,
}

impl Ask {
    /// The request's id, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        let id = self.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// What a request may consume, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
}

impl Usage {
    /// The most that the request can cost.
    #[must_use]
    pub fn most(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// What the router adds to a request that it sends to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The server that is meant; another one at its address must refuse.
    pub server: &'a ServerName,
    /// Workspace that is charged.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time that is left.
    pub left: Duration,
    /// Rank of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub resume: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server says that it did not run the request: it is full or leaving.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// The answer belongs to another request, or isn't one of the server.
    Stray,
    /// The request ran, and this is its success.
    Served,
    /// The request ran and failed.
    Failed,
}

/// The words of a deployment.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Header that names a request.
    fn id_header(&self) -> &str;

    /// What the headers of a request say.
    ///
    /// # Errors
    /// What is wrong with them, for the caller.
    fn ask(&self, headers: &HeaderMap) -> Result<Ask, String>;

    /// Headers for a backend server, from those of the caller.
    fn request_headers(&self, from: &HeaderMap, order: &Order<'_>) -> HeaderMap;

    /// Headers for the caller, from those of a backend server.
    fn response_headers(&self, from: &HeaderMap) -> HeaderMap;

    /// What the head of an answer to the request `id` says.
    fn verdict(&self, id: Option<&HeaderValue>, status: StatusCode, head: &HeaderMap) -> Verdict;

    /// The server's load, where the answer tells it.
    fn load(&self, head: &HeaderMap) -> Option<LoadReport>;

    /// How much longer the server is cold, where the answer tells it.
    fn warmup(&self, _head: &HeaderMap) -> Option<Duration> {
        None
    }

    /// Whether the server says that it leaves.
    fn is_leaving(&self, _head: &HeaderMap) -> bool {
        false
    }

    /// For how long the server wants nothing from this VM, where its refusal says so.
    fn rest(&self, _status: StatusCode, _head: &HeaderMap) -> Option<Duration> {
        None
    }

    /// How long the server keeps the connection of this answer when it is idle.
    fn keep(&self, head: &HeaderMap) -> Option<Duration>;
}
