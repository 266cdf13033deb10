//! Errors of client calls, with exit codes and suggestions.

use std::fmt;
use std::net::SocketAddr;

use swiftlink_fetch::HttpError;

use crate::api::{Certainty, Problem};

/// Suggestion after events were missed.
const WATCH_AGAIN: &str =
    "list the resources with `swiftlink get KIND -o json`, then watch from the version it shows";

/// Suggestion after a rejected change of a top-up.
const IMMUTABLE: &str = "a top-up can't be changed once it is applied: to add tokens, apply \
     another [[topup]] with a new name and remove the changed one from the file";

/// Exit codes of the `swiftlink` command.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// The request was refused or failed.
    Failed = 1,
    /// Invalid arguments, settings or input file.
    Usage = 2,
    /// A change is based on an outdated version.
    Conflict = 3,
    /// No operator daemon could be reached.
    Unreachable = 4,
}

/// Error of a call to the operator interface.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// None of the operators could be reached; nothing was done.
    #[error("no operator can be reached")]
    Unreachable(#[source] FailedAttempts),
    /// The operator responded with a problem.
    #[error("{} ({}): {}", .0.title, .0.status, .0.detail)]
    Refused(Box<Problem>),
    /// It is not known whether the change was applied.
    #[error("it is not known whether change {id} was applied")]
    Unknown {
        /// The change set's id.
        id: String,
        /// Last error.
        #[source]
        cause: Box<ClientError>,
    },
    /// The connection failed during the call.
    #[error("the call to {address} failed")]
    Lost {
        /// Operator that was called.
        address: SocketAddr,
        /// HTTP error.
        #[source]
        cause: HttpError,
    },
    /// The response doesn't conform to the interface.
    #[error("unexpected response from {address}: {detail}")]
    Protocol {
        /// Operator that was called.
        address: SocketAddr,
        /// Description of the violation.
        detail: String,
    },
    /// The address belongs to another kind of server; nothing was done.
    #[error("{0} is not the address of an operator: the path does not exist")]
    NotOperator(SocketAddr),
    /// The operator can't continue a watch.
    #[error("the watch ended: {0}")]
    WatchEnded(String),
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Refused(problem) if problem.is_conflict() => Exit::Conflict,
            Self::Lost { .. } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }

    /// Returns a suggestion to the user.
    #[must_use]
    pub fn next_step(&self) -> Option<String> {
        let step = match self {
            Self::Unreachable(_) | Self::Lost { .. } => {
                "check that swiftlink-operator runs and that --operator names its address"
                    .to_owned()
            }
            Self::Unknown { id, .. } => format!(
                "repeat the command with --change-id {id}: it is applied at most once, \
                 and the response tells whether it was"
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
            "the resource was changed concurrently and differs from this change: inspect it with \
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
        return Some("nothing was applied: retry the command later".to_owned());
    }
    match problem.status {
        401 => Some("check the token: --token-file or SWIFTLINK_TOKEN".to_owned()),
        404 => Some("`swiftlink get KIND` and `swiftlink status` show what exists".to_owned()),
        410 => Some(WATCH_AGAIN.to_owned()),
        _ => None,
    }
}

/// The operators that were tried, each with the error.
#[derive(Clone, Debug, Default)]
pub struct FailedAttempts(pub Vec<(SocketAddr, HttpError)>);

impl std::error::Error for FailedAttempts {}

impl fmt::Display for FailedAttempts {
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
