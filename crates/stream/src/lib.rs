//! Reassembly of answer chunks, resume tokens and OpenAI-style bodies. Performs no I/O.
//!
//! An [`Assembler`] takes the numbered chunks of an answer, which may arrive late, twice, out of
//! order or not at all, and returns each chunk once and in order. A [`ResumeToken`] identifies a
//! stream, so that any router of the fleet can resume it for the workspace that owns it.
//!
//! `request` parses a request and `openai` bounds its cost. The engine's chunks pass through `assembler`.
//! Each chunk is sent to the caller with an event id from `token`, or is added to the answer in
//! `builder` when the caller asked for an answer that is not streamed.

mod assembler;
mod builder;
mod openai;
mod request;
mod token;

pub use assembler::{Assembler, AssemblerError, AssemblerPolicy, Chunk, PushOutcome};
pub use builder::{AnswerBuilder, FinishedAnswer};
pub use openai::{
    BodyError, Choice, Completion, DONE, Delta, Message, StreamEvent, TokenBound, Usage,
    bound_prompt, bound_tokens, parse_event,
};
pub use request::{Prompt, RequestBody, parse_request};
pub use token::{ResumeToken, TokenError, TokenSecret, event_id, parse_event_id};
