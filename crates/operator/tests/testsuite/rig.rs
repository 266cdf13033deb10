//! Fixture: operator daemons and clients on an in-memory log.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use serde_json::{Value, json};
use swiftlink_client::api::{Applied, ApplyChange, ApplyRequest};
use swiftlink_client::{ClientError, ClientSettings, Operator as Client, change_id};
use swiftlink_log::{Fold as _, Log, MemLog, Replica, snapshot};
use swiftlink_operator::{Dependencies, Operator, OperatorSettings};
use swiftlink_resource::Fold;
use swiftlink_telemetry::Metrics;
use swiftlink_types::StreamName;
use swiftlink_wire::log::ChangeSet;

/// Timeout after which a test is considered hung.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
pub const TOKEN: &str = "token-of-the-operators";
pub const SECRET: &str = "secret-of-the-links-0123";

/// Settings with a short heartbeat. The addresses are placeholders: the listeners are already
/// bound.
pub fn settings(overrides: &Value) -> OperatorSettings {
    let mut value = json!({
        "vm": "vm-1", "domain": "rennes-a", "admin": "127.0.0.1:1", "secret": SECRET,
        "listen": "127.0.0.1:2", "token": TOKEN, "log": "127.0.0.1:3",
        "heartbeat_ms": 50,
    });
    for (key, entry) in overrides.as_object().expect("an object") {
        value[key] = entry.clone();
    }
    serde_json::from_value(value).expect("valid settings")
}

/// A running daemon and its client.
pub struct Rig {
    pub operator: Operator,
    pub client: Client,
}

impl Rig {
    /// Starts a daemon on `log` and waits until it has read the configuration.
    pub async fn start(log: &Arc<MemLog>, overrides: &Value) -> Self {
        let rig = Self::spawn(log, overrides);
        rig.ready().await;
        rig
    }

    pub fn spawn(log: &Arc<MemLog>, overrides: &Value) -> Self {
        let dependencies = Dependencies {
            log: Arc::clone(log) as _,
            listen: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            admin: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            metrics: Metrics::nop(),
        };
        let operator = Operator::spawn(settings(overrides), dependencies).expect("starts");
        let client = client(&[operator.address()]);
        Self { operator, client }
    }

    pub async fn ready(&self) {
        let ready = async {
            while self.client.list("workspace").await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ready = tokio::time::timeout(TEST_TIMEOUT, ready).await;
        ready.expect("the operator never read the configuration");
    }

    /// Applies the changes with a new change id.
    pub async fn apply(&self, changes: Vec<ApplyChange>) -> Result<Applied, ClientError> {
        self.client
            .apply(&request(changes), &change_id(), false)
            .await
    }
}

pub fn client(operators: &[SocketAddr]) -> Client {
    Client::open(ClientSettings {
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

/// Declares a class with this weight.
pub fn class(name: &str, base: Option<u64>, weight: u32) -> ApplyChange {
    put("class", name, base, json!({ "weight": weight }))
}

pub fn config() -> StreamName {
    StreamName::from("config")
}

/// Appends a snapshot of the whole log, as a ledger does, and returns the snapshot's offset.
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
