//! The invariants that every history must satisfy.

use std::collections::{BTreeMap, BTreeSet};

use swiftlink_standins::engine::Run;
use swiftlink_types::{Tokens, cost};

use super::accounts::{Accounts, EffectiveCharge};
use super::history::{Call, CallOutcome, History};

/// One violated invariant.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Violation {
    /// More tokens were spent than prepaid.
    Overspend {
        /// Budget.
        budget: String,
        /// Sum of the top-ups.
        topped_up: Tokens,
        /// Tokens spent.
        spent: Tokens,
        /// Side on which the spending was measured: `log` or `servers`.
        measured: &'static str,
    },
    /// A key has more than one effective charge.
    DoubleCharge {
        /// Request key.
        key: String,
    },
    /// A complete answer has no effective charge.
    MissingCharge {
        /// Request key.
        key: String,
    },
    /// The charge differs from the one reported to the caller, or from the tokens that ran.
    ChargeMismatch {
        /// Request key.
        key: String,
        /// Tokens reported to the caller, or run by the engine.
        expected: Tokens,
        /// Tokens charged.
        charged: Tokens,
    },
    /// The call was refused with `not-run`, but a run or a charge exists.
    WrongRefusal {
        /// Request key.
        key: String,
    },
    /// A request that must not run more than once did.
    SecondRun {
        /// Request key.
        key: String,
        /// Number of executions.
        executions: u64,
    },
    /// A complete answer has another text than expected.
    WrongBytes {
        /// Request key.
        key: String,
    },
    /// The log has records that the fold cannot decode.
    Malformed {
        /// Number of such records.
        count: u64,
    },
}

/// Totals of the runs of one key on all servers.
#[derive(Clone, Copy, Debug, Default)]
struct RunTotals {
    seen: u64,
    executions: u64,
    last_tokens: Tokens,
}

struct Checker<'a> {
    history: &'a History,
    accounts: Accounts,
    runs: BTreeMap<&'a str, RunTotals>,
    violations: Vec<Violation>,
}

/// Returns all violations in a history whose charges have settled.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    check_accounts(history, Accounts::fold(&history.streams))
}

/// Like [`check`], with `accounts` in place of the history's log.
#[must_use]
pub fn check_accounts(history: &History, accounts: Accounts) -> Vec<Violation> {
    let mut checker = Checker {
        history,
        accounts,
        runs: runs_by_key(&history.runs),
        violations: Vec::new(),
    };
    checker.check_log();
    checker.check_servers();
    for call in &history.calls {
        checker.check_call(call);
    }
    checker.check_once();
    checker.violations
}

fn runs_by_key(runs: &[Run]) -> BTreeMap<&str, RunTotals> {
    let mut by_key: BTreeMap<&str, RunTotals> = BTreeMap::new();
    for run in runs {
        let totals = by_key.entry(&run.key).or_default();
        totals.seen += run.seen;
        totals.executions += run.executions;
        totals.last_tokens = totals.last_tokens.max(run.last_tokens);
    }
    by_key
}

