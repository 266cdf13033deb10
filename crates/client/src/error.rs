//! Why a command failed, with its exit code and what to do next.

use std::fmt;
use std::net::SocketAddr;

use swiftlink_fetch::HttpError;

use crate::api::{Certainty, Problem};

/// What to do when events were missed.
const WATCH_AGAIN: &str =
    "list the resources with `swiftlink get KIND -o json`, then watch from the version it shows";

/// What to do about a rejected change of a top-up.
const IMMUTABLE: &str = "a top-up stays as it was first applied: for more tokens apply another \
     [[topup]] with a new name, and take the changed one out of the file";

/// Exit codes of the `swiftlink` command.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Refused or failed.
    Failed = 1,
    /// Wrong arguments, settings or input file.
    Usage = 2,
    /// A change was made from an old version.
    Conflict = 3,
    /// No operator daemon could be reached.
    Unreachable = 4,
}

/// Why a call of the operator interface failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No operator of the list could be reached; nothing was done.
    #[error("no operator can be reached")]
    Unreachable(#[source] Tries),
    /// The operator refused or failed the request.
    #[error("{} ({}): {}", .0.title, .0.status, .0.detail)]
    Refused(Box<Problem>),
    /// It is not known whether the change was applied.
    #[error("it is not known whether change {id} was applied")]
    Unknown {
        /// The change set's id.
        id: String,
        /// The last failure.
        #[source]
        cause: Box<ClientError>,
    },
    /// The connection failed during the call.
    #[error("the call to {address} failed")]
    Lost {
        /// Operator that was called.
        address: SocketAddr,
        /// How it failed.
        #[source]
        cause: HttpError,
    },
    /// The answer is not what the interface promises.
    #[error("unexpected answer from {address}: {detail}")]
    Protocol {
        /// Operator that was called.
        address: SocketAddr,
        /// What is wrong with it.
        detail: String,
    },
    /// Something else than an operator answers there; it did nothing.
    #[error("{0} is no operator's address: it has no such path")]
    NotOperator(SocketAddr),
    /// The operator can't continue a watch.
    #[error("the watch ended: {0}")]
    WatchEnded(String),
}

impl ClientError {
    /// Exit code of a command that fails so.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Refused(problem) if problem.is_conflict() => Exit::Conflict,
            Self::Lost { .. } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }

    /// What the user can do about it.
    #[must_use]
    pub fn next_step(&self) -> Option<String> {
        let step = match self {
            Self::Unreachable(_) | Self::Lost { .. } => {
                "check that swiftlink-operator runs and that --operator names its address"
                    .to_owned()
            }
            Self::Unknown { id, .. } => format!(
                "repeat the command with --change-id {id}: it is applied at most once, \
                 and the answer says whether it was"
            ),
            Self::Refused(problem) => return refused_step(problem),
            Self::WatchEnded(_) => WATCH_AGAIN.to_owned(),
            Self::Protocol { .. } | Self::NotOperator(_) => {
                "check that --operator names the listen address of a swiftlink-operator, \
                 not its admin address"
                    .to_owned()
            }
        };
        Some(step)
    }
}

fn refused_step(problem: &Problem) -> Option<String> {
    if problem.is_conflict() {
        return Some(
            "someone changed it meanwhile, and it isn't as this change asks: look at it with \
             `swiftlink get`, then apply the change to the current version"
                .to_owned(),
        );
    }
    if problem
        .rejects
        .iter()
        .any(|reject| reject.reason == "immutable")
    {
        return Some(IMMUTABLE.to_owned());
    }
    if problem.applied == Some(Certainty::No) {
        return Some("nothing was applied: run the command again later".to_owned());
    }
    match problem.status {
        401 => Some("check the token: --token-file or SWIFTLINK_TOKEN".to_owned()),
        404 => Some("`swiftlink get KIND` and `swiftlink status` show what exists".to_owned()),
        410 => Some(WATCH_AGAIN.to_owned()),
        _ => None,
    }
}

/// The operators that were tried, and why each could not be reached.
#[derive(Clone, Debug, Default)]
pub struct Tries(pub Vec<(SocketAddr, HttpError)>);

impl std::error::Error for Tries {}

impl fmt::Display for Tries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (address, error)) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{address}: {error}")?;
        }
        Ok(())
    }
}
