//! The initial configuration of tests.

use std::net::SocketAddr;

use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};

use super::operator::change;

/// Name of the model pool.
pub const MODEL: &str = "annals";
/// Name of the pool of plain services.
pub const SERVICE: &str = "viewer";
/// Cost of one service call, in tokens.
pub const CALL_TOKENS: u64 = 3;
/// Price of the priority class `urgent`, in thousandths.
pub const URGENT_PRICE: u32 = 2_000;

/// A workspace with its own budget and API key.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Name of the workspace and of its budget.
    pub name: String,
    /// Secret of its API key.
    pub secret: String,
    /// Initial top-up in tokens; 0 for none.
    pub prepaid: u64,
}

impl Tenant {
    /// Creates a tenant with the initial top-up `prepaid`.
    #[must_use]
    pub fn new(name: &str, prepaid: u64) -> Self {
        Self {
            name: name.to_owned(),
            secret: format!("sk-{name}"),
            prepaid,
        }
    }

    /// Returns the changes that create the tenant.
    #[must_use]
    pub fn changes(&self) -> Vec<Value> {
        let name = &self.name;
        let hash = hex::encode(Sha256::digest(self.secret.as_bytes()));
        let mut changes = vec![
            change("budget", name, json!({})),
            change("workspace", name, json!({ "budget": name })),
            change("key", name, json!({ "workspace": name, "hash": hash })),
        ];
        if self.prepaid > 0 {
            let spec = json!({ "budget": name, "amount": self.prepaid });
            changes.push(change("topup", &format!("{name}-first"), spec));
        }
        changes
    }
}

/// Returns the changes that create the priority classes and pools of all tests.
#[must_use]
pub fn pools() -> Vec<Value> {
    vec![
        change("class", "standard", json!({})),
        change(
            "class",
            "urgent",
            json!({ "price": URGENT_PRICE, "weight": 8 }),
        ),
        change("pool", MODEL, json!({ "kind": "model", "max_tokens": 256 })),
        change(
            "pool",
            SERVICE,
            json!({ "kind": "service", "call_tokens": CALL_TOKENS }),
        ),
    ]
}

/// Returns the change that creates a backend server of a pool.
#[must_use]
pub fn server(pool: &str, name: &str, address: SocketAddr, domain: &str) -> Value {
    let spec = json!({ "pool": pool, "address": address, "domain": domain, "vm": name });
    change("server", name, spec)
}
