//! Authenticated request/reply connections between swiftlink processes.
//!
//! A [`Client`] keeps one TCP connection to a [`Server`] and connects again with
//! back-off when it is lost. Frames are length-delimited protobuf messages. Each
//! side proves in a challenge handshake that it knows the shared [`Secret`];
//! traffic is neither encrypted nor signed after that, so the network between the
//! processes must be the operators' own. Requests are multiplexed: each has a
//! number, and one or more replies carry the same number.
//!
//! The way of a call: `client` connects and `server` accepts, both prove themselves in
//! `handshake`. Then `connection` on the client's side numbers the request, notes in
//! `pending` who waits for it and queues it in `outgoing`; `session` on the server's
//! side calls the [`Handler`], whose [`Replies`] go back through its own `outgoing`.
//! Both sides read with `incoming`. Read the modules in this order.

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

pub use client::Client;
pub use codec::{FrameCodec, FrameError, MAX_FRAME};
pub use error::{Closed, LinkError};
pub use replies::{Handler, Replies};
pub use secret::Secret;
pub use server::Server;
pub use stream::ReplyStream;
