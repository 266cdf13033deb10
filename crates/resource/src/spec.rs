//! Typed specifications of the resources; the log stores them as JSON.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use swiftlink_types::{
    BudgetName, ClassName, DomainName, PRICE_UNIT, PoolName, Tokens, VmName, WorkspaceName,
};

use crate::Kind;

/// A tenant that prepays for tokens and is charged for requests.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Budget that its requests are charged to.
    pub budget: BudgetName,
    /// Priority classes that it may use; empty allows all.
    #[serde(default)]
    pub classes: Vec<ClassName>,
    /// How a router treats its requests while the configuration may be stale.
    #[serde(default)]
    pub stale: StaleRule,
}

/// How a router treats requests of a workspace while the configuration may be stale.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StaleRule {
    /// Refuse new requests.
    #[default]
    Refuse,
    /// Serve with the current configuration.
    Serve,
}

/// A prepaid amount of tokens: the sum of its top-ups.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Evidence required before the grants of a lost router are released.
    #[serde(default)]
    pub release: ReleaseRule,
    /// Expected demand that a router claims in advance (seconds). The default lets a router
    /// serve through a log outage of ten minutes (docs/design/grants.md).
    #[serde(default = "default_ahead")]
    pub ahead_secs: u32,
    /// Minimum amount of one claim of a router (tokens).
    #[serde(default)]
    pub min_grant: Tokens,
}

/// Evidence required before the grants of a lost router are released.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleaseRule {
    /// A proof that the process has terminated.
    #[default]
    Proof,
    /// The VM is absent from the VM list.
    Listed,
}

/// A one-time credit to a budget. It can't be changed or deleted.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUp {
    /// Budget that is credited.
    pub budget: BudgetName,
    /// Amount credited (tokens).
    pub amount: Tokens,
}

/// A priority class.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Tokens charged to the budget per thousand tokens processed.
    #[serde(default = "default_price")]
    pub price: u32,
    /// Relative share of service under load.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of waiting requests of the class in one router.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// A set of backend servers that serve the same model or service.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Protocol of its servers.
    pub kind: PoolKind,
    /// Maximum response length of a model request (tokens).
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Minimum number of prompt bytes per token; gives the upper bound of a prompt's cost.
    #[serde(default = "default_token_bytes")]
    pub token_bytes: u32,
    /// Cost of one service call (tokens).
    #[serde(default)]
    pub call_tokens: Tokens,
    /// HTTP methods of services that must not be retried.
    #[serde(default = "default_once")]
    pub once: Vec<String>,
}

/// Protocol of the servers of a pool.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model runners.
    Model,
    /// Other HTTP services.
    Service,
}

/// One backend server.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Pool of the server.
    pub pool: PoolName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// VM that it runs on, if that VM is in the VM list.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it is draining: it gets no new requests.
    #[serde(default)]
    pub drain: bool,
}

/// An API key of a workspace.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Workspace that it authenticates.
    pub workspace: WorkspaceName,
    /// SHA-256 hash of the secret.
    pub hash: KeyHash,
    /// Whether requests with this key are refused.
    #[serde(default)]
    pub disabled: bool,
}

/// An operator's declaration that the VM of this name is gone (powered off or
/// erased).
///
/// It replaces a proof of termination: the grants of the VM's routers are released.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retirement {
    /// How the operator knows; kept for audits.
    #[serde(default)]
    pub reason: String,
}

/// SHA-256 hash of a key's secret; 64 hexadecimal characters in JSON.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(self.0))
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut hash = [0; 32];
        hex::decode_to_slice(&text, &mut hash)
            .map_err(|_error| de::Error::custom("must be 64 hexadecimal characters"))?;
        Ok(Self(hash))
    }
}

/// The specification of a resource of any kind.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Spec {
    /// Specification of a workspace.
    Workspace(Arc<Workspace>),
    /// Specification of a budget.
    Budget(Arc<Budget>),
    /// Specification of a top-up.
    TopUp(Arc<TopUp>),
    /// Specification of a priority class.
    Class(Arc<Class>),
    /// Specification of a pool.
    Pool(Arc<Pool>),
    /// Specification of a backend server.
    Server(Arc<Server>),
    /// Specification of an API key.
    Key(Arc<Key>),
    /// Specification of the retirement of a VM.
    Retirement(Arc<Retirement>),
}

impl Spec {
    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Workspace(_) => Kind::Workspace,
            Self::Budget(_) => Kind::Budget,
            Self::TopUp(_) => Kind::TopUp,
            Self::Class(_) => Kind::Class,
            Self::Pool(_) => Kind::Pool,
            Self::Server(_) => Kind::Server,
            Self::Key(_) => Kind::Key,
            Self::Retirement(_) => Kind::Retirement,
        }
    }

    /// Serializes the specification as JSON, defaults included.
    #[must_use]
    pub fn to_json(&self) -> String {
        let json = match self {
            Self::Workspace(spec) => serde_json::to_string(&**spec),
            Self::Budget(spec) => serde_json::to_string(&**spec),
            Self::TopUp(spec) => serde_json::to_string(&**spec),
            Self::Class(spec) => serde_json::to_string(&**spec),
            Self::Pool(spec) => serde_json::to_string(&**spec),
            Self::Server(spec) => serde_json::to_string(&**spec),
            Self::Key(spec) => serde_json::to_string(&**spec),
            Self::Retirement(spec) => serde_json::to_string(&**spec),
        };
        json.expect("specifications hold only strings, numbers and lists")
    }

    /// Returns kind and name of each resource that this one refers to.
    #[must_use]
    pub fn references(&self) -> Vec<(Kind, &str)> {
        match self {
            Self::Workspace(spec) => {
                let mut names = vec![(Kind::Budget, spec.budget.as_str())];
                names.extend(
                    spec.classes
                        .iter()
                        .map(|class| (Kind::Class, class.as_str())),
                );
                names
            }
            Self::TopUp(spec) => vec![(Kind::Budget, spec.budget.as_str())],
            Self::Server(spec) => vec![(Kind::Pool, spec.pool.as_str())],
            Self::Key(spec) => vec![(Kind::Workspace, spec.workspace.as_str())],
            Self::Budget(_) | Self::Class(_) | Self::Pool(_) | Self::Retirement(_) => Vec::new(),
        }
    }
}

fn default_ahead() -> u32 {
    300
}

fn default_price() -> u32 {
    PRICE_UNIT
}

fn default_weight() -> u32 {
    1
}

fn default_queue() -> u32 {
    256
}

fn default_max_tokens() -> Tokens {
    1_024
}

fn default_token_bytes() -> u32 {
    1
}

fn default_once() -> Vec<String> {
    vec!["POST".to_owned(), "PATCH".to_owned()]
}

fn default_slots() -> u32 {
    32
}
