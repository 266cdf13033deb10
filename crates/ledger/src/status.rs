//! State of the process for the admin endpoint.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use swiftlink_budget::{Fold as BudgetFold, RetiredRouter};
use swiftlink_log::Fold;
use swiftlink_resource::Fold as ConfigFold;
use swiftlink_shell::Dump;

use crate::log_health::LogHealth;
use crate::peers::{Peer, Peers};
use crate::proof::has_successor;
use crate::settings::LedgerSettings;
use crate::shards::{Shard, Shards};
use crate::stream::Stream;
use crate::vm_list::SharedVmTracker;

/// Source of the ledger's status and dump.
#[derive(Debug)]
pub struct Status {
    /// Name of the process.
    pub name: Arc<str>,
    /// Settings of the process; secrets are shown as `***`.
    pub settings: LedgerSettings,
    /// The configuration stream.
    pub config: Arc<Stream<ConfigFold>>,
    /// The budget streams.
    pub shards: Arc<Shards>,
    /// The other ledgers.
    pub peers: Arc<Peers>,
    /// The VM list.
    pub vms: Arc<SharedVmTracker>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
}

impl Dump for Status {
    fn dump(&self) -> Value {
        let (version, gone) = self.vms.summary();
        let config = progress_json(&self.config);
        let shards: Vec<Value> = self.shards.iter().map(shard_dump).collect();
        let peers: Vec<Value> = self.peers.iter().map(peer_json).collect();
        let mut dump = self.status();
        dump["settings"] = serde_json::to_value(&self.settings).unwrap_or(Value::Null);
        dump["config"] = config;
        dump["shards"] = Value::from(shards);
        dump["peers"] = Value::from(peers);
        dump["vms"] = json!({ "version": version, "gone": gone });
        dump
    }

    fn status(&self) -> Value {
        let mut streams = vec![stream_json(&self.config, 0)];
        for shard in self.shards.iter() {
            streams.push(stream_json(&shard.stream, shard.outbox.pending_total()));
        }
        let appends = self.shards.iter().map(|shard| &shard.appends);
        let sent: u64 = appends
            .map(|appends| appends.sent.load(Ordering::Relaxed))
            .sum();
        json!({
            "process": &*self.name,
            "vm": self.settings.common.vm,
            "domain": self.settings.common.domain,
            "role": "ledger",
            "version": self.version(),
            "log_age_ms": self.log_health.age_ms(),
            "appends": sent,
            "streams": streams,
        })
    }
}

impl Status {
    fn version(&self) -> u64 {
        let state = self.config.state();
        state.get().map_or(0, ConfigFold::version)
    }
}

fn stream_json<F: Fold>(stream: &Stream<F>, pending: u64) -> Value {
    json!({
        "name": stream.name().as_str(),
        "offset": stream.next(),
        "age_ms": stream.age_ms(),
        "pending": pending,
    })
}

fn progress_json<F: Fold>(stream: &Stream<F>) -> Value {
    let progress = stream.progress();
    json!({
        "name": stream.name().as_str(),
        "offset": progress.next,
        "age_ms": stream.age_ms(),
        "ready": progress.ready,
        "since_snapshot": progress.since_snapshot,
        "snapshot": progress.snapshot,
        "kept_from": progress.first,
        "kept_bytes": progress.tail_bytes,
        "malformed": progress.malformed,
        "gaps": progress.gaps,
    })
}

fn shard_dump(shard: &Shard) -> Value {
    let mut dump = progress_json(&shard.stream);
    dump["pending"] = Value::from(shard.outbox.pending_total());
    dump["queued_bytes"] = Value::from(shard.outbox.bytes());
    dump["appends"] = Value::from(shard.appends.sent.load(Ordering::Relaxed));
    dump["append_errors"] = Value::from(shard.appends.failed.load(Ordering::Relaxed));
    let state = shard.stream.state();
    let Some(fold) = state.get() else {
        return dump;
    };
    dump["budgets"] = fold.views().len().into();
    dump["active"] = names_json(fold.active().into_iter().map(|router| router.incarnation));
    dump["retired"] = retired_json(fold);
    dump
}

fn names_json(names: impl Iterator<Item = impl fmt::Display>) -> Value {
    names.map(|name| name.to_string()).collect()
}

fn retired_json(fold: &BudgetFold) -> Value {
    let retired = fold.retired().into_iter().map(|router| {
        json!({
            "router": router.incarnation.to_string(),
            "address": router.address.to_string(),
            "unspent": router.unspent,
            "held": held_json(&router),
            "proved": has_successor(&router, fold),
        })
    });
    retired.collect()
}

fn held_json(router: &RetiredRouter) -> Value {
    let held = router.held.iter();
    let entries = held.map(|(budget, tokens)| (budget.to_string(), Value::from(*tokens)));
    Value::Object(entries.collect())
}

fn peer_json(peer: &Peer) -> Value {
    json!({
        "name": &*peer.name,
        "address": peer.address.to_string(),
        "domain": &*peer.domain,
        "up": peer.client.is_up(),
    })
}
