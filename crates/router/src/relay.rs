//! Relays a request that finds no rights here to a peer router, one hop.
//!
//! The peer is watched while it is waited for (see [`crate::peers`]): one that falls
//! silent is given up at once, and the outcome there isn't known.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use swiftlink_telemetry::event;
use swiftlink_types::{OUTCOME_HEADER, Outcome, Refusal, RefusalKind};

use crate::call::Call;
use crate::forward::{end_to_end, pass_body};
use crate::node::Node;
use crate::past::{PastRun, digest};
use crate::peers::Watched;
use crate::reply::{Reply, ReplySender, pieces};
use crate::serve::send;
use crate::surface::{KEY, RELAY};
use swiftlink_gateway::upstream::{PendingResponse, SendError, send as send_http};

/// Peers that are asked for one request.
const PEERS_MAX: usize = 2;
/// When to come back after a peer was lost.
const LOST_RETRY: Duration = Duration::from_secs(1);
/// Longest refusal of a peer that is read (bytes).
const REFUSAL_MAX: usize = 16 << 10;

/// A request that this router can't serve.
#[derive(Debug, Clone, Copy)]
pub struct Origin<'a> {
    /// What the router's parts share.
    pub node: &'a Node,
    /// The request.
    pub call: &'a Call,
}

/// What became of a relay.
#[derive(Debug)]
pub enum Relayed {
    /// The caller has its answer.
    Answered,
    /// No peer has run the request; the caller still waits.
    Nowhere(ReplySender),
}

impl Origin<'_> {
    /// Passes the request to one of `holders` or another peer, or refuses it.
    pub async fn relay_or_refuse(
        self,
        holders: Vec<SocketAddr>,
        refusal: Refusal,
        reply: ReplySender,
    ) {
        if let Relayed::Nowhere(reply) = self.relay(holders, &refusal, reply).await {
            send(reply, Reply::Refused(refusal));
        }
    }

    /// Passes the request to one of `holders` or another peer, where what it is refused
    /// for here need not stand there.
    pub async fn relay(
        self,
        holders: Vec<SocketAddr>,
        refusal: &Refusal,
        reply: ReplySender,
    ) -> Relayed {
        let mut lost = None;
        if may_relay(self.call, refusal) {
            // Where it may have run is remembered as if it had been dispatched here.
            let mut past = self.past();
            for address in self.candidates(holders) {
                past.iter_mut().for_each(PastRun::dispatch);
                match self.try_peer(address).await {
                    Tried::Answered(answer, watched) => {
                        self.node.metrics.count("request.relayed", 1);
                        pass(answer, watched, reply).await;
                        return Relayed::Answered;
                    }
                    Tried::NotRun => past.iter_mut().for_each(PastRun::recall),
                    Tried::Lost(why) => {
                        past = None;
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
            return Relayed::Nowhere(reply);
        };
        send(reply, Reply::Refused(lost));
        Relayed::Answered
    }

    /// What is to be remembered of the request; nothing of a resumption.
    fn past(self) -> Option<PastRun> {
        let call = self.call;
        (!call.is_resumption()).then(|| self.node.past.begin(&call.key_use, digest(&call.original)))
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
        let mut candidates: Vec<SocketAddr> = Vec::with_capacity(PEERS_MAX);
        for address in list {
            let is_known = address == self.node.address || candidates.contains(&address);
            if !is_known && self.node.peers.is_up(address) {
                candidates.push(address);
            }
        }
        candidates.truncate(PEERS_MAX);
        candidates
    }

    async fn try_peer(self, address: SocketAddr) -> Tried {
        let left = self.call.time_left();
        if left.is_zero() {
            return Tried::NotRun;
        }
        let mut watched = self.node.peers.watch(address);
        if watched.is_silent() {
            return Tried::NotRun;
        }
        let options = self.node.send_options(left, self.call.once);
        let sent = tokio::select! {
            sent = send_http(address, self.request(address), options) => sent,
            () = watched.silenced() => Err(SendError::Lost("the peer is silent".to_owned())),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(
                error @ (SendError::NotSent(_) | SendError::Unreachable | SendError::Withheld(_)),
            ) => {
                event!(
                    debug,
                    "relay.not-sent",
                    peer = address,
                    why = error.detail()
                );
                self.node.peers.note_down(address);
                return Tried::NotRun;
            }
            Err(error @ (SendError::Lost(_) | SendError::TimedOut)) => {
                let why = error.detail().to_owned();
                event!(info, "relay.lost", peer = address, why = why);
                return Tried::Lost(why);
            }
        };
        if !self.is_refused(&answer) {
            return Tried::Answered(Box::new(answer), watched);
        }
        let (response, mut lease) = answer.split();
        let body = Limited::new(response.into_body(), REFUSAL_MAX);
        if body.collect().await.is_ok() {
            lease.recycle();
        }
        Tried::NotRun
    }

    /// Whether the peer has not run the request, and another may.
    fn is_refused(self, answer: &PendingResponse) -> bool {
        let outcome = answer.response.headers().get(OUTCOME_HEADER);
        if outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str()) {
            return true;
        }
        // Of a resumption it is never said that it has not run; reading on runs nothing.
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
        *headers = end_to_end(&original.headers);
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

/// What became of a try.
enum Tried {
    /// The peer answered, and the request may have run there.
    Answered(Box<PendingResponse>, Watched),
    /// The peer was not reached or did not run the request.
    NotRun,
    /// The peer was reached and its answer was lost.
    Lost(String),
}

/// Whether another router may be able to serve what this one can't.
fn may_relay(call: &Call, refusal: &Refusal) -> bool {
    let kind = refusal.kind;
    let elsewhere = matches!(
        kind,
        RefusalKind::BudgetBusy | RefusalKind::LogOut | RefusalKind::KeyInUse
    );
    elsewhere && !call.relayed
}

/// Passes the peer's answer on as it comes; a silent peer cuts it, and the caller can
/// resume it at any router.
async fn pass(answer: Box<PendingResponse>, mut watched: Watched, reply: ReplySender) {
    let (response, mut lease) = answer.split();
    let (parts, body) = response.into_parts();
    let headers = end_to_end(&parts.headers);
    let (sender, receiver) = pieces();
    send(reply, Reply::Pieces(parts.status, headers, receiver));
    let is_silent = tokio::select! {
        _whole = pass_body(body, &mut lease, &sender) => false,
        () = watched.silenced() => true,
    };
    if is_silent {
        let cut = std::io::Error::other("the peer router is silent");
        let _gone = sender.send(Err(cut)).await;
    }
}