impl Checker<'_> {
    fn check_log(&mut self) {
        if self.accounts.malformed > 0 {
            let count = self.accounts.malformed;
            self.violations.push(Violation::Malformed { count });
        }
        for ((_workspace, key), charges) in &self.accounts.charges {
            if charges.len() > 1 {
                let key = key.clone();
                self.violations.push(Violation::DoubleCharge { key });
            }
        }
        for (budget, balance) in &self.accounts.budgets {
            // The larger of two independent sums, so that a wrong sum of the fold shows too.
            let spent = balance.charged.max(balance.folded);
            if spent > balance.topped_up {
                self.violations.push(Violation::Overspend {
                    budget: budget.clone(),
                    topped_up: balance.topped_up,
                    spent,
                    measured: "log",
                });
            }
        }
    }

    /// Compares the top-ups with the tokens that servers ran for keys that were completed
    /// or charged.
    fn check_servers(&mut self) {
        let mut spent: BTreeMap<&str, Tokens> = BTreeMap::new();
        let mut counted = BTreeSet::new();
        for call in &self.history.calls {
            let is_complete = matches!(call.outcome, CallOutcome::Complete { .. });
            let account = (call.workspace.as_str(), call.key.as_str());
            if (!is_complete && self.charge_of(call).is_none()) || !counted.insert(account) {
                continue;
            }
            let tokens = self.runs_of(call).last_tokens;
            *spent.entry(&call.budget).or_default() += cost(tokens, call.price);
        }
        for (budget, spent) in spent {
            let balance = self.accounts.budgets.get(budget);
            let topped_up = balance.map_or(0, |balance| balance.topped_up);
            if spent > topped_up {
                self.violations.push(Violation::Overspend {
                    budget: budget.to_owned(),
                    topped_up,
                    spent,
                    measured: "servers",
                });
            }
        }
    }

    fn check_call(&mut self, call: &Call) {
        match &call.outcome {
            CallOutcome::Complete { text, charged } => {
                if call.expected.as_ref().is_some_and(|want| want != text) {
                    let key = call.key.clone();
                    self.violations.push(Violation::WrongBytes { key });
                }
                self.check_charge(call, *charged);
            }
            CallOutcome::NotRun => self.check_refusal(call),
            CallOutcome::Unknown | CallOutcome::Disconnected => {}
        }
    }

    fn check_charge(&mut self, call: &Call, reported: Tokens) {
        let totals = self.runs_of(call);
        let Some(charge) = self.charge_of(call) else {
            // A call without cost needs no charge.
            if reported > 0 || totals.last_tokens > 0 {
                let key = call.key.clone();
                self.violations.push(Violation::MissingCharge { key });
            }
            return;
        };
        if charge.cost != reported {
            self.report_mismatch(call, reported, charge.cost);
        }
        if totals.last_tokens > 0 && totals.last_tokens != charge.tokens {
            self.report_mismatch(call, totals.last_tokens, charge.tokens);
        }
    }

    fn check_refusal(&mut self, call: &Call) {
        let others: Vec<&Call> = self.other_calls(call).collect();
        let is_explained = others
            .iter()
            .any(|other| other.outcome != CallOutcome::NotRun);
        let has_traces = self.runs_of(call).seen > 0 || self.charge_of(call).is_some();
        // A refusal after a complete answer contradicts that answer.
        let is_known = others.iter().any(|other| {
            matches!(other.outcome, CallOutcome::Complete { .. }) && other.ended < call.began
        });
        if is_known || (has_traces && !is_explained) {
            let key = call.key.clone();
            self.violations.push(Violation::WrongRefusal { key });
        }
    }

    fn check_once(&mut self) {
        let mut seen = BTreeSet::new();
        for call in &self.history.calls {
            if !call.once || !seen.insert(call.key.as_str()) {
                continue;
            }
            let executions = self.runs_of(call).executions;
            if executions > 1 {
                let key = call.key.clone();
                self.violations
                    .push(Violation::SecondRun { key, executions });
            }
        }
    }

    fn report_mismatch(&mut self, call: &Call, expected: Tokens, charged: Tokens) {
        self.violations.push(Violation::ChargeMismatch {
            key: call.key.clone(),
            expected,
            charged,
        });
    }

    fn other_calls<'a>(&'a self, call: &'a Call) -> impl Iterator<Item = &'a Call> {
        let same = |other: &&Call| other.key == call.key && other.workspace == call.workspace;
        let calls = self.history.calls.iter().filter(same);
        calls.filter(move |other| !std::ptr::eq(*other, call))
    }

    fn charge_of(&self, call: &Call) -> Option<EffectiveCharge> {
        let account = (call.workspace.clone(), call.key.clone());
        self.accounts.charges.get(&account)?.first().copied()
    }

    fn runs_of(&self, call: &Call) -> RunTotals {
        self.runs
            .get(call.key.as_str())
            .copied()
            .unwrap_or_default()
    }
}
