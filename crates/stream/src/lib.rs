//! Ordered assembly of answer chunks, resume tokens and the OpenAI-style bodies.
//!
//! Nothing here does I/O. An [`Assembler`] turns the numbered chunks of one answer,
//! which may come late, twice, out of order or not at all, into each chunk once and
//! in order. A [`ResumeToken`] names a stream so that any router of the fleet can
//! take it up again for the workspace that owns it.
//!
//! The way of an answer: `openai` reads the request and bounds its cost; the engine's
//! chunks go through `assembler`; each that comes out goes to the caller under an id
//! from `token`, or into `whole` for a caller that wants the answer in one piece.

mod assembler;
mod openai;
mod token;
mod whole;

pub use assembler::{Assembler, AssemblerError, AssemblerPolicy, Chunk, Taken};
pub use openai::{
    BodyError, Bound, Choice, Completion, DONE, Delta, Message, Prompt, RequestBody, StreamEvent,
    Usage, bound_prompt, bound_tokens, parse_event, parse_request,
};
pub use token::{ResumeToken, TokenError, TokenSecret, event_id, parse_event_id};
pub use whole::{AnswerBuilder, FinishedAnswer};
