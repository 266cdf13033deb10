//! Operator daemons on one log in memory, with clients.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use serde_json::{Value, json};
use swiftlink_client::api::{Applied, ApplyChange, ApplyRequest};
use swiftlink_client::{ClientError, ClientSettings, Operator as Caller, change_id};
use swiftlink_log::{Fold as _, Log, MemLog, Replica, snapshot};
use swiftlink_operator::{Operator, OperatorSettings, Parts};
use swiftlink_resource::Fold;
use swiftlink_telemetry::Metrics;
use swiftlink_types::StreamName;
use swiftlink_wire::log::ChangeSet;

/// A test that waits longer hangs.
pub const HANG: Duration = Duration::from_secs(60);
pub const TOKEN: &str = "token-of-the-operators";
pub const SECRET: &str = "secret-of-the-links-0123";

/// Settings with short limits; addresses are those of the bound listeners.
pub fn settings(more: &Value) -> OperatorSettings {
    let mut value = json!({
        "vm": "vm-1", "domain": "rennes-a", "admin": "127.0.0.1:1", "secret": SECRET,
        "listen": "127.0.0.1:2", "token": TOKEN, "log": "127.0.0.1:3",
        "heartbeat_ms": 50,
    });
    for (key, entry) in more.as_object().expect("an object") {
        value[key] = entry.clone();
    }
    serde_json::from_value(value).expect("valid settings")
}

/// A running daemon and a client of it.
pub struct Rig {
    pub operator: Operator,
    pub caller: Caller,
}

impl Rig {
    /// A daemon on `log` that has read the configuration to its end.
    pub async fn start(log: &Arc<MemLog>, more: &Value) -> Self {
        let rig = Self::spawn(log, more);
        rig.ready().await;
        rig
    }

    pub fn spawn(log: &Arc<MemLog>, more: &Value) -> Self {
        let parts = Parts {
            log: Arc::clone(log) as _,
            listen: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            admin: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            metrics: Metrics::nop(),
        };
        let operator = Operator::spawn(settings(more), parts).expect("starts");
        let caller = caller(&[operator.address()]);
        Self { operator, caller }
    }

    pub async fn ready(&self) {
        let ready = async {
            while self.caller.list("workspace").await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ready = tokio::time::timeout(HANG, ready).await;
        ready.expect("the operator never read the configuration");
    }

    /// Applies under a new id.
    pub async fn apply(&self, changes: Vec<ApplyChange>) -> Result<Applied, ClientError> {
        self.caller
            .apply(&request(changes), &change_id(), false)
            .await
    }
}

pub fn caller(operators: &[SocketAddr]) -> Caller {
    Caller::open(ClientSettings {
        operators: operators.to_vec(),
        token: TOKEN.to_owned(),
    })
}

pub fn request(changes: Vec<ApplyChange>) -> ApplyRequest {
    ApplyRequest {
        author: "test".to_owned(),
        changes,
    }
}

pub fn put(kind: &str, name: &str, base: Option<u64>, spec: Value) -> ApplyChange {
    ApplyChange {
        kind: kind.to_owned(),
        name: name.to_owned(),
        base,
        delete: false,
        spec: Some(spec),
    }
}

pub fn delete(kind: &str, name: &str) -> ApplyChange {
    ApplyChange {
        kind: kind.to_owned(),
        name: name.to_owned(),
        base: None,
        delete: true,
        spec: None,
    }
}

/// A class; any weight is a valid one.
pub fn class(name: &str, base: Option<u64>, weight: u32) -> ApplyChange {
    put("class", name, base, json!({ "weight": weight }))
}

pub fn config() -> StreamName {
    StreamName::from("config")
}

/// Appends a snapshot of all that the log holds, as a ledger does; gives its offset.
pub async fn snapshot_all(log: &MemLog) -> u64 {
    let mut replica = Replica::<Fold>::new();
    let page = log
        .read(&config(), 0, 1_000, Duration::ZERO)
        .await
        .expect("read");
    replica.feed(page.first, &page.records).expect("no hole");
    let state = replica.state().expect("ready").encode();
    let offset = replica.applied() - 1;
    for chunk in snapshot::split(offset, &state) {
        let set = ChangeSet {
            snapshot: Some(chunk),
            ..ChangeSet::default()
        };
        let data = Bytes::from(set.encode_to_vec());
        log.append(&config(), data).await.expect("appended");
    }
    offset
}
