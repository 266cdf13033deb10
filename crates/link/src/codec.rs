//! The frame codec: a 32-bit big-endian length, then a protobuf message.

use std::io;

use bytes::{BufMut, BytesMut};
use prost::Message;
use swiftlink_wire::link::Frame;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of an encoded frame without its length prefix, in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Size of the length prefix of each frame, in bytes.
const PREFIX_LEN: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a length prefix exceeds the limit.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes do not decode as a frame.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The frame to be written exceeds the limit.
    #[error("frame of {0} bytes exceeds the limit")]
    TooLarge(usize),
}

/// Encodes and decodes frames.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames of more than `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_length(PREFIX_LEN)
            .max_frame_length(limit)
            .new_codec();
        Self { inner }
    }

    /// Sets the size limit of frames, which is lower until the peer is authenticated.
    pub(crate) fn set_limit(&mut self, limit: usize) {
        self.inner.set_max_frame_length(limit);
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new(MAX_FRAME)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.inner.decode(src)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(bytes)?))
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = FrameError;

    // Writes the prefix here, because the inner codec would copy the encoded message.
    fn encode(&mut self, frame: &Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        let len = frame.encoded_len();
        if len > self.inner.max_frame_length() {
            return Err(FrameError::TooLarge(len));
        }
        let prefix = u32::try_from(len).map_err(|_error| FrameError::TooLarge(len))?;

        dst.reserve(PREFIX_LEN + len);
        dst.put_u32(prefix);
        frame
            .encode(dst)
            .expect("the buffer has room for the frame");
        Ok(())
    }
}
