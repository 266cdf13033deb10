//! Runs ledgers on an in-memory log, and builds records to submit to them.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod list;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;
use swiftlink_budget::{CONFIG_STREAM, shard_of, stream_of};
use swiftlink_ledger::{Ledger, LedgerSettings};
use swiftlink_link::{Client, LinkError, Secret};
use swiftlink_log::{Log, LogError, MemLog};
use swiftlink_settings::{Common, LinkPeer, SecretString};
use swiftlink_telemetry::Metrics;
use swiftlink_types::{RequestKey, StreamName, wall_ms};
use swiftlink_wire::link::{Settle, Submit, Submitted, reply, request};
use swiftlink_wire::log::{
    Change, ChangeSet, Charge, Charges, Claim, Fate, Incarnation, Join, LogPage, Record, fate,
    record,
};

pub const SECRET: &str = "a-shared-secret-of-tests";
pub const SHARDS: u32 = 2;
pub const BUDGET: &str = "b1";
/// Timeout far longer than any step of the tests takes; a wait that reaches it has failed.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Wrapper of an in-memory log for one ledger, which counts appends and can be made
/// unreachable for this ledger only.
pub struct CountingLog {
    pub log: Arc<MemLog>,
    pub appends: AtomicU64,
    pub is_unreachable: std::sync::atomic::AtomicBool,
}

impl CountingLog {
    pub fn new(log: &Arc<MemLog>) -> Arc<Self> {
        Arc::new(Self {
            log: Arc::clone(log),
            appends: AtomicU64::new(0),
            is_unreachable: std::sync::atomic::AtomicBool::new(false),
        })
    }

