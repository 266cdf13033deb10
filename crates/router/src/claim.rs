//! Claims quota for one account, one claim at a time, and returns surplus quota.
//!
//! A claim without an answer may have been granted. The same record is therefore
//! submitted again until the log has decided it.

mod budget_view;

use std::sync::Arc;
use std::time::Duration;

use swiftlink_admission::{ClaimOutcome, ClaimSize, DemandSizer, SizerPolicy, Sizing};
use swiftlink_log::Backoff;
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{Micros, Tokens};
use swiftlink_wire::link::BudgetView;
use swiftlink_wire::log::{Claim, ClaimFate, Return, fate, record};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::account::{Account, Holder};
use crate::config::ConfigView;
use crate::ledgers::Ledgers;
use crate::members::Membership;

/// Time between checks of the demand of an account in use.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two checks, so that a series of claims or wakeups can't keep a
/// thread busy.
const MIN_CYCLE_TIME: Duration = Duration::from_millis(5);
/// Time between checks while the waiting requests are answered from the last outcome of a
/// claim.
const WAITER_INTERVAL: Duration = Duration::from_millis(20);
/// First and maximum delay between submissions of one record.
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_CAP: Duration = Duration::from_secs(2);

/// State that all claimers share.
#[derive(Debug)]
pub struct ClaimContext {
    /// Ledgers to which records are submitted.
    pub ledgers: Arc<Ledgers>,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// Receives the counts of claims.
    pub metrics: Metrics,
    /// Maximum wait for one submission.
    pub wait: Duration,
    /// Maximum time for which the outcome of a refused claim stays valid.
    pub pause: Duration,
    /// Stops all claimers.
    pub stop: CancellationToken,
}

/// Starts claimers on a runtime that outlives the connections of callers.
#[derive(Debug, Clone)]
pub struct Claimers {
    /// State that the claimers share.
    pub context: Arc<ClaimContext>,
    /// Runtime of the claimers.
    pub runtime: Handle,
    /// Tracks the claimers, so that a stop can wait for them.
    pub tasks: TaskTracker,
}

impl Claimers {
    /// Starts the claimer of `account`.
    pub fn spawn(&self, membership: &Arc<Membership>, account: &Arc<Account>) {
        let context = Arc::clone(&self.context);
        let membership = Arc::clone(membership);
        let account = Arc::clone(account);
        let run = async move {
            let (view_tx, view) = watch::channel(BudgetView::default());
            let claimer =
                Claimer::new(Arc::clone(&context), membership, Arc::clone(&account), view);
            tokio::select! {
                () = claimer.run() => {}
                () = budget_view::follow(&context, &account, &view_tx) => {}
            }
        };
        self.tasks.spawn_on(run, &self.runtime);
    }
}

/// The claimer of one account.
struct Claimer {
    context: Arc<ClaimContext>,
    membership: Arc<Membership>,
    account: Arc<Account>,
    sizer: DemandSizer,
    policy: SizerPolicy,
    start: Instant,
    seq: u64,
    topped_up: Tokens,
    sharers: u32,
    /// State of the budget as last reported by a ledger.
    view: watch::Receiver<BudgetView>,
}

impl Claimer {
    /// Creates a claimer for `account` of `membership`.
    #[must_use]
    pub fn new(
        context: Arc<ClaimContext>,
        membership: Arc<Membership>,
        account: Arc<Account>,
        view: watch::Receiver<BudgetView>,
    ) -> Self {
        let policy = SizerPolicy {
            retry_max: context.pause,
            ..SizerPolicy::default()
        };
        Self {
            context,
            membership,
            account,
            sizer: DemandSizer::new(policy),
            policy,
            start: Instant::now(),
            seq: 0,
            topped_up: 0,
            sharers: 1,
            view,
        }
    }

