//! Relays a request that this router has no quota for to a peer router, over one hop.
//!
//! The peer is probed while the request waits for it (see [`crate::peers`]). A peer that falls
//! silent is given up at once; the outcome of the request there is then unknown.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use swiftlink_telemetry::event;
use swiftlink_types::{OUTCOME_HEADER, Outcome, Refusal, RefusalKind};
use tokio::time::timeout_at;

use crate::call::Call;
use crate::forward::{end_to_end, for_peer, pass_body};
use crate::history::{TrackedRun, digest};
use crate::node::Node;
use crate::peers::PeerWatch;
use crate::reply::{Reply, ReplySender, StreamedReply, channel};
use crate::serve::send_reply;
use crate::surface::{KEY, RELAY};
use swiftlink_gateway::upstream::{PendingResponse, SendError, send as send_http};

/// Largest number of peers tried for one request.
const MAX_PEERS: usize = 2;
/// Retry time given to the caller after the answer of a peer was lost.
const LOST_RETRY: Duration = Duration::from_secs(1);
/// Largest body of a refusal that is read from a peer (bytes).
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Relays one request that this router can't serve.
#[derive(Debug, Clone, Copy)]
pub struct Relayer<'a> {
    /// Shared state of the router.
    pub node: &'a Node,
    /// The request.
    pub call: &'a Call,
}

/// Result of a relay.
#[derive(Debug)]
pub enum RelayResult {
    /// The reply was sent.
    Answered,
    /// No peer has run the request; the caller still waits for a reply.
    NotRun(ReplySender),
}

