//! A client's stream, which ends when its bytes make too little content.
//!
//! The HTTP library has no limit for what it parses and doesn't hand over, such as the extensions of
//! chunks, trailers and empty lines between requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_io::net::TcpStream;
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

use super::connection::{CURRENT, Connection};

/// Largest number of bytes without content: the head of a request, and what is read ahead.
const MAX_SURPLUS: usize = 128 * 1024;
/// Bytes that a byte of content may take: chunks of one byte have six.
const BYTES_PER_CONTENT: usize = 16;

/// Bytes that a client has sent and that neither a head nor content account for.
#[derive(Debug, Default)]
pub(super) struct Surplus(Cell<usize>);

impl Surplus {
    /// Adds bytes that were read. Returns whether there are too many.
    fn add(&self, bytes: usize) -> bool {
        let surplus = self.0.get() + bytes;
        self.0.set(surplus);
        surplus > MAX_SURPLUS
    }

    /// The head of a request is complete.
    pub(super) fn on_head(&self) {
        self.0.set(0);
    }

    /// Content was handed over.
    pub(super) fn on_content(&self, bytes: usize) {
        let rest = self.0.get().saturating_sub(bytes * BYTES_PER_CONTENT);
        self.0.set(rest);
    }
}

/// Wraps the streams of a worker. It takes the place of a TLS acceptor.
pub(super) struct BoundedStreams;

impl Service<()> for BoundedStreams {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(Self)
    }
}

impl Service<TcpStream> for BoundedStreams {
    type Response = BoundedStream;
    type Error = Infallible;

    async fn call(&self, stream: TcpStream) -> Result<BoundedStream, Infallible> {
        let connection = CURRENT.with(Rc::clone);
        Ok(BoundedStream { stream, connection })
    }
}

impl ReadyService for BoundedStreams {
    type Ready = ();

    async fn ready(&self) {}
}

/// A stream that fails when too many of its bytes make neither a head nor content.
pub(super) struct BoundedStream {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl AsyncBufRead for BoundedStream {
    async fn read<B: BoundedBufMut>(&self, buffer: B) -> (io::Result<usize>, B) {
        let (read, buffer) = self.stream.read(buffer).await;
        if let Ok(bytes) = read
            && self.connection.surplus.add(bytes)
        {
            return (Err(io::ErrorKind::InvalidData.into()), buffer);
        }
        (read, buffer)
    }
}

impl AsyncBufWrite for BoundedStream {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        self.stream.write(buffer).await
    }

    async fn shutdown(self, direction: Shutdown) -> io::Result<()> {
        self.stream.shutdown(direction).await
    }
}
