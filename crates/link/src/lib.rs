//! Authenticated request/reply connections between swiftlink processes.
//!
//! A [`Client`] maintains one TCP connection to a [`Server`] and reconnects with backoff
//! when it is lost. Frames are length-delimited protobuf messages. Each side proves in a
//! challenge-response handshake that it knows the shared [`Secret`]; the traffic after
//! that is neither encrypted nor signed, so the operators must control the network
//! between the processes. Requests are multiplexed: each has a number, and one or more
//! replies carry the same number.
//!
//! A call passes through the modules in this order: `client` connects and `server`
//! accepts, and both authenticate each other in `handshake`. On the client's side,
//! `connection` numbers the request, registers its caller in `pending` and queues the
//! request in `outgoing`. On the server's side, `session` calls the [`Handler`], whose
//! [`Replies`] go back through another `outgoing`. Both sides read with `incoming`. A `tunnel`
//! carries bytes to and from a third process instead.

mod client;
mod codec;
mod connection;
mod error;
mod handshake;
mod incoming;
mod outgoing;
mod pending;
mod replies;
mod secret;
mod server;
mod session;
mod stream;
mod tunnel;

pub use client::Client;
pub use codec::{FrameCodec, FrameError, MAX_FRAME};
pub use error::{Closed, LinkError};
pub use replies::{Handler, Replies};
pub use secret::Secret;
pub use server::Server;
pub use stream::ReplyStream;
pub use tunnel::{Tunnel, TunnelError, TunnelRefusal, TunnelTarget, TunnelUse};
