//! Tunnels to a target through a server.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use socket2::SockRef;
use swiftlink_link::{
    Handler, Replies, Secret, Server, Tunnel, TunnelError, TunnelRefusal, TunnelTarget,
};
use swiftlink_wire::link::{OpenTunnel, TunnelState, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Maximum wait for what a test expects.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a test checks a tunnel.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Connects every tunnel to one target.
struct ToTarget {
    target: SocketAddr,
    permits: Arc<Semaphore>,
    leaving: CancellationToken,
}

#[async_trait]
impl Handler for ToTarget {
    async fn handle(&self, _peer: &str, _request: request::Kind, _replies: Replies) {}

    async fn open_tunnel(
        &self,
        _peer: &str,
        target: &OpenTunnel,
    ) -> Result<TunnelTarget, TunnelRefusal> {
        if target.server != "known" {
            return Err(TunnelState::Closed.into());
        }
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        Ok(TunnelTarget {
            stream: TcpStream::connect(self.target).await.expect("the target"),
            permit: permit.map_err(|_none| TunnelState::Full)?,
            tunnels: 1,
            leaving: self.leaving.clone(),
            hung: Box::pin(pending()),
        })
    }
}

/// A target, and a server that opens tunnels to it.
struct Setup {
    target: TcpListener,
    server: Server,
    leaving: CancellationToken,
}

impl Setup {
    async fn open() -> Self {
        let target = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let leaving = CancellationToken::new();
        let handler = ToTarget {
            target: target.local_addr().expect("an address"),
            permits: Arc::new(Semaphore::new(1)),
            leaving: leaving.clone(),
        };
        let server = Server::bind(listener, "between", secret(), Arc::new(handler));
        Self {
            target,
            server: server.expect("a server"),
            leaving,
        }
    }

    async fn tunnel(&self, server: &str) -> Result<Tunnel, TunnelError> {
        let target = OpenTunnel {
            server: server.to_owned(),
            ..OpenTunnel::default()
        };
        Tunnel::open(self.server.address(), "router", &secret(), target).await
    }

    /// Opens a tunnel and returns both ends.
    async fn ends(&self) -> (Tunnel, TcpStream) {
        let (tunnel, accepted) = tokio::join!(self.tunnel("known"), self.target.accept());
        (tunnel.expect("a tunnel"), accepted.expect("a peer").0)
    }
}

fn secret() -> Secret {
    Secret::new("tunnels")
}

#[tokio::test]
async fn bytes_pass_in_both_directions_and_the_end_of_the_target_is_the_end() {
    let setup = Setup::open().await;
    let (mut tunnel, mut target) = setup.ends().await;
    let sent: Vec<u8> = (0..100_000_u32).map(|byte| byte as u8).collect();
    tunnel.write_all(&sent).await.expect("sending");
    let mut received = vec![0; sent.len()];
    target.read_exact(&mut received).await.expect("the request");
    assert_eq!(received, sent);
    target.write_all(&sent).await.expect("responding");
    drop(target);
    let mut response = Vec::new();
    tunnel.read_to_end(&mut response).await.expect("the end");
    assert_eq!(response, sent);
}

/// Guards against a response that ends with its connection and looks complete though the process
/// between ended, and not the target.
#[tokio::test]
async fn a_tunnel_whose_process_ends_breaks_off() {
    let setup = Setup::open().await;
    let (mut tunnel, mut target) = setup.ends().await;
    target.write_all(b"half").await.expect("responding");
    let mut start = [0; 4];
    tunnel.read_exact(&mut start).await.expect("the start");
    setup.server.stop().await;
    let mut rest = Vec::new();
    assert!(tunnel.read_to_end(&mut rest).await.is_err(), "{rest:?}");
}

/// Guards against a reset of the target's connection that is passed on as its end.
#[tokio::test]
async fn a_tunnel_whose_target_resets_its_connection_breaks_off() {
    let setup = Setup::open().await;
    let (mut tunnel, mut target) = setup.ends().await;
    target.write_all(b"half").await.expect("responding");
    let mut start = [0; 4];
    tunnel.read_exact(&mut start).await.expect("the start");
    let linger = SockRef::from(&target).set_linger(Some(Duration::ZERO));
    linger.expect("an abortive close");
    drop(target);
    let mut rest = Vec::new();
    assert!(tunnel.read_to_end(&mut rest).await.is_err(), "{rest:?}");
}

/// Passes a connection to `server` on, and `count` bytes back. Then it closes the connection, in order
/// or with a reset.
async fn cut_after(server: SocketAddr, count: u64, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.expect("a connection");
        let mut far = TcpStream::connect(server).await.expect("the server");
        if resets {
            let linger = SockRef::from(&near).set_linger(Some(Duration::ZERO));
            linger.expect("an abortive close");
        }
        let (mut from_near, mut to_near) = near.split();
        let (from_far, mut to_far) = far.split();
        let mut part = from_far.take(count);
        tokio::select! {
            _closed = tokio::io::copy(&mut from_near, &mut to_far) => {}
            _passed = tokio::io::copy(&mut part, &mut to_near) => {}
        }
    });
    address
}

