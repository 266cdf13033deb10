//! Tunnels: connections through another process to a server that this one can't reach.
//!
//! [`Tunnel::open`] connects to a [`Server`](crate::Server), whose [`Handler`](crate::Handler)
//! connects to the target. What the opening side writes goes to the target as it is. The target's
//! bytes come back in frames, so that the end of its connection differs from the loss of the
//! process between: a response may end with its connection, and must not look complete otherwise.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use swiftlink_fetch::set_timeouts;
use swiftlink_wire::link::{
    Frame, OpenTunnel, TunnelData, TunnelNote, TunnelReply, TunnelState, frame,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::{Decoder, Encoder, FramedRead};
use tokio_util::io::StreamReader;
use tokio_util::sync::CancellationToken;

use crate::Secret;
use crate::codec::{FrameCodec, FrameError};
use crate::handshake::{self, Authenticated, HandshakeError};

/// Maximum number of bytes of a target that are passed on in one frame.
const CHUNK: usize = 8 * 1024;
/// Maximum size of a frame of a tunnel: a chunk and its encoding.
const MAX_TUNNEL_FRAME: usize = CHUNK + 1024;
/// Maximum time for sending a reply or the last bytes of a target.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a tunnel wasn't opened. No byte reached the target.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The process in between can't be reached, or doesn't serve tunnels.
    #[error("opening a tunnel: {0}")]
    Down(String),
    /// It replied that it opens no connection to the target.
    #[error("the peer opened no tunnel: {}", state.as_str_name())]
    Refused {
        /// Why.
        state: TunnelState,
        /// Number of tunnels that it serves.
        tunnels: u32,
    },
}

impl From<io::Error> for TunnelError {
    fn from(error: io::Error) -> Self {
        Self::Down(error.to_string())
    }
}

impl From<HandshakeError> for TunnelError {
    fn from(error: HandshakeError) -> Self {
        Self::Down(error.to_string())
    }
}

/// Connection of a [`Handler`](crate::Handler) to the target of a tunnel.
pub struct TunnelTarget {
    /// The open connection.
    pub stream: TcpStream,
    /// Counts the tunnel until it ends.
    pub permit: OwnedSemaphorePermit,
    /// Number of tunnels, this one included.
    pub tunnels: u32,
    /// Cancelled when the process shuts down: the tunnel gets no further requests.
    pub leaving: CancellationToken,
    /// Resolves when the connection is known to hang: the tunnel breaks off.
    pub hung: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl fmt::Debug for TunnelTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TunnelTarget")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

/// A reply to a peer that opens no tunnel.
#[derive(Clone, Copy, Debug)]
pub struct TunnelRefusal {
    /// Why.
    pub state: TunnelState,
    /// Number of tunnels that are served.
    pub tunnels: u32,
}

impl From<TunnelState> for TunnelRefusal {
    fn from(state: TunnelState) -> Self {
        Self { state, tunnels: 0 }
    }
}

/// Whether a tunnel carries a request, and whether it may carry another one.
#[derive(Debug, Default)]
pub struct TunnelUse {
    is_busy: AtomicBool,
    is_leaving: AtomicBool,
}

impl TunnelUse {
    /// Marks the tunnel as carrying a request, or as idle.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, SeqCst);
    }

    /// Whether the process in between is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(SeqCst)
    }
}

/// A tunnel to a target. Dropping it closes the target's connection.
pub struct Tunnel {
    reader: StreamReader<FramedRead<OwnedReadHalf, TargetDecoder>, Bytes>,
    writer: OwnedWriteHalf,
    state: Arc<TunnelUse>,
    tunnels: u32,
}

impl Tunnel {
    /// Opens a tunnel to `target` through the process that listens at `address`.
    ///
    /// # Errors
    /// If the process can't be reached or opens no connection to the target.
    pub async fn open(
        address: SocketAddr,
        name: &str,
        secret: &Secret,
        target: OpenTunnel,
    ) -> Result<Self, TunnelError> {
        let socket = TcpStream::connect(address).await?;
        set_timeouts(&socket)?;
        let opened = handshake::connect_tunnel(socket, name, secret, target).await?;
        let (
            Authenticated {
                socket, mut input, ..
            },
            reply,
        ) = opened;
        let tunnels = reply.tunnels;
        if reply.state() != TunnelState::Open {
            let state = reply.state();
            return Err(TunnelError::Refused { state, tunnels });
        }
        input.codec.set_limit(MAX_TUNNEL_FRAME);
        let state = Arc::<TunnelUse>::default();
        let decoder = TargetDecoder {
            codec: input.codec,
            state: Arc::clone(&state),
            has_ended: false,
        };
        let (read, writer) = socket.into_split();
        let mut frames = FramedRead::new(read, decoder);
        frames.read_buffer_mut().extend_from_slice(&input.bytes);
        Ok(Self {
            reader: StreamReader::new(frames),
            writer,
            state,
            tunnels,
        })
    }

    /// Shared record of whether the tunnel is in use.
    #[must_use]
    pub fn state(&self) -> Arc<TunnelUse> {
        Arc::clone(&self.state)
    }