    /// Claims and returns quota until stopped or until the incarnation is retired.
    pub async fn run(mut self) {
        let stop = self.context.stop.clone();
        while !stop.is_cancelled() && !self.membership.is_retired() {
            self.refresh();
            let is_claimed = self.run_once().await;
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(MIN_CYCLE_TIME) => {}
            }
            if !is_claimed {
                self.sleep().await;
            }
        }
        // Requests that still wait won't get any more quota.
        self.account.update_status(|status| {
            status.is_failed = true;
            status.updated_at = Some(Instant::now());
        });
    }

    /// Makes at most one claim or return. Returns whether it made a claim.
    async fn run_once(&mut self) -> bool {
        let now = self.now();
        // Read before the demand, which includes requests that have stopped waiting.
        let waiting = self.account.waiting();
        self.sizer.observe(now, self.account.grant.demand());
        self.account.set_wake_threshold(self.sizer.target(now) / 2);
        let available = self.account.grant.available();
        if let Some(size) = self.sizer.claim(now, available, waiting) {
            self.claim(size).await;
            return true;
        }
        if waiting.min_cost > available {
            // Between two claims the last outcome stays valid.
            self.account
                .update_status(|status| status.updated_at = Some(Instant::now()));
        } else if let Some(extra) = self.sizer.surplus(now, available) {
            self.give_back(extra).await;
        }
        false
    }

    async fn sleep(&mut self) {
        let available = self.account.grant.available();
        let is_short = self.account.waiting().min_cost > available;
        let is_idle = available == 0 && !is_short;
        let tick = if is_short {
            WAITER_INTERVAL
        } else {
            DEMAND_INTERVAL
        };
        tokio::select! {
            () = self.context.stop.cancelled() => {}
            () = self.account.wake.notified() => {}
            Ok(()) = self.view.changed() => self.view.mark_changed(),
            () = tokio::time::sleep(tick), if !is_idle => {}
        }
    }

    /// Reads the budget's settings and top-ups from the configuration.
    fn refresh(&mut self) {
        let config = self.context.config.load();
        let Some(spec) = config.budgets.get(self.account.budget.as_str()) else {
            return;
        };
        let policy = SizerPolicy {
            ahead: Duration::from_secs(u64::from(spec.ahead_secs)),
            min_grant: spec.min_grant,
            ..self.policy
        };
        if policy != self.policy {
            self.policy = policy;
            self.sizer.set_policy(policy);
        }
        let topped_up = config.topped_up(self.account.budget.as_str());
        if topped_up > self.topped_up {
            let free = self.account.claim_status().free + (topped_up - self.topped_up);
            self.topped_up = topped_up;
            let now = self.now();
            self.sizer.on_budget(now, topped_up, free, self.sharers);
        }
        self.read_view();
    }

    /// Passes the budget's state, as reported by a ledger, to the sizer.
    fn read_view(&mut self) {
        if !self.view.has_changed().unwrap_or(false) {
            return;
        }
        let (topped_up, free) = {
            let view = self.view.borrow_and_update();
            (view.topped_up, view.free)
        };
        let now = self.now();
        self.sizer.on_budget(now, topped_up, free, self.sharers);
    }

    async fn claim(&mut self, size: ClaimSize) {
        self.seq += 1;
        let claim = Claim {
            incarnation: Some((&self.membership.incarnation).into()),
            budget: self.account.budget.to_string(),
            seq: self.seq,
            need: size.need,
            want: size.want,
        };
        let Some(decided) = self.submit_until_decided(record::Kind::Claim(claim)).await else {
            return;
        };
        match decided.fate {
            fate::Kind::Claim(fate) => {
                if let Some(took) = decided.took {
                    self.account.record_claim_time(took);
                }
                self.apply(size, &fate);
            }
            fate::Kind::Rejected(rejected) => {
                let reason = rejected.reason();
                let budget = &self.account.budget;
                event!(
                    warn,
                    "claim.rejected",
                    budget = budget,
                    reason = reason.as_str_name()
                );
                self.membership.on_rejection(reason);
                let now = self.now();
                self.sizer.on_failed(now);
                self.mark_failed();
            }
            other => {
                event!(error, "claim.fate", fate = format!("{other:?}"));
                let now = self.now();
                self.sizer.on_failed(now);
                self.mark_failed();
            }
        }
    }

    fn apply(&mut self, size: ClaimSize, fate: &ClaimFate) {
        if fate.seq != self.seq {
            event!(error, "claim.seq", expected = self.seq, found = fate.seq);
            return;
        }
        self.sharers = fate.sharers;
        let outcome = ClaimOutcome {
            granted: fate.granted,
            free: fate.free,
            held_elsewhere: fate.elsewhere,
            sharers: fate.sharers,
        };
        let now = self.now();
        self.sizer.on_claimed(now, &outcome);
        self.account.grant.credit(fate.granted);
        self.context.metrics.count("claim.granted", fate.granted);
        event!(
            debug,
            "claim.decided",
            budget = self.account.budget,
            want = size.want,
            granted = fate.granted,
            free = fate.free,
            elsewhere = fate.elsewhere,
        );
        let holders: Arc<[Holder]> = fate.holders.iter().filter_map(read_holder).collect();
        self.account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.is_failed = false;
            status.free = fate.free;
            status.held_elsewhere = fate.elsewhere;
            status.holders = holders;
        });
    }

    /// Returns up to `amount` available tokens to the budget.
    async fn give_back(&mut self, amount: Tokens) {
        let taken = self.account.grant.shrink(amount);
        if taken == 0 {
            return;
        }
        let kind = record::Kind::GiveBack(self.account.give_back(&self.membership));
        let _decided = self.submit_until_decided(kind).await;
        event!(
            debug,
            "grant.returned",
            budget = self.account.budget,
            amount = taken
        );
    }

    /// Submits the record until the log has decided it. Returns `None` when stopped
    /// before.
    async fn submit_until_decided(&mut self, kind: record::Kind) -> Option<Decided> {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        let start = Instant::now();
        let mut is_first = true;
        let mut is_logged = false;
        loop {
            let context = &self.context;
            let submitted = tokio::select! {
                () = context.stop.cancelled() => return None,
                submitted = context
                    .ledgers
                    .submit(self.membership.shard, kind.clone(), context.wait) => submitted,
            };
            match submitted {
                Ok(fate) => {
                    let took = is_first.then(|| start.elapsed());
                    return Some(Decided { fate, took });
                }
                Err(error) if !is_logged => {
                    event!(
                        warn,
                        "claim.waits",
                        budget = self.account.budget,
                        why = error
                    );
                    is_logged = true;
                }
                Err(_) => {}
            }
            is_first = false;
            let now = self.now();
            self.sizer.on_failed(now);
            self.mark_failed();
            tokio::select! {
                () = self.context.stop.cancelled() => return None,
                () = tokio::time::sleep(backoff.next(rand::random())) => {}
            }
        }
    }

    fn mark_failed(&self) {
        self.account.update_status(|status| {
            status.updated_at = Some(Instant::now());
            status.is_failed = true;
        });
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }
}

/// A record's fate.
struct Decided {
    fate: fate::Kind,
    /// Time that the log took; `None` after a retry, whose duration would include an
    /// outage.
    took: Option<Duration>,
}

impl Account {
    /// The record that returns all tokens withdrawn from use so far.
    #[must_use]
    pub fn give_back(&self, membership: &Membership) -> Return {
        Return {
            incarnation: Some((&membership.incarnation).into()),
            budget: self.budget.to_string(),
            total: self.grant.counters().returned,
        }
    }
}

fn read_holder(holder: &swiftlink_wire::log::Holder) -> Option<Holder> {
    Some(Holder {
        address: holder.address.parse().ok()?,
        held: holder.held,
    })
}
