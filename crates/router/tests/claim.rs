//! The claimer against a fake ledger whose answers each test configures.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;
use swiftlink_link::{Handler, Replies, Secret, Server};
use swiftlink_router::Settings;
use swiftlink_router::account::{Account, FIRST_CLAIM_TIME, Shortage, WaitPolicy};
use swiftlink_router::claim::{ClaimContext, Claimers};
use swiftlink_router::config::ConfigView;
use swiftlink_router::fleet::Pools;
use swiftlink_router::freshness::Freshness;
use swiftlink_router::keys::Keys;
use swiftlink_router::ledgers::Ledgers;
use swiftlink_router::members::{Keeper, Membership, Memberships};
use swiftlink_router::pings;
use swiftlink_telemetry::Metrics;
use swiftlink_types::{BudgetName, DomainName, RefusalKind, VmName};
use swiftlink_wire::link::{BudgetView, Budgets, Failure, FailureKind, Submitted, reply, request};
use swiftlink_wire::log::{ClaimFate, Fate, JoinFate, fate, record};
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const SECRET: &str = "0123456789abcdef";
/// Timeout that no step of these tests reaches, even on a busy machine.
const LONG: Duration = Duration::from_secs(60);

/// A fake ledger of one budget.
#[derive(Debug, Default)]
struct FakeLedger {
    /// Number of further claims to fail, as in an outage of the log.
    failures: AtomicU64,
    /// Number of further claims to refuse, as for a budget without free tokens.
    refusals: AtomicU64,
    /// Free tokens of the budget.
    free: AtomicU64,
}

impl FakeLedger {
    fn decide(&self, kind: record::Kind) -> Result<fate::Kind, Failure> {
        let record::Kind::Claim(claim) = kind else {
            let active = true;
            return Ok(fate::Kind::Join(JoinFate {
                active,
                ..JoinFate::default()
            }));
        };
        if take_one(&self.failures) {
            return Err(Failure {
                kind: FailureKind::LogOut.into(),
                detail: String::new(),
            });
        }
        if take_one(&self.refusals) {
            return Ok(fate::Kind::Claim(ClaimFate {
                seq: claim.seq,
                ..ClaimFate::default()
            }));
        }
        let free = self.free.load(Ordering::SeqCst);
        let granted = if free < claim.need {
            0
        } else {
            free.min(claim.want)
        };
        self.free.store(free - granted, Ordering::SeqCst);
        Ok(fate::Kind::Claim(ClaimFate {
            seq: claim.seq,
            granted,
            free: free - granted,
            elsewhere: 0,
            holders: Vec::new(),
            sharers: 1,
        }))
    }

    fn answer(&self, request: request::Kind) -> reply::Kind {
        match request {
            request::Kind::Submit(submit) => {
                let mut records = submit.records.into_iter();
                let kind = records.next().and_then(|record| record.kind);
                match self.decide(kind.expect("a record")) {
                    Err(failure) => reply::Kind::Failure(failure),
                    Ok(kind) => reply::Kind::Submitted(Submitted {
                        fates: vec![Fate { kind: Some(kind) }],
                        offset: 0,
                    }),
                }
            }
            request::Kind::GetBudgets(query) => reply::Kind::Budgets(Budgets {
                items: vec![BudgetView {
                    name: query.names[0].clone(),
                    topped_up: 1_000_000,
                    free: self.free.load(Ordering::SeqCst),
                    ..BudgetView::default()
                }],
            }),
            _ => reply::Kind::Failure(Failure::default()),
        }
    }
}

/// Decrements `count` unless it is 0. Returns whether it did.
fn take_one(count: &AtomicU64) -> bool {
    let down = |left: u64| left.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, down)
        .is_ok()
}

/// Serves the fake ledger's connections.
struct FakeHandler(FakeLedger);

#[async_trait]
impl Handler for FakeHandler {
    async fn handle(&self, _peer: &str, request: request::Kind, replies: Replies) {
        let _gone = replies.send(self.0.answer(request), true).await;
    }
}

/// The parts of a router that claim one budget at the fake ledger.
struct TestRouter {
    server: Server,
    ledgers: Arc<Ledgers>,
    tasks: TaskTracker,
    stop: CancellationToken,
    _membership: Arc<Membership>,
    account: Arc<Account>,
}

