//! The rules that every history must keep.

use std::collections::{BTreeMap, BTreeSet};

use swiftlink_standins::engine::Run;
use swiftlink_types::{Tokens, cost};

use super::accounts::{Accounts, Charged};
use super::history::{Call, End, History};

/// One broken rule.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Violation {
    /// More was spent than prepaid.
    Overspend {
        /// Budget.
        budget: String,
        /// Sum of the top-ups.
        topped_up: Tokens,
        /// What was spent.
        spent: Tokens,
        /// Where it was measured: `log` or `servers`.
        measured: &'static str,
    },
    /// A key has more than one effective charge.
    DoubleCharge {
        /// Request key.
        key: String,
    },
    /// A whole answer has no effective charge.
    MissingCharge {
        /// Request key.
        key: String,
    },
    /// The charge is not what the caller was told, or not what ran.
    ChargeMismatch {
        /// Request key.
        key: String,
        /// As told to the caller, or as run by the engine.
        expected: Tokens,
        /// As charged.
        charged: Tokens,
    },
    /// The caller was told `not-run`, but a run or a charge exists.
    WrongRefusal {
        /// Request key.
        key: String,
    },
    /// A request that may not run twice ran more than once.
    SecondRun {
        /// Request key.
        key: String,
        /// Times that it ran.
        executions: u64,
    },
    /// A whole answer does not have the text that it must have.
    WrongBytes {
        /// Request key.
        key: String,
    },
    /// A record of the log that no fold can read.
    Malformed {
        /// Number of such records.
        count: u64,
    },
}

/// Runs of one key over all servers.
#[derive(Clone, Copy, Debug, Default)]
struct Ran {
    seen: u64,
    executions: u64,
    last_tokens: Tokens,
}

struct Sides<'a> {
    history: &'a History,
    accounts: Accounts,
    ran: BTreeMap<&'a str, Ran>,
    found: Vec<Violation>,
}

/// All broken rules of a history whose charges have settled.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    check_accounts(history, Accounts::fold(&history.streams))
}

/// As [`check`], with accounts in place of the history's log.
#[must_use]
pub fn check_accounts(history: &History, accounts: Accounts) -> Vec<Violation> {
    let mut sides = Sides {
        history,
        accounts,
        ran: runs_by_key(&history.runs),
        found: Vec::new(),
    };
    sides.check_log();
    sides.check_servers();
    for call in &history.calls {
        sides.check_call(call);
    }
    sides.check_once();
    sides.found
}

fn runs_by_key(runs: &[Run]) -> BTreeMap<&str, Ran> {
    let mut by_key: BTreeMap<&str, Ran> = BTreeMap::new();
    for run in runs {
        let ran = by_key.entry(&run.key).or_default();
        ran.seen += run.seen;
        ran.executions += run.executions;
        ran.last_tokens = ran.last_tokens.max(run.last_tokens);
    }
    by_key
}

impl Sides<'_> {
    fn check_log(&mut self) {
        if self.accounts.malformed > 0 {
            let count = self.accounts.malformed;
            self.found.push(Violation::Malformed { count });
        }
        for ((_workspace, key), charges) in &self.accounts.charges {
            if charges.len() > 1 {
                let key = key.clone();
                self.found.push(Violation::DoubleCharge { key });
            }
        }
        for (budget, balance) in &self.accounts.budgets {
            // Counted twice, so that a fault of the fold's sums shows too.
            let spent = balance.charged.max(balance.folded);
            if spent > balance.topped_up {
                self.found.push(Violation::Overspend {
                    budget: budget.clone(),
                    topped_up: balance.topped_up,
                    spent,
                    measured: "log",
                });
            }
        }
    }

    /// What the servers ran for keys that were completed or charged.
    fn check_servers(&mut self) {
        let mut spent: BTreeMap<&str, Tokens> = BTreeMap::new();
        let mut counted = BTreeSet::new();
        for call in &self.history.calls {
            let whole = matches!(call.end, End::Whole { .. });
            let place = (call.workspace.as_str(), call.key.as_str());
            if (!whole && self.charge_of(call).is_none()) || !counted.insert(place) {
                continue;
            }
            let tokens = self.ran_of(call).last_tokens;
            *spent.entry(&call.budget).or_default() += cost(tokens, call.price);
        }
        for (budget, spent) in spent {
            let balance = self.accounts.budgets.get(budget);
            let topped_up = balance.map_or(0, |balance| balance.topped_up);
            if spent > topped_up {
                self.found.push(Violation::Overspend {
                    budget: budget.to_owned(),
                    topped_up,
                    spent,
                    measured: "servers",
                });
            }
        }
    }

    fn check_call(&mut self, call: &Call) {
        match &call.end {
            End::Whole { text, charged } => {
                if call.expected.as_ref().is_some_and(|want| want != text) {
                    let key = call.key.clone();
                    self.found.push(Violation::WrongBytes { key });
                }
                self.check_charge(call, *charged);
            }
            End::NotRun => self.check_refusal(call),
            End::Unknown | End::Cut => {}
        }
    }

    fn check_charge(&mut self, call: &Call, told: Tokens) {
        let ran = self.ran_of(call);
        let Some(charge) = self.charge_of(call) else {
            // A call that costs nothing needs no charge.
            if told > 0 || ran.last_tokens > 0 {
                let key = call.key.clone();
                self.found.push(Violation::MissingCharge { key });
            }
            return;
        };
        if charge.cost != told {
            self.mismatch(call, told, charge.cost);
        }
        if ran.last_tokens > 0 && ran.last_tokens != charge.tokens {
            self.mismatch(call, ran.last_tokens, charge.tokens);
        }
    }

    fn check_refusal(&mut self, call: &Call) {
        let others: Vec<&Call> = self.others(call).collect();
        let explained = others.iter().any(|other| other.end != End::NotRun);
        let traces = self.ran_of(call).seen > 0 || self.charge_of(call).is_some();
        // Whoever was told the whole answer before knows that it ran.
        let known = others
            .iter()
            .any(|other| matches!(other.end, End::Whole { .. }) && other.ended < call.began);
        if known || (traces && !explained) {
            let key = call.key.clone();
            self.found.push(Violation::WrongRefusal { key });
        }
    }

    fn check_once(&mut self) {
        let mut seen = BTreeSet::new();
        for call in &self.history.calls {
            if !call.once || !seen.insert(call.key.as_str()) {
                continue;
            }
            let executions = self.ran_of(call).executions;
            if executions > 1 {
                let key = call.key.clone();
                self.found.push(Violation::SecondRun { key, executions });
            }
        }
    }

    fn mismatch(&mut self, call: &Call, expected: Tokens, charged: Tokens) {
        self.found.push(Violation::ChargeMismatch {
            key: call.key.clone(),
            expected,
            charged,
        });
    }

    fn others<'a>(&'a self, call: &'a Call) -> impl Iterator<Item = &'a Call> {
        let same = |other: &&Call| other.key == call.key && other.workspace == call.workspace;
        let calls = self.history.calls.iter().filter(same);
        calls.filter(move |other| !std::ptr::eq(*other, call))
    }

    fn charge_of(&self, call: &Call) -> Option<Charged> {
        let place = (call.workspace.clone(), call.key.clone());
        self.accounts.charges.get(&place)?.first().copied()
    }

    fn ran_of(&self, call: &Call) -> Ran {
        self.ran.get(call.key.as_str()).copied().unwrap_or_default()
    }
}
