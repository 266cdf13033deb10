//! Kinds of resources.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of a resource, as the operator interface spells it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A unit that prepays and is charged.
    Workspace,
    /// A prepaid amount of tokens.
    Budget,
    /// An amount added to a budget, once.
    TopUp,
    /// A priority class with its price.
    Class,
    /// A set of backend servers that serve the same model or service.
    Pool,
    /// One backend server.
    Server,
    /// An API key of a workspace.
    Key,
    /// The statement that a VM is gone for good.
    Retirement,
}

/// A text that names no kind of resource.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnknownKind;

impl Kind {
    /// Every kind, in an order in which references point backwards only.
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

    /// The kind as the operator interface spells it.
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
