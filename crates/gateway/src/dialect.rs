//! The protocol that callers and backend servers of a deployment speak on top of HTTP.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use swiftlink_routing::LoadReport;
use swiftlink_types::{ServerName, Tokens, WorkspaceName};

/// What the headers of a caller's request contain.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta {
    /// Identifies the request; backend servers echo it in their responses.
    pub id: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Upper bound of the tokens that the request may consume.
    pub usage: Option<Usage>,
    /// Hash of the last prompt part that is shared with other requests; 0 without one.
    pub prefix: u64,
    /// Tokens of the prompt parts that are shared with other requests.
    pub shared: Tokens,
    /// Ids of the prompt parts that other requests may share, in order, without duplicates. Ids that
    /// backend servers take for one are equal here.
    pub parts: Vec<String>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Id of the last event that the caller has, if it resumes a response.
    pub resume: Option<u64>,
    /// Id of the request whose response had the first event of the one that the caller resumes.
    pub resumes: Option<HeaderValue>,
}

impl RequestMeta {
    /// The request's id, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        let id = self.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Id of the request that began the response, for logs.
    #[must_use]
    pub fn resumes(&self) -> &str {
        let resumes = self.resumes.as_ref();
        resumes.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Upper bounds of what a request may consume, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Maximum number of tokens of the response.
    pub output: Tokens,
}

impl Usage {
    /// The maximum cost of the request, in tokens.
    #[must_use]
    pub fn max_total(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// What the router adds to a request that it forwards to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMeta<'a> {
    /// The intended server; another one at the same address must refuse the request.
    pub server: &'a ServerName,
    /// Workspace that is charged.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time left until the deadline.
    pub left: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has.
    pub resume: Option<u64>,
}

/// What the head of a response says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The server says that it did not run the request: it is full or draining.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// The response belongs to another request, or doesn't come from a backend server.
    Mismatched,
    /// The request ran and succeeded.
    Served,
    /// The request ran and failed.
    Failed,
}

/// What a response says about the rate of requests that its server takes from all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// It names no limit.
    #[default]
    None,
    /// It names this limit, in requests a second.
    Limit(f64),
    /// It names something that isn't a rate.
    Unreadable,
}

/// Reads and writes the headers of a deployment.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Header that carries the id of a request.
    fn id_header(&self) -> &str;

    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// When a header is malformed: a description for the caller.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;

    /// Headers for a backend server, from those of the caller.
    fn request_headers(&self, from: &HeaderMap, forward: &ForwardMeta<'_>) -> HeaderMap;

    /// Headers for the caller, from those of a backend server.
    fn response_headers(&self, from: &HeaderMap) -> HeaderMap;

    /// Classifies the response to the request `id` by its head.
    fn classify(
        &self,
        id: Option<&HeaderValue>,
        status: StatusCode,
        head: &HeaderMap,
    ) -> ResponseKind;

    /// The server's load, if the response reports it.
    fn load(&self, head: &HeaderMap) -> Option<LoadReport>;

    /// Remaining time that the server stays cold, if the response reports it.
    fn warmup(&self, _head: &HeaderMap) -> Option<Duration> {
        None
    }

    /// Whether the server announces that it is draining.
    fn is_draining(&self, _head: &HeaderMap) -> bool {
        false
    }

    /// How long this VM must send the server nothing, if its refusal asks for that.
    fn backoff(&self, _status: StatusCode, _head: &HeaderMap) -> Option<Duration> {
        None
    }

    /// The rate of requests that the server accepts, if the response limits it.
    fn rate_notice(&self, _head: &HeaderMap) -> RateNotice {
        RateNotice::None
    }

    /// Number of requests a second, from all routers together, that the server can refuse for lack
    /// of room without crashing; `None` if it names no such number.
    fn max_rejections(&self, _head: &HeaderMap) -> Option<f64> {
        None
    }

    /// How long the server keeps the connection of this response open while it is idle.
    fn keep_alive(&self, head: &HeaderMap) -> Option<Duration>;
}
