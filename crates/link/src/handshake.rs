//! Mutual authentication by the shared secret at the start of a connection.
//!
//! The accepting side sends a fresh nonce, the connecting side responds with its own
//! nonce and a proof over both, and the accepting side sends its proof in turn. The two
//! proofs have different labels, so that neither can be reflected as the other.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_wire::link::{Challenge, Frame, Hello, OpenTunnel, TunnelReply, Welcome, frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};

use crate::Secret;
use crate::codec::{FrameCodec, FrameError, MAX_FRAME};

/// Time limit for connecting, and for the handshake after that.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a frame from a peer that is not authenticated yet, in bytes.
const MAX_HANDSHAKE_FRAME: usize = 1024;

/// Maximum length of a peer's name, in bytes.
const MAX_NAME: usize = 256;
const NONCE_LEN: usize = 32;
const HELLO_LABEL: &[u8] = b"swiftlink link hello 1";
const WELCOME_LABEL: &[u8] = b"swiftlink link welcome 1";

/// An authenticated connection and the bytes read beyond the handshake.
pub(crate) struct Authenticated {
    pub(crate) socket: TcpStream,
    pub(crate) peer: Arc<str>,
    pub(crate) input: Input,
    /// The tunnel that the connecting side asks for.
    pub(crate) tunnel: Option<OpenTunnel>,
}

/// Bytes read and not yet decoded.
pub(crate) struct Input {
    pub(crate) codec: FrameCodec,
    pub(crate) bytes: BytesMut,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum HandshakeError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("connection closed during the handshake")]
    Eof,
    #[error("unexpected frame during the handshake")]
    Unexpected,
    #[error("peer failed to authenticate with the shared secret")]
    Refused,
    #[error("handshake timed out")]
    Timeout,
}

/// Performs the handshake on the side that accepted the connection.
pub(crate) async fn accept(
    socket: TcpStream,
    name: &str,
    secret: &Secret,
) -> Result<Authenticated, HandshakeError> {
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_inner(socket, name, secret));
    result.await.unwrap_or(Err(HandshakeError::Timeout))
}

/// Performs the handshake on the side that opened the connection.
pub(crate) async fn connect(
    socket: TcpStream,
    name: &str,
    secret: &Secret,
) -> Result<Authenticated, HandshakeError> {
    let mut channel = Channel::new(socket);
    let handshake = connect_inner(&mut channel, name, secret, None);
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    let peer = result.unwrap_or(Err(HandshakeError::Timeout))?;
    Ok(channel.into_authenticated(&peer, None))
}

/// Performs the handshake on the side that opened the connection, and waits for the reply to the
/// tunnel that it asks for.
pub(crate) async fn connect_tunnel(
    socket: TcpStream,
    name: &str,
    secret: &Secret,
    tunnel: OpenTunnel,
) -> Result<(Authenticated, TunnelReply), HandshakeError> {
    let mut channel = Channel::new(socket);
    let peer = connect_inner(&mut channel, name, secret, Some(tunnel)).await?;
    let frame::Body::TunnelReply(reply) = channel.receive().await? else {
        return Err(HandshakeError::Unexpected);
    };
    Ok((channel.into_authenticated(&peer, None), reply))
}

async fn accept_inner(
    socket: TcpStream,
    name: &str,
    secret: &Secret,
) -> Result<Authenticated, HandshakeError> {
    let mut channel = Channel::new(socket);
    let nonce = nonce();
    let challenge = Challenge {
        nonce: nonce.to_vec(),
    };
    channel.send(frame::Body::Challenge(challenge)).await?;

    let frame::Body::Hello(hello) = channel.receive().await? else {
        return Err(HandshakeError::Unexpected);
    };
    check_sizes(&hello.name, &hello.nonce)?;
    let is_valid = secret.verify(
        &[HELLO_LABEL, &nonce, &hello.nonce, hello.name.as_bytes()],
        &hello.proof,
    );
    if !is_valid {
        return Err(HandshakeError::Refused);
    }

    let proof = secret.sign(&[WELCOME_LABEL, &nonce, &hello.nonce, name.as_bytes()]);
    let welcome = Welcome {
        name: name.to_owned(),
        proof,
    };
    channel.send(frame::Body::Welcome(welcome)).await?;
    Ok(channel.into_authenticated(&hello.name, hello.tunnel))
}

/// Authenticates both sides. Returns the name of the peer.
async fn connect_inner(
    channel: &mut Channel,
    name: &str,
    secret: &Secret,
    tunnel: Option<OpenTunnel>,
) -> Result<String, HandshakeError> {
    let frame::Body::Challenge(challenge) = channel.receive().await? else {
        return Err(HandshakeError::Unexpected);
    };
    let peer_nonce = challenge.nonce;
    if peer_nonce.len() != NONCE_LEN {
        return Err(HandshakeError::Unexpected);
    }

    let nonce = nonce();
    let proof = secret.sign(&[HELLO_LABEL, &peer_nonce, &nonce, name.as_bytes()]);
    let hello = Hello {
        name: name.to_owned(),
        nonce: nonce.to_vec(),
        proof,
        tunnel,
    };
    channel.send(frame::Body::Hello(hello)).await?;

    let frame::Body::Welcome(welcome) = channel.receive().await? else {
        return Err(HandshakeError::Unexpected);
    };
    check_sizes(&welcome.name, &peer_nonce)?;
    let is_valid = secret.verify(
        &[WELCOME_LABEL, &peer_nonce, &nonce, welcome.name.as_bytes()],
        &welcome.proof,
    );
    if !is_valid {
        return Err(HandshakeError::Refused);
    }
    Ok(welcome.name)
}

fn check_sizes(name: &str, nonce: &[u8]) -> Result<(), HandshakeError> {
    if name.is_empty() || name.len() > MAX_NAME || nonce.len() != NONCE_LEN {
        return Err(HandshakeError::Unexpected);
    }
    Ok(())
}

fn nonce() -> [u8; NONCE_LEN] {
    rand::random()
}

/// A connection during the handshake; reads and writes one frame at a time.
struct Channel {
    socket: TcpStream,
    input: Input,
}

impl Channel {
    fn new(socket: TcpStream) -> Self {
        let input = Input {
            codec: FrameCodec::new(MAX_HANDSHAKE_FRAME),
            bytes: BytesMut::new(),
        };
        Self { socket, input }
    }

    async fn send(&mut self, body: frame::Body) -> Result<(), HandshakeError> {
        let frame = Frame {
            id: 0,
            body: Some(body),
        };
        let mut bytes = BytesMut::new();
        self.input.codec.encode(&frame, &mut bytes)?;
        self.socket
            .write_all(&bytes)
            .await
            .map_err(FrameError::from)?;
        Ok(())
    }

    async fn receive(&mut self) -> Result<frame::Body, HandshakeError> {
        loop {
            if let Some(frame) = self.input.codec.decode(&mut self.input.bytes)? {
                return frame.body.ok_or(HandshakeError::Unexpected);
            }
            let read = self.socket.read_buf(&mut self.input.bytes).await;
            if read.map_err(FrameError::from)? == 0 {
                return Err(HandshakeError::Eof);
            }
        }
    }

    fn into_authenticated(mut self, peer: &str, tunnel: Option<OpenTunnel>) -> Authenticated {
        self.input.codec.set_limit(MAX_FRAME);
        Authenticated {
            socket: self.socket,
            peer: Arc::from(peer),
            input: self.input,
            tunnel,
        }
    }
}