impl TestRouter {
    async fn open(fake: FakeLedger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let handler = Arc::new(FakeHandler(fake));
        let server =
            Server::bind(listener, "ledger", Secret::new(SECRET), handler).expect("a server");
        let settings: Settings = serde_json::from_value(json!({
            "vm": "vm-1", "domain": "east", "admin": "127.0.0.1:1", "secret": SECRET,
            "listen": "127.0.0.1:1", "shards": 1, "mark_ms": 600_000,
            "ledgers": [{
                "name": "ledger", "address": server.address().to_string(), "domain": "east",
            }],
        }))
        .expect("settings");
        let ledgers = Arc::new(Ledgers::spawn(&settings));
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let members = Memberships::new(1);
        let keeper = Keeper {
            vm: VmName::from("vm-1"),
            domain: Arc::from("east"),
            address: settings.listen,
            mark: Duration::from_millis(settings.mark_ms),
            ledgers: Arc::clone(&ledgers),
            keys: Keys::new(settings.key_window_ms, 0),
            members: Arc::clone(&members),
            stop: stop.clone(),
        };
        tasks.spawn(keeper.keep(0));
        let pools = Pools::new(DomainName::from("east"), 1, 0);
        let freshness = Freshness::new(pings::rule(settings.stale()), 1);
        let claimers = Claimers {
            context: Arc::new(ClaimContext {
                ledgers: Arc::clone(&ledgers),
                config: ConfigView::new(pools, freshness),
                metrics: Metrics::nop(),
                wait: Duration::from_millis(100),
                pause: Duration::from_millis(100),
                stop: stop.clone(),
            }),
            runtime: Handle::current(),
            tasks: tasks.clone(),
        };
        let budget = BudgetName::from("registry");
        let membership = until(|| members.find(&budget)).await;
        let account = membership.open(&budget, &claimers);
        Self {
            server,
            ledgers,
            tasks,
            stop,
            _membership: membership,
            account,
        }
    }

    /// Reserves `cost` tokens and releases them unspent.
    async fn reserve(&self, cost: u64) -> Result<(), Shortage> {
        let policy = WaitPolicy {
            deadline: Instant::now() + LONG,
            claim_wait: LONG,
            pause: Duration::from_millis(100),
            has_log: true,
        };
        self.account.reserve(cost, policy, true).await.map(drop)
    }

    async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.ledgers.stop().await;
        self.server.stop().await;
    }
}

/// Calls `poll` until it returns a value.
async fn until<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let found = async {
        loop {
            if let Some(found) = poll() {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LONG, found).await.expect("in time")
}

#[tokio::test]
async fn a_claim_through_an_outage_is_not_timed() {
    let router = TestRouter::open(FakeLedger {
        // Enough failures for several submissions, however many attempts each makes.
        failures: AtomicU64::new(8),
        free: AtomicU64::new(1_000_000),
        ..FakeLedger::default()
    })
    .await;
    let refused = router
        .reserve(100)
        .await
        .expect_err("the log is unavailable");
    assert_eq!(refused.refusal.kind, RefusalKind::LogUnavailable);
    until(|| (router.account.grant.available() > 0).then_some(())).await;
    assert_eq!(router.account.claim_time(), FIRST_CLAIM_TIME);
    router.stop().await;
}

#[tokio::test]
async fn a_claim_answered_at_once_is_timed() {
    let router = TestRouter::open(FakeLedger {
        free: AtomicU64::new(1_000_000),
        ..FakeLedger::default()
    })
    .await;
    router.reserve(100).await.expect("granted");
    assert_ne!(router.account.claim_time(), FIRST_CLAIM_TIME);
    router.stop().await;
}

#[tokio::test]
async fn free_tokens_are_noticed_without_a_claim() {
    let router = TestRouter::open(FakeLedger {
        refusals: AtomicU64::new(1),
        free: AtomicU64::new(5_000),
        ..FakeLedger::default()
    })
    .await;
    let refused = router.reserve(100).await.expect_err("nothing was free");
    assert_eq!(refused.refusal.kind, RefusalKind::NoBudget);
    // No further request follows: the claimer learns of the free tokens by polling.
    until(|| (router.account.grant.available() >= 100).then_some(())).await;
    router.stop().await;
}