    pub fn set_unreachable(&self, unreachable: bool) {
        self.is_unreachable.store(unreachable, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), LogError> {
        if self.is_unreachable.load(Ordering::SeqCst) {
            return Err(LogError::Unavailable("cut".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl Log for CountingLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        self.appends.fetch_add(1, Ordering::SeqCst);
        self.check()?;
        self.log.append(stream, data).await
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.check()?;
        let page = self.log.read(stream, from, max, wait).await?;
        self.check()?;
        Ok(page)
    }
}

/// A running ledger and a client that is connected to it.
pub struct Node {
    pub ledger: Ledger,
    pub client: Arc<Client>,
    pub log: Arc<CountingLog>,
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn settings(vm: &str, peers: &[(String, SocketAddr)]) -> LedgerSettings {
    let nowhere: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let peers = peers.iter().map(|(name, address)| LinkPeer {
        name: name.clone(),
        address: *address,
        domain: "d".to_owned(),
    });
    LedgerSettings {
        common: Common {
            vm: vm.to_owned(),
            domain: "d".to_owned(),
            admin: nowhere,
            secret: SecretString::new(SECRET),
            log_level: "info".to_owned(),
            statsd: None,
        },
        listen: nowhere,
        log: nowhere,
        vms: None,
        peers: peers.collect(),
        shards: SHARDS,
        batch_ms: 1,
        append_rate: 200,
        append_burst: 50,
        log_timeout_ms: 500,
        poll_ms: 100,
        snapshot_every: 10_000,
        snapshot_secs: 3_600,
        queue_bytes: 8 << 20,
        tail_bytes: 8 << 20,
        vm_reads: 2,
        stop_ms: 2_000,
    }
}

pub fn spawn(settings: LedgerSettings, listener: TcpListener, log: &Arc<MemLog>) -> Node {
    spawn_with_metrics(settings, listener, log, Metrics::nop())
}

/// Spawns a node that sends metrics.
pub fn spawn_with_metrics(
    settings: LedgerSettings,
    listener: TcpListener,
    log: &Arc<MemLog>,
    metrics: Metrics,
) -> Node {
    let address = listener.local_addr().unwrap();
    let log = CountingLog::new(log);
    let shared: Arc<dyn Log> = Arc::<CountingLog>::clone(&log);
    let ledger = Ledger::spawn(settings, shared, listener, metrics).unwrap();
    let client = Client::spawn(address, "router-test", Secret::new(SECRET));
    Node {
        ledger,
        client,
        log,
    }
}

/// Spawns one ledger without peers.
pub fn spawn_single(log: &Arc<MemLog>) -> Node {
    let (listener, _) = listener();
    spawn(settings("vm-1", &[]), listener, log)
}

/// Spawns `count` ledgers that are peers of each other.
pub fn spawn_fleet(count: usize, log: &Arc<MemLog>) -> Vec<Node> {
    let bound: Vec<_> = (0..count).map(|_| listener()).collect();
    let names: Vec<_> = (0..count).map(|at| format!("vm-{at}")).collect();
    let all: Vec<(String, SocketAddr)> = names
        .iter()
        .cloned()
        .zip(bound.iter().map(|b| b.1))
        .collect();
    let mut nodes = Vec::new();
    for (at, (listener, _)) in bound.into_iter().enumerate() {
        let peers: Vec<_> = all
            .iter()
            .filter(|peer| peer.0 != names[at])
            .cloned()
            .collect();
        nodes.push(spawn(settings(&names[at], &peers), listener, log));
    }
    nodes
}

impl Node {
    pub async fn wait_up(&self) {
        assert!(self.client.wait_up(TIMEOUT).await, "no link");
    }

    /// Submits records for the stream of [`BUDGET`].
    pub async fn submit(
        &self,
        records: Vec<record::Kind>,
        wait: Duration,
    ) -> Result<Submitted, LinkError> {
        let submit = Submit {
            stream: stream().to_string(),
            records: records
                .into_iter()
                .map(|kind| Record { kind: Some(kind) })
                .collect(),
            wait_ms: wait.as_millis() as u32,
        };
        let reply = self
            .client
            .call(request::Kind::Submit(submit), TIMEOUT)
            .await?;
        match reply {
            reply::Kind::Submitted(submitted) => Ok(submitted),
            other => panic!("unexpected reply {other:?}"),
        }
    }

    pub async fn submit_one(&self, kind: record::Kind) -> fate::Kind {
        let submitted = self.submit(vec![kind], TIMEOUT).await.unwrap();
        kind_of(&submitted.fates[0])
    }

    /// Sends charges; returns once the ledger has answered `Stored`.
    pub async fn settle(&self, charges: Charges) -> swiftlink_link::ReplyStream {
        let settle = Settle {
            stream: stream().to_string(),
            charges: Some(charges),
        };
        let mut replies = self
            .client
            .stream(request::Kind::Settle(settle))
            .await
            .unwrap();
        let first = replies.next().await.unwrap().unwrap();
        assert!(matches!(first, reply::Kind::Stored(_)), "{first:?}");
        replies
    }

    /// Waits until this ledger's fold of the budget stream satisfies `check`.
    pub async fn wait_until(&self, what: &str, check: impl Fn(&swiftlink_budget::Fold) -> bool) {
        let (_, shard) = self.ledger.shards().find(stream().as_str()).unwrap();
        eventually(what, || {
            let state = shard.stream.state();
            state.current().is_some_and(&check)
        })
        .await;
    }

    /// Waits until this ledger has folded the top-up that [`declare_budget`] declares.
    pub async fn wait_top_up(&self) {
        self.wait_until("top-up", |fold| fold.has_top_up(BUDGET, "t1"))
            .await;
    }

    pub fn charged(&self) -> u64 {
        let views = self.ledger.shards().views(&[BUDGET.to_owned()]);
        views.first().map_or(0, |view| view.charged)
    }

    pub async fn stop(self) {
        self.client.stop().await;
        self.ledger.stop().await;
    }
}

pub async fn eventually(what: &str, check: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !check() {
        assert!(tokio::time::Instant::now() < deadline, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn kind_of(fate: &Fate) -> fate::Kind {
    fate.kind.clone().expect("a fate has a kind")
}

/// The stream that holds [`BUDGET`].
pub fn stream() -> StreamName {
    stream_of(shard_of(BUDGET, SHARDS))
}

pub fn incarnation(epoch: u64) -> Incarnation {
    Incarnation {
        vm: "router-vm".to_owned(),
        epoch,
    }
}

pub fn join(epoch: u64) -> record::Kind {
    record::Kind::Join(Join {
        incarnation: Some(incarnation(epoch)),
        address: "10.0.0.1:80".to_owned(),
        domain: "d".to_owned(),
        floor_ms: 0,
    })
}

pub fn claim(epoch: u64, seq: u64, want: u64) -> record::Kind {
    record::Kind::Claim(Claim {
        incarnation: Some(incarnation(epoch)),
        budget: BUDGET.to_owned(),
        seq,
        need: 1,
        want,
    })
}

pub fn charge(epoch: u64, serial: u64, cost: u64) -> Charges {
    let item = Charge {
        key: RequestKey::generate(wall_ms()).as_bytes().to_vec(),
        workspace: "w".to_owned(),
        budget: BUDGET.to_owned(),
        tokens: cost,
        cost,
        serial,
    };
    Charges {
        incarnation: Some(incarnation(epoch)),
        items: vec![item],
    }
}

/// Declares [`BUDGET`] and one top-up, as an operator does.
pub async fn declare_budget(log: &MemLog, amount: u64, release: &str) {
    let changes = vec![
        change("budget", BUDGET, &format!(r#"{{"release":"{release}"}}"#)),
        change(
            "topup",
            "t1",
            &format!(r#"{{"budget":"{BUDGET}","amount":{amount}}}"#),
        ),
    ];
    apply(log, "set-1", changes).await;
}

/// Appends a change set with this `id` to the configuration stream.
pub async fn apply(log: &MemLog, id: &str, changes: Vec<Change>) {
    let set = ChangeSet {
        id: id.to_owned(),
        author: "test".to_owned(),
        stamp_ms: 0,
        changes,
        snapshot: None,
    };
    let data = Bytes::from(set.encode_to_vec());
    log.append(&StreamName::from(CONFIG_STREAM), data)
        .await
        .unwrap();
}

pub fn change(kind: &str, name: &str, spec: &str) -> Change {
    Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        base: 0,
        delete: false,
        spec: spec.to_owned(),
    }
}

/// Changes the VM of the router that a record comes from.
pub fn with_vm(vm: &str, mut kind: record::Kind) -> record::Kind {
    let incarnation = match &mut kind {
        record::Kind::Join(join) => &mut join.incarnation,
        record::Kind::Claim(claim) => &mut claim.incarnation,
        record::Kind::Charges(charges) => &mut charges.incarnation,
        other => panic!("no test needs {other:?}"),
    };
    let incarnation = incarnation.as_mut().expect("an incarnation");
    incarnation.vm = vm.to_owned();
    kind
}

/// Changes the budget of a claim.
pub fn with_budget(budget: &str, mut kind: record::Kind) -> record::Kind {
    let record::Kind::Claim(claim) = &mut kind else {
        panic!("not a claim: {kind:?}");
    };
    claim.budget = budget.to_owned();
    kind
}

pub async fn stop_all(nodes: Vec<Node>) {
    for node in nodes {
        node.stop().await;
    }
}
