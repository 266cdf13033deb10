//! The reading half of a connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use swiftlink_wire::link::Frame;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::Decoder;

use crate::codec::FrameError;
use crate::handshake::Input;

/// Minimum free space in the buffer for each read from the socket, in bytes.
const MIN_READ_BYTES: usize = 64 * 1024;

/// Reads frames and counts the bytes, so that a silent connection can be detected.
pub(crate) struct Reader {
    socket: OwnedReadHalf,
    input: Input,
    received: Arc<AtomicU64>,
}

impl Reader {
    pub(crate) fn new(socket: OwnedReadHalf, input: Input) -> Self {
        Self {
            socket,
            input,
            received: Arc::default(),
        }
    }

    /// Counter of the bytes read.
    pub(crate) fn received(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.received)
    }

    /// Reads the next frame; `None` at the end of the connection. Cancel safe.
    pub(crate) async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.input.codec.decode(&mut self.input.bytes)? {
                return Ok(Some(frame));
            }

            self.input.bytes.reserve(MIN_READ_BYTES);
            let read = self.socket.read_buf(&mut self.input.bytes).await?;
            if read == 0 {
                return Ok(None);
            }
            self.received.fetch_add(read as u64, Ordering::AcqRel);
        }
    }
}