impl Relayer<'_> {
    /// Relays the request to one of `holders` or another peer, or refuses it.
    pub async fn relay_or_refuse(
        self,
        holders: Vec<SocketAddr>,
        refusal: Refusal,
        reply: ReplySender,
    ) {
        if let RelayResult::NotRun(reply) = self.relay(holders, &refusal, reply).await {
            send_reply(reply, Reply::Refused(refusal));
        }
    }

    /// Relays the request to one of `holders` or another peer, if the reason for `refusal` need
    /// not apply there.
    pub async fn relay(
        self,
        holders: Vec<SocketAddr>,
        refusal: &Refusal,
        reply: ReplySender,
    ) -> RelayResult {
        let mut lost = None;
        if may_relay(self.call, refusal) {
            // A run at a peer is recorded as if it had been dispatched here.
            let mut tracked = self.track_run();
            for address in self.candidates(holders) {
                tracked.iter_mut().for_each(TrackedRun::dispatch);
                match self.try_peer(address).await {
                    PeerResult::Answered(answer, watched) => {
                        self.node.metrics.count("request.relayed", 1);
                        forward_answer(answer, watched, reply).await;
                        return RelayResult::Answered;
                    }
                    PeerResult::NotRun => tracked.iter_mut().for_each(TrackedRun::recall),
                    PeerResult::Lost(why) => {
                        tracked = None;
                        let detail = format!("the peer router's answer was lost: {why}");
                        let refusal = Refusal::unknown(RefusalKind::ServerFailed, detail);
                        lost = Some(refusal.with_retry(LOST_RETRY));
                        if self.call.once {
                            break;
                        }
                    }
                }
            }
        }
        let Some(lost) = lost else {
            return RelayResult::NotRun(reply);
        };
        send_reply(reply, Reply::Refused(lost));
        RelayResult::Answered
    }

    /// Tracks the run in the history, unless the request is a resumption.
    fn track_run(self) -> Option<TrackedRun> {
        let call = self.call;
        (!call.is_resumption()).then(|| {
            self.node
                .history
                .begin(&call.key_use, digest(&call.original))
        })
    }

    fn candidates(self, holders: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut list = holders;
        let peers = &self.node.settings.peers;
        if !peers.is_empty() {
            let start = self.call.identity as usize % peers.len();
            for step in 0..peers.len() {
                list.push(peers[(start + step) % peers.len()].address);
            }
        }
        let mut candidates: Vec<SocketAddr> = Vec::with_capacity(MAX_PEERS);
        for address in list {
            let is_known = address == self.node.address || candidates.contains(&address);
            if !is_known && self.node.peers.is_up(address) {
                candidates.push(address);
            }
        }
        candidates.truncate(MAX_PEERS);
        candidates
    }

    async fn try_peer(self, address: SocketAddr) -> PeerResult {
        let left = self.call.time_left();
        if left.is_zero() {
            return PeerResult::NotRun;
        }
        let mut watched = self.node.peers.watch(address);
        if watched.is_silent() {
            return PeerResult::NotRun;
        }
        let options = self.node.send_options(left, self.call.once);
        let sent = tokio::select! {
            sent = send_http(address, self.request(address), options) => sent,
            () = watched.until_silent() => Err(SendError::Lost("the peer is silent".to_owned())),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(SendError::Expired) => return PeerResult::NotRun,
            Err(
                error @ (SendError::NotSent(_) | SendError::Unreachable | SendError::Withheld(_)),
            ) => {
                event!(
                    debug,
                    "relay.not-sent",
                    peer = address,
                    why = error.detail()
                );
                self.node.peers.on_connect_failure(address);
                return PeerResult::NotRun;
            }
            Err(error @ (SendError::Lost(_) | SendError::TimedOut | SendError::Hung)) => {
                let why = error.detail().to_owned();
                event!(info, "relay.lost", peer = address, why = why);
                return PeerResult::Lost(why);
            }
        };
        if !self.is_refused(&answer) {
            return PeerResult::Answered(Box::new(answer), watched);
        }
        let (response, mut lease) = answer.split();
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_refusal)) = timeout_at(self.call.deadline, body).await {
            lease.recycle();
        }
        PeerResult::NotRun
    }

    /// Whether the peer has not run the request, so that another may.
    fn is_refused(self, answer: &PendingResponse) -> bool {
        let outcome = answer.response.headers().get(OUTCOME_HEADER);
        if outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str()) {
            return true;
        }
        // A resumption never has the outcome "not run"; trying it at another peer runs nothing.
        let status = answer.response.status();
        let is_busy = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        is_busy && self.call.is_resumption()
    }

    fn request(self, address: SocketAddr) -> Request<Full<bytes::Bytes>> {
        let original = &self.call.original;
        let body = original.body.clone();
        let method = original.method.clone();
        let mut request = crate::engine::plain(address, method, &original.target, body);
        let host = request.headers_mut().remove(HOST);
        let headers = request.headers_mut();
        *headers = for_peer(&original.headers, self.call.time_left());
        if let Some(host) = host {
            headers.insert(HOST, host);
        }
        if let Ok(key) = HeaderValue::from_str(&self.call.key().to_string()) {
            headers.insert(KEY, key);
        }
        headers.insert(RELAY, HeaderValue::from_static("1"));
        request
    }
}

/// Result of one attempt at a peer.
enum PeerResult {
    /// The peer answered, and the request may have run there.
    Answered(Box<PendingResponse>, PeerWatch),
    /// The peer was not reached or did not run the request.
    NotRun,
    /// The peer was reached and its answer was lost.
    Lost(String),
}

/// Whether another router may be able to serve the request.
fn may_relay(call: &Call, refusal: &Refusal) -> bool {
    let kind = refusal.kind;
    let elsewhere = matches!(
        kind,
        RefusalKind::BudgetBusy | RefusalKind::LogUnavailable | RefusalKind::KeyInUse
    );
    elsewhere && !call.relayed
}

/// Forwards the peer's answer as it arrives. If the peer falls silent, the caller's connection
/// is closed early, and the caller can resume the stream at any router.
async fn forward_answer(answer: Box<PendingResponse>, mut watched: PeerWatch, reply: ReplySender) {
    let (response, mut lease) = answer.split();
    let (parts, body) = response.into_parts();
    let headers = end_to_end(&parts.headers);
    let (sender, receiver) = channel();
    let stream = StreamedReply {
        status: parts.status,
        headers,
        pieces: receiver,
        deadline: None,
    };
    send_reply(reply, Reply::Stream(stream));
    let is_silent = tokio::select! {
        _whole = pass_body(body, &mut lease, &sender) => false,
        () = watched.until_silent() => true,
    };
    if is_silent {
        let cut = std::io::Error::other("the peer router is silent");
        let _gone = sender.send(Err(cut)).await;
    }
}
