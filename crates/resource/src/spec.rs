//! Typed specifications of the resources, as JSON on the log.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use swiftlink_types::{
    BudgetName, ClassName, DomainName, PRICE_UNIT, PoolName, Tokens, VmName, WorkspaceName,
};

use crate::Kind;

/// A unit that prepays and is charged.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Budget that its requests draw on.
    pub budget: BudgetName,
    /// Priority classes it may use; empty means all.
    #[serde(default)]
    pub classes: Vec<ClassName>,
    /// What a router does for it when its configuration may be stale.
    #[serde(default)]
    pub stale: StaleRule,
}

/// What a router does for a workspace when its configuration may be stale.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StaleRule {
    /// Refuse new requests.
    #[default]
    Refuse,
    /// Serve by the configuration in force.
    Serve,
}

/// A prepaid amount of tokens; its top-ups give the amount.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// What must be known before a vanished router's grants are released.
    #[serde(default)]
    pub release: ReleaseRule,
    /// Seconds of expected demand that a router claims ahead. The default carries a
    /// router through a log outage of ten minutes (docs/design/grants.md).
    #[serde(default = "default_ahead")]
    pub ahead_secs: u32,
    /// Least amount that a router claims at a time (tokens).
    #[serde(default)]
    pub min_grant: Tokens,
}

/// What must be known before a vanished router's grants are released.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleaseRule {
    /// A proof that the process is gone.
    #[default]
    Proof,
    /// That its VM has left the VM list.
    Listed,
}

/// An amount added to a budget, once. It can't be changed or deleted.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUp {
    /// Budget that gets the amount.
    pub budget: BudgetName,
    /// Tokens added.
    pub amount: Tokens,
}

/// A priority class.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Budget tokens per thousand tokens run.
    #[serde(default = "default_price")]
    pub price: u32,
    /// Share of service under load; a higher weight is served more.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests of the class that wait in one router.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// A set of backend servers that serve the same model or service.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its servers speak.
    pub kind: PoolKind,
    /// Largest answer of a model request (tokens).
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Least prompt bytes that make one token; bounds a prompt's cost from above.
    #[serde(default = "default_token_bytes")]
    pub token_bytes: u32,
    /// Tokens that one service call costs.
    #[serde(default)]
    pub call_tokens: Tokens,
    /// Service methods that may not be repeated.
    #[serde(default = "default_once")]
    pub once: Vec<String>,
}

/// What the servers of a pool speak.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model runners.
    Model,
    /// Plain services.
    Service,
}

/// One backend server.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// VM that it runs on, if the VM list shows it.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// Requests that it runs at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// An API key of a workspace.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Workspace that it speaks for.
    pub workspace: WorkspaceName,
    /// SHA-256 of the secret.
    pub hash: KeyHash,
    /// Whether it is refused.
    #[serde(default)]
    pub disabled: bool,
}

/// The statement that the VM of this name is gone for good, powered off or erased.
///
/// It takes the place of a proof: the rights of the VM's routers are released by it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retirement {
    /// How the operator knows, for those who read it later.
    #[serde(default)]
    pub reason: String,
}

/// SHA-256 of a key's secret; 64 hexadecimal characters in JSON.
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
    /// Of a workspace.
    Workspace(Arc<Workspace>),
    /// Of a budget.
    Budget(Arc<Budget>),
    /// Of a top-up.
    TopUp(Arc<TopUp>),
    /// Of a priority class.
    Class(Arc<Class>),
    /// Of a pool.
    Pool(Arc<Pool>),
    /// Of a backend server.
    Server(Arc<Server>),
    /// Of an API key.
    Key(Arc<Key>),
    /// Of the retirement of a VM.
    Retirement(Arc<Retirement>),
}

impl Spec {
    /// Kind of the resource.
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

    /// The specification as JSON with every default spelled out.
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

    /// Names of the resources that this one needs.
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
