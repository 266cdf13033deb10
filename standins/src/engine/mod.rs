//! Stand-in for a streaming model engine with continuous batching.

mod batch;
mod core;
mod delivery;
mod event;
mod server;
mod text;

pub use batch::{Batch, Job, Load, Phase, Run, Stream, StreamNo};
pub use core::EngineFault;
pub use delivery::{Delivery, Faults, Step};
pub use server::main;
pub use text::{
    Endpoint, answer, answer_length, prompt_of, prompt_tokens, token, unlimited_length,
};
