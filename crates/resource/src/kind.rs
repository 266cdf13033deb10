//! Kinds of resources.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of a resource; serialized as in the operator interface.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A tenant that prepays for tokens and is charged for requests.
    Workspace,
    /// A prepaid amount of tokens.
    Budget,
    /// A one-time credit to a budget.
    TopUp,
    /// A priority class and its price.
    Class,
    /// A set of backend servers that serve the same model or service.
    Pool,
    /// One backend server.
    Server,
    /// An API key of a workspace.
    Key,
    /// An operator's declaration that a VM is gone.
    Retirement,
}

/// Error of parsing a [`Kind`]: the text is not the name of a kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnknownKind;

impl Kind {
    /// All kinds in dependency order: a kind refers only to kinds before it.
    pub const ALL: [Self; 8] = [
        Self::Budget,
        Self::TopUp,
        Self::Class,
        Self::Workspace,
        Self::Key,
        Self::Pool,
        Self::Server,
        Self::Retirement,
    ];

    /// Returns the name of the kind in the operator interface.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Budget => "budget",
            Self::TopUp => "topup",
            Self::Class => "class",
            Self::Pool => "pool",
            Self::Server => "server",
            Self::Key => "key",
            Self::Retirement => "retirement",
        }
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        for kind in Self::ALL {
            if kind.as_str() == text {
                return Ok(kind);
            }
        }
        Err(UnknownKind)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown kind of resource")
    }
}

impl std::error::Error for UnknownKind {}