/// What arrives of a target's bytes through a tunnel that is cut after `count` bytes, and whether it
/// ends like a whole one.
async fn read_cut(count: u64, resets: bool) -> (Vec<u8>, bool) {
    let setup = Setup::open().await;
    let address = cut_after(setup.server.address(), count, resets).await;
    let Setup { target, .. } = setup;
    let responding = tokio::spawn(async move {
        let (mut target, _) = target.accept().await.expect("a connection");
        for part in WHOLE.chunks(4) {
            if target.write_all(part).await.is_err() {
                return;
            }
        }
    });
    let target = OpenTunnel {
        server: "known".to_owned(),
        ..OpenTunnel::default()
    };
    let mut bytes = Vec::new();
    let opened = Tunnel::open(address, "router", &secret(), target).await;
    let Ok(mut tunnel) = opened else {
        responding.abort();
        return (bytes, false);
    };
    let read = timeout(TIMEOUT, tunnel.read_to_end(&mut bytes)).await;
    let has_ended = read.expect("the end or an error").is_ok();
    (bytes, has_ended)
}

/// What a target sends.
const WHOLE: &[u8] = b"id: 1\ndata: abc\n\n";

/// Guards against a tunnel whose connection between the two processes ends or is reset at any byte, and
/// that passes this on as the end of the target's bytes.
#[tokio::test]
async fn a_tunnel_that_is_cut_at_any_byte_breaks_off() {
    let mut length = 0;
    loop {
        let (bytes, has_ended) = read_cut(length, false).await;
        assert!(WHOLE.starts_with(&bytes), "{length}: {bytes:?}");
        if has_ended {
            assert_eq!(bytes, WHOLE, "{length}");
            break;
        }
        length += 1;
    }
    for count in 0..length {
        let (bytes, has_ended) = read_cut(count, true).await;
        assert!(
            WHOLE.starts_with(&bytes) && !has_ended,
            "{count}: {bytes:?}"
        );
    }
}

/// Guards against a target that works on for a caller that has left.
#[tokio::test]
async fn a_closed_tunnel_closes_the_targets_connection() {
    let setup = Setup::open().await;
    let (tunnel, mut target) = setup.ends().await;
    drop(tunnel);
    let mut byte = [0];
    let read = timeout(TIMEOUT, target.read(&mut byte)).await;
    assert_eq!(read.expect("a close").ok(), Some(0));
}

/// Guards against requests that a planned stop of the process between cuts off.
#[tokio::test]
async fn a_tunnel_of_a_leaving_process_completes_its_request_and_takes_no_other() {
    let setup = Setup::open().await;
    let (mut tunnel, mut target) = setup.ends().await;
    tunnel.state().set_busy(true);
    setup.leaving.cancel();
    target.write_all(b"whole").await.expect("responding");
    let mut response = [0; 5];
    tunnel.read_exact(&mut response).await.expect("a response");
    let state = tunnel.state();
    let read = timeout(TIMEOUT, async {
        while !state.is_leaving() {
            let mut byte = [0];
            let _pending = timeout(POLL_INTERVAL, tunnel.read(&mut byte)).await;
        }
    });
    read.await.expect("a note that the process leaves");
}

#[tokio::test]
async fn an_idle_tunnel_of_a_leaving_process_closes() {
    let setup = Setup::open().await;
    let (mut tunnel, mut target) = setup.ends().await;
    setup.leaving.cancel();
    let mut byte = [0];
    let read = timeout(TIMEOUT, tunnel.read(&mut byte)).await;
    assert!(read.expect("an end").is_err());
    drop(tunnel);
    let read = timeout(TIMEOUT, target.read(&mut byte)).await;
    assert_eq!(read.expect("a close").ok(), Some(0));
}

#[tokio::test]
async fn refused_tunnels_say_why() {
    let setup = Setup::open().await;
    let refused = setup.tunnel("unknown").await.expect_err("a refusal");
    let is_closed = |error: &TunnelError, expected| matches!(error, TunnelError::Refused { state, .. } if *state == expected);
    assert!(is_closed(&refused, TunnelState::Closed), "{refused}");
    let _ends = setup.ends().await;
    let full = setup.tunnel("known").await.expect_err("a refusal");
    assert!(is_closed(&full, TunnelState::Full), "{full}");
}