    /// Number of tunnels that the process in between serves.
    #[must_use]
    pub fn tunnels(&self) -> u32 {
        self.tunnels
    }
}

impl fmt::Debug for Tunnel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tunnel")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}

/// Decodes the target's bytes from the frames of a tunnel.
struct TargetDecoder {
    codec: FrameCodec,
    state: Arc<TunnelUse>,
    has_ended: bool,
}

impl Decoder for TargetDecoder {
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, io::Error> {
        while let Some(frame) = self.codec.decode(src).map_err(invalid)? {
            let Some(frame::Body::TunnelData(data)) = frame.body else {
                return Err(invalid("unexpected frame in a tunnel"));
            };
            match data.note() {
                TunnelNote::Unspecified => {}
                TunnelNote::End => self.has_ended = true,
                TunnelNote::Leaving => self.state.is_leaving.store(true, SeqCst),
            }
            if !data.data.is_empty() {
                return Ok(Some(data.data.into()));
            }
            if self.state.is_leaving() && !self.state.is_busy.load(SeqCst) {
                return Err(io::Error::new(
                    ErrorKind::ConnectionAborted,
                    "the tunnel is idle and its process shuts down",
                ));
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, io::Error> {
        let data = self.decode(src)?;
        if data.is_none() && !self.has_ended {
            return Err(io::Error::new(
                ErrorKind::UnexpectedEof,
                "the tunnel broke off",
            ));
        }
        Ok(data)
    }
}

fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error.to_string())
}

/// Serves a tunnel until either side closes its connection, the target's hangs, or `stop` is
/// cancelled.
pub(crate) async fn serve(
    authenticated: Authenticated,
    target: Result<TunnelTarget, TunnelRefusal>,
    stop: CancellationToken,
) {
    let Authenticated {
        mut socket,
        mut input,
        ..
    } = authenticated;
    input.codec.set_limit(MAX_TUNNEL_FRAME);
    let reply = match &target {
        Ok(target) => TunnelReply {
            state: TunnelState::Open.into(),
            tunnels: target.tunnels,
        },
        Err(refusal) => TunnelReply {
            state: refusal.state.into(),
            tunnels: refusal.tunnels,
        },
    };
    let body = frame::Body::TunnelReply(reply);
    if send(&mut socket, &mut input.codec, body).await.is_err() {
        return;
    }
    let Ok(target) = target else {
        return;
    };
    let (mut read, mut write) = socket.into_split();
    let (mut target_read, mut target_write) = target.stream.into_split();
    // Bytes that came with the handshake.
    let first = input.bytes.split();
    let up = async {
        target_write.write_all(&first).await?;
        tokio::io::copy(&mut read, &mut target_write).await
    };
    let down = pass_down(
        &mut target_read,
        &mut write,
        &mut input.codec,
        &target.leaving,
    );
    tokio::select! {
        // The opening side has closed the tunnel: the target's connection closes with it.
        _closed = up => {}
        _ended = down => {}
        () = target.hung => {}
        () = stop.cancelled() => {}
    }
    drop(target.permit);
}

/// Passes the target's bytes on, and its end if it closed the connection.
async fn pass_down(
    target: &mut OwnedReadHalf,
    write: &mut OwnedWriteHalf,
    codec: &mut FrameCodec,
    leaving: &CancellationToken,
) -> Result<(), FrameError> {
    let mut buffer = vec![0; CHUNK];
    let mut is_leaving = false;
    loop {
        let count = tokio::select! {
            count = target.read(&mut buffer) => count?,
            () = leaving.cancelled(), if !is_leaving => {
                is_leaving = true;
                write_data(write, codec, &[], TunnelNote::Leaving).await?;
                continue;
            }
        };
        if count == 0 {
            let end = write_data(write, codec, &[], TunnelNote::End);
            let sent = tokio::time::timeout(SEND_TIMEOUT, end).await;
            return sent.unwrap_or(Ok(()));
        }
        write_data(write, codec, &buffer[..count], TunnelNote::Unspecified).await?;
    }
}

async fn write_data(
    write: &mut OwnedWriteHalf,
    codec: &mut FrameCodec,
    data: &[u8],
    note: TunnelNote,
) -> Result<(), FrameError> {
    let data = TunnelData {
        data: data.to_vec(),
        note: note.into(),
    };
    let mut bytes = BytesMut::new();
    codec.encode(&frame_of(frame::Body::TunnelData(data)), &mut bytes)?;
    write.write_all(&bytes).await?;
    Ok(())
}

async fn send(
    socket: &mut TcpStream,
    codec: &mut FrameCodec,
    body: frame::Body,
) -> Result<(), FrameError> {
    let mut bytes = BytesMut::new();
    codec.encode(&frame_of(body), &mut bytes)?;
    let sent = tokio::time::timeout(SEND_TIMEOUT, socket.write_all(&bytes)).await;
    sent.map_err(|_elapsed| io::Error::from(ErrorKind::TimedOut))??;
    Ok(())
}

fn frame_of(body: frame::Body) -> Frame {
    Frame {
        id: 0,
        body: Some(body),
    }
}
