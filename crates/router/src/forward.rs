//! Forwarding of headers and bodies between a caller and another HTTP server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::BodyExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use crate::reply::Piece;
use crate::surface::DEADLINE;
use swiftlink_gateway::upstream::{Framing, Lease, ResponseBody};

/// Hop-by-hop headers, which apply to one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Maximum time for connecting to a server whose response has ended with its connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Prefix of this system's own headers.
const OWN_PREFIX: &str = "swiftlink-";

/// Removes the hop-by-hop headers.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    for name in headers.get_all(CONNECTION) {
        let Ok(names) = name.to_str() else {
            continue;
        };
        for name in names.split(',') {
            kept.remove(name.trim());
        }
    }
    kept
}

/// The headers of a caller's request that are forwarded to a backend server: without
/// credentials and without headers meant for the router.
#[must_use]
pub fn for_server(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(AUTHORIZATION);
    let own: Vec<_> = kept
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        kept.remove(name);
    }
    kept
}

/// The headers of a caller's request that is relayed to another router with `left` until its deadline.
#[must_use]
pub fn for_peer(headers: &HeaderMap, left: Duration) -> HeaderMap {
    let mut kept = end_to_end(headers);
    let left = left.as_millis().max(1).to_string();
    if let Ok(left) = HeaderValue::try_from(left) {
        kept.insert(DEADLINE, left);
    }
    kept
}

/// Whether the server at `address` has ended: nobody listens there any more.
async fn has_ended(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Forwards a response of the server at `address` until `deadline`. Where only the end of the connection
/// marks the end, a server that has ended by then broke it off. Returns whether the body was complete.
pub async fn pass_response(
    response: Response<ResponseBody>,
    address: SocketAddr,
    mut lease: Lease,
    sender: &mpsc::Sender<Piece>,
    deadline: Instant,
) -> bool {
    let framing = Framing::of(&response);
    let passed = pass_body(response.into_body(), &mut lease, sender);
    let reason = match timeout_at(deadline, passed).await {
        Err(_elapsed) => "the deadline has passed",
        Ok(is_complete) => {
            if !is_complete || framing != Framing::Close || !has_ended(address).await {
                return is_complete;
            }
            "the connection was closed, and the server has ended"
        }
    };
    // The server needn't wait for a caller that doesn't read.
    drop(lease);
    let _gone = sender.send(Err(io::Error::other(reason))).await;
    false
}

/// Forwards a body frame by frame. If the body ends early, the caller's connection is
/// closed as well. Returns whether the body was complete.
pub async fn pass_body(
    mut body: ResponseBody,
    lease: &mut Lease,
    sender: &mpsc::Sender<Piece>,
) -> bool {
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                let _gone = sender.send(Err(io::Error::other(error))).await;
                return false;
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if sender.send(Ok(data)).await.is_err() {
            return false;
        }
    }
    lease.recycle();
    true
}
