//! Names of configured objects, as shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name_type! {
    /// Name of a workspace, the customer that prepays and is charged.
    WorkspaceName
}
name_type! {
    /// Name of a prepaid budget.
    BudgetName
}
name_type! {
    /// Name of a priority class.
    ClassName
}
name_type! {
    /// Name of a pool of backend servers; a pool of runners has the name of its model.
    PoolName
}
name_type! {
    /// Name of a backend server (a model runner or a plain service).
    ServerName
}
name_type! {
    /// Name of the resource that describes an API key, as opposed to the secret.
    KeyName
}
name_type! {
    /// Name of a VM.
    VmName
}
name_type! {
    /// Name of a failure domain.
    DomainName
}
name_type! {
    /// Name of a version of the software that backend servers run.
    VersionName
}
name_type! {
    /// Name of a region, which has one or more failure domains.
    RegionName
}

name_type! {
    /// Name of a stream of the platform's log.
    StreamName
}
