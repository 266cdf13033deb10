//! State dump of a router, for operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use swiftlink_shell::Dump;

use crate::fleet::Pool;
use crate::health::{HealthInputs, HealthIssue};
use crate::node::Node;

/// Serializes a node's state.
#[derive(Debug)]
pub struct NodeDump {
    node: Arc<Node>,
}

impl NodeDump {
    /// Creates a dump of `node`.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn grants(&self) -> Vec<Value> {
        let mut grants = Vec::new();
        for membership in self.node.members.all() {
            for account in membership.accounts() {
                let counters = account.grant.counters();
                let status = account.claim_status();
                grants.push(json!({
                    "budget": account.budget.as_str(),
                    "shard": membership.shard,
                    "available": counters.available,
                    "reserved": counters.reserved,
                    "charged": counters.charged,
                    "granted": counters.granted,
                    "returned": counters.returned,
                    "waiting": account.waiting().total_cost,
                    "log_out": status.is_failed,
                    "free": status.free,
                    "elsewhere": status.held_elsewhere,
                }));
            }
        }
        grants
    }

    fn charges(&self) -> Value {
        let counts = self.node.settler.counts();
        json!({
            "pending": counts.pending.load(Ordering::Relaxed),
            "stuck": counts.stuck.load(Ordering::Relaxed),
            "charged": counts.charged.load(Ordering::Relaxed),
            "void_key": counts.void_key.load(Ordering::Relaxed),
            "void_released": counts.void_released.load(Ordering::Relaxed),
            "overdrawn": counts.overdrawn.load(Ordering::Relaxed),
        })
    }
}

impl Dump for NodeDump {
    fn dump(&self) -> Value {
        let node = &self.node;
        let mut value = self.status();
        let memberships = node.members.all();
        let memberships: Vec<_> = memberships
            .iter()
            .map(|m| json!({"shard": m.shard, "incarnation": m.incarnation.to_string()}))
            .collect();
        let ledgers: Vec<_> = node
            .ledgers
            .near()
            .iter()
            .map(|ledger| {
                json!({
                    "address": ledger.client.address().to_string(),
                    "domain": ledger.domain.as_str(),
                    "up": ledger.client.is_up(),
                })
            })
            .collect();
        let pools: Vec<_> = node.pools.all().iter().map(show_pool).collect();
        if let Value::Object(fields) = &mut value {
            fields.insert("seats".to_owned(), Value::Array(memberships));
            fields.insert("ledgers".to_owned(), Value::Array(ledgers));
            fields.insert("pools".to_owned(), Value::Array(pools));
            fields.insert("keys_held".to_owned(), json!(node.keys.held()));
        }
        value
    }

    fn status(&self) -> Value {
        let node = &self.node;
        let common = &node.settings.common;
        let inputs = HealthInputs::of(node);
        let issues = inputs.issues().into_iter().map(HealthIssue::as_str);
        let issues: Vec<_> = issues.collect();
        let mut queue = Vec::new();
        for pool in node.pools.all() {
            let (waiting, in_flight) = pool.queue.depth();
            queue.push(json!({
                "pool": pool.name.as_str(),
                "waiting": waiting,
                "in_flight": in_flight,
            }));
        }
        json!({
            "process": format!("router-{}", common.vm),
            "vm": common.vm,
            "domain": common.domain,
            "role": "router",
            "address": node.address.to_string(),
            "version": node.config.load().version,
            "version_age_ms": node.config.age().map(|age| age.as_millis() as u64),
            "log_offset": node.config.offset(),
            "configuration": inputs.trust.as_str(),
            "troubles": issues,
            "shards": node.settings.shards,
            "joined": node.members.joined(),
            "stopping": node.is_stopping(),
            "in_flight": node.keys.in_flight(),
            "grants": self.grants(),
            "charges": self.charges(),
            "queue": queue,
        })
    }
}

fn show_pool(pool: &Arc<Pool>) -> Value {
    let mut servers = Vec::new();
    for view in pool.views() {
        servers.push(json!({
            "name": view.name.as_str(),
            "domain": view.domain.as_str(),
            "leaving": view.draining,
            "member": view.member,
            "in_flight": view.in_flight,
            "reported": view.reported,
            "load": view.load,
            "slowness": view.slowness,
            "error_share": view.error_share,
            "ejected": view.ejected_until.is_some(),
        }));
    }
    json!({
        "name": pool.name.as_str(),
        "retries_left": pool.retries.left(),
        "servers": servers,
    })
}
