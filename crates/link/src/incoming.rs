//! The reading half of a connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use swiftlink_wire::link::Frame;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::Decoder;

use crate::codec::FrameError;
use crate::handshake::Input;

/// Least room in the buffer for each read from the socket.
const READ_BYTES: usize = 64 * 1024;

/// Reads frames and counts the bytes, so that silence can be told.
pub(crate) struct Reader {
    socket: OwnedReadHalf,
    input: Input,
    heard: Arc<AtomicU64>,
}

impl Reader {
    pub(crate) fn new(socket: OwnedReadHalf, input: Input) -> Self {
        Self {
            socket,
            input,
            heard: Arc::default(),
        }
    }

    /// Count of the bytes read.
    pub(crate) fn heard(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.heard)
    }

    /// The next frame, or `None` at the end. May be dropped and called again.
    pub(crate) async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.input.codec.decode(&mut self.input.bytes)? {
                return Ok(Some(frame));
            }

            self.input.bytes.reserve(READ_BYTES);
            let read = self.socket.read_buf(&mut self.input.bytes).await?;
            if read == 0 {
                return Ok(None);
            }
            self.heard.fetch_add(read as u64, Ordering::AcqRel);
        }
    }
}
