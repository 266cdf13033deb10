//! Property tests over random histories of change sets.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use swiftlink_log::Fold as _;
use swiftlink_resource::{Fold, Kind, SetFate, Verdict};
use swiftlink_wire::log as wire;

/// A change of one of a few resources; its base is set when the history runs.
#[derive(Clone, Debug)]
struct PlannedChange {
    change: wire::Change,
    /// Whether the change is based on the current version instead of its own random base.
    is_current: bool,
}

/// A set; with `copy_of`, a duplicate of that earlier set is written instead.
#[derive(Clone, Debug)]
struct Entry {
    plans: Vec<PlannedChange>,
    copy_of: Option<usize>,
}

fn spec(kind: Kind, variant: u8) -> String {
    let (name, n) = (variant % 2, variant % 5);
    match kind {
        Kind::Budget => format!(r#"{{"ahead_secs":{n}}}"#),
        Kind::TopUp => format!(r#"{{"budget":"n{name}","amount":{n}}}"#),
        Kind::Class => format!(r#"{{"weight":{n}}}"#),
        Kind::Workspace => format!(
            r#"{{"budget":"n{name}","classes":["n{}"]}}"#,
            variant / 2 % 2
        ),
        Kind::Key => format!(
            r#"{{"workspace":"n{name}","hash":"{}"}}"#,
            format!("{n:02x}").repeat(32)
        ),
        Kind::Pool => format!(r#"{{"kind":"model","max_tokens":{n}}}"#),
        Kind::Server => format!(r#"{{"pool":"n{name}","address":"127.0.0.1:{n}","domain":"d"}}"#),
        Kind::Retirement => format!(r#"{{"reason":"{n}"}}"#),
    }
}

fn plan() -> impl Strategy<Value = PlannedChange> {
    let kind = (0..Kind::ALL.len()).prop_map(|at| Kind::ALL[at]);
    let flags = (
        proptest::bool::weighted(0.25),
        proptest::bool::weighted(0.8),
    );
    (kind, 0..2_u8, any::<u8>(), flags, 0..30_u64).prop_map(|(kind, name, variant, flags, base)| {
        let (is_delete, is_current) = flags;
        let name = format!("n{name}");
        let change = match is_delete {
            true => delete(kind.as_str(), &name, base),
            false => put(kind.as_str(), &name, base, &spec(kind, variant)),
        };
        PlannedChange { change, is_current }
    })
}

fn history() -> impl Strategy<Value = Vec<Entry>> {
    let copy = proptest::option::weighted(0.2, 0..40_usize);
    let entry = (vec(plan(), 1..4), copy).prop_map(|(plans, copy_of)| Entry { plans, copy_of });
    vec(entry, 1..40)
}

/// Folds the sets of a history and passes each with its fate to `visit`.
fn run(history: &[Entry], mut visit: impl FnMut(u64, &[u8], &wire::ChangeSet, &SetFate, &Fold)) {
    let mut fold = Fold::empty();
    let mut sets: Vec<wire::ChangeSet> = Vec::new();
    for (index, entry) in history.iter().enumerate() {
        let copied = entry.copy_of.and_then(|at| sets.get(at).cloned());
        let set = copied.unwrap_or_else(|| resolve_bases(&fold, index, &entry.plans));
        // Offsets skip other records of the stream: a version isn't a number of sets.
        let offset = index as u64 * 3;
        let data = prost::Message::encode_to_vec(&set);
        let fate = fold.decide(offset, &set);
        visit(offset, &data, &set, &fate, &fold);
        sets.push(set);
    }
}

fn resolve_bases(fold: &Fold, index: usize, plans: &[PlannedChange]) -> wire::ChangeSet {
    let mut changes = Vec::new();
    for plan in plans {
        let mut change = plan.change.clone();
        if plan.is_current {
            let kind = change.kind.parse().expect("a kind");
            change.base = fold
                .config()
                .get(kind, &change.name)
                .map_or(0, |found| found.version);
        }
        changes.push(change);
    }
    wire::ChangeSet {
        id: format!("set-{index}"),
        changes,
        ..Default::default()
    }
}

/// Checks the invariants of the states and fates of one history.
#[derive(Default)]
struct Checker {
    version: u64,
    decided: BTreeSet<String>,
    /// Resource and base version of each accepted change.
    bases: BTreeSet<(String, String, u64)>,
    versions: BTreeMap<(String, String), u64>,
}

impl Checker {
    fn check(
        &mut self,
        offset: u64,
        set: &wire::ChangeSet,
        fate: &SetFate,
        fold: &Fold,
    ) -> Result<(), String> {
        let ensure = |truth: bool, what: &str| truth.then_some(()).ok_or(what.to_owned());
        let is_new = self.decided.insert(set.id.clone());
        ensure(
            is_new == (fate.verdict != Verdict::Duplicate),
            "a duplicate was decided, or a set was not",
        )?;
        if fate.verdict == Verdict::Accepted {
            self.version = offset + 1;
            ensure(
                fate.events.len() == set.changes.len(),
                "a set was applied partially",
            )?;
            for change in &set.changes {
                let at = (change.kind.clone(), change.name.clone());
                let current = self.versions.remove(&at).unwrap_or(0);
                ensure(
                    change.base == current,
                    "a change based on an old version was accepted",
                )?;
                if current > 0 {
                    let base = (at.0.clone(), at.1.clone(), current);
                    ensure(
                        self.bases.insert(base),
                        "two changes based on one version were accepted",
                    )?;
                }
                if !change.delete {
                    self.versions.insert(at, self.version);
                }
            }
        } else {
            ensure(fate.events.is_empty(), "a rejected set produced events")?;
        }
        ensure(fold.version() == self.version, "the version is wrong")?;
        self.check_state(fold)
    }

    fn check_state(&self, fold: &Fold) -> Result<(), String> {
        let config = fold.config();
        let mut members = 0;
        for kind in Kind::ALL {
            for (name, resource) in config.list(kind) {
                let at = (kind.to_string(), name.to_string());
                if self.versions.get(&at) != Some(&resource.version) {
                    return Err(format!("{at:?} has version {}", resource.version));
                }
                for (kind, name) in resource.spec.references() {
                    config
                        .get(kind, name)
                        .ok_or(format!("{at:?} needs {kind}/{name}"))?;
                }
            }
        }
        for pool in config.pools.keys() {
            members += config.servers_of(pool.as_str()).len();
        }
        let found = config.keys.iter().filter(|(name, key)| {
            config
                .key_by_hash(&key.hash.0)
                .is_some_and(|(found, _)| found == *name)
        });
        let retired = config.list(Kind::Retirement);
        let known = retired.filter(|(name, _)| config.is_retired(name)).count();
        let is_complete = found.count() == config.keys.len()
            && members == config.servers.len()
            && known == config.retirements.len()
            && known == config.list(Kind::Retirement).count();
        is_complete
            .then_some(())
            .ok_or("a key, a server or a retirement is missing from an index".to_owned())
    }
}

fn first_violation(
    history: &[Entry],
    broken: impl Fn(&mut wire::ChangeSet, &mut SetFate),
) -> Option<String> {
    let mut checker = Checker::default();
    let mut first = None;
    run(history, |offset, _, set, fate, fold| {
        let (mut set, mut fate) = (set.clone(), fate.clone());
        broken(&mut set, &mut fate);
        let result = checker.check(offset, &set, &fate, fold);
        first = first.take().or(result.err());
    });
    first
}

proptest! {
    #![proptest_config(Config::with_cases(512))]

    #[test]
    fn accepted_sets_are_complete_and_current(history in history()) {
        prop_assert_eq!(first_violation(&history, |_, _| {}), None);
    }

    #[test]
    fn folds_agree_across_snapshots(history in history(), reloads in vec(any::<bool>(), 40)) {
        let mut loaded = Fold::empty();
        let mut index = 0;
        run(&history, |offset, data, _, fate, fold| {
            if reloads[index] {
                loaded = Fold::decode(&loaded.encode()).expect("a state");
            }
            index += 1;
            let other = match loaded.apply(offset, data) {
                swiftlink_log::Step::Fate(fate) => fate,
                other => panic!("not decided: {other:?}"),
            };
            assert_eq!(&other, fate);
            assert_eq!(loaded.encode(), fold.encode());
        });
    }

    #[test]
    fn arbitrary_input_does_not_change_the_configuration(data in vec(any::<u8>(), 0..100), text in ".{0,40}") {
        let mut fold = sample_fold();
        fold.apply(30, &data);
        drop(Fold::decode(&data));
        let mut changes = Vec::new();
        for kind in Kind::ALL {
            changes.push(put(kind.as_str(), &text, 0, &text));
        }
        apply(&mut fold, 31, "text", changes);
        prop_assert_eq!(fold.version(), 10);
    }
}

/// The checker must detect a fold that accepts duplicates or stale changes.
#[test]
fn the_checker_detects_broken_folds() {
    let detects = |broken: fn(&mut wire::ChangeSet, &mut SetFate)| {
        let config = Config {
            failure_persistence: None,
            ..Config::with_cases(256)
        };
        let check = |history: Vec<Entry>| match first_violation(&history, broken) {
            None => Ok(()),
            Some(what) => Err(TestCaseError::fail(what)),
        };
        TestRunner::new(config).run(&history(), check).is_err()
    };
    assert!(!detects(|_, _| {}));
    assert!(detects(|_, fate| fate.verdict = Verdict::Accepted));
    assert!(detects(|set, _| set.id.clear()));
    assert!(detects(|set, _| set.changes[0].base += 1));
    assert!(detects(|_, fate| drop(fate.events.pop())));
}
