//! Which software version began a stream, and what routers know of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use swiftlink_gateway::origins::{
    Knowledge, MIN_LIFETIME, Origin, OriginTable, StreamKey, VersionHistory, lifetime,
};
use swiftlink_gateway::peers::record_ranking;
use swiftlink_types::{DomainName, PoolName, VersionName, VmName};

const HOUR_MS: u64 = 3_600_000;

pub(crate) fn version(name: &str) -> VersionName {
    VersionName::from(name)
}

pub(crate) fn origin(name: &str, now: u64) -> Origin {
    Origin {
        pool: PoolName::from("pool"),
        version: version(name),
        begun: now,
        expires: now + 60_000,
    }
}

pub(crate) fn key(workspace: &str, number: usize) -> StreamKey {
    StreamKey::new(workspace, format!("id-{number}").as_bytes())
}

/// Guards against ids of one workspace that displace, or stand for, the streams of another one.
#[test]
fn a_workspace_neither_displaces_nor_learns_the_streams_of_others() {
    let mut table = OriginTable::default();
    for number in 0..100 {
        table.insert(key("small", number), origin("v1", 0), 0);
    }
    for number in 0..200_000 {
        table.insert(key("large", number), origin("v2", 1), 1);
    }
    assert!(table.len() <= 65_536, "{}", table.len());
    for number in 0..100 {
        let known = table.get(&key("small", number), 2);
        assert_eq!(known, Knowledge::Known(origin("v1", 0)));
    }
    assert_eq!(table.get(&key("large", 0), 2), Knowledge::Unknown);
    let newest = table.get(&key("large", 199_999), 2);
    assert_eq!(newest, Knowledge::Known(origin("v2", 1)));
    assert_eq!(table.get(&key("other", 0), 2), Knowledge::Unknown);
}

/// Guards against many workspaces that together fill the memory.
#[test]
fn the_number_of_streams_is_bounded_over_all_workspaces() {
    let mut table = OriginTable::default();
    for workspace in 0..100 {
        for number in 0..1_000 {
            let name = format!("w{workspace}");
            table.insert(
                key(&name, number),
                origin("v1", number as u64),
                number as u64,
            );
        }
    }
    assert!(table.len() <= 65_536, "{}", table.len());
    let newest = table.get(&key("w99", 999), 1_000);
    assert!(matches!(newest, Knowledge::Known(_)));
}

#[test]
fn an_origin_is_forgotten_when_its_caller_cannot_resume_it_any_more() {
    let mut table = OriginTable::default();
    table.insert(key("w", 1), origin("v1", 0), 0);
    assert!(matches!(
        table.get(&key("w", 1), 59_999),
        Knowledge::Known(_)
    ));
    assert_eq!(table.get(&key("w", 1), 60_000), Knowledge::Unknown);
    table.insert(key("w", 2), origin("v1", 100_000), 100_000);
    assert_eq!(table.len(), 1);
    assert_eq!(lifetime(Duration::from_secs(1), None), MIN_LIFETIME);
    let long = Duration::from_secs(90);
    assert_eq!(lifetime(Duration::from_secs(1), Some(long)), long);
}

/// Guards against a repeated id by which a stream goes on at the version of another one.
#[test]
fn streams_of_two_versions_with_one_id_are_ambiguous() {
    let mut table = OriginTable::default();
    table.insert(key("w", 1), origin("v1", 0), 0);
    table.insert(key("w", 1), origin("v1", 5), 5);
    assert!(matches!(table.get(&key("w", 1), 6), Knowledge::Known(_)));
    table.insert(key("w", 1), origin("v2", 7), 7);
    assert_eq!(table.get(&key("w", 1), 8), Knowledge::Ambiguous);
    assert_eq!(table.all(8).count(), 0);
}

#[test]
fn a_version_counts_until_its_streams_cannot_be_resumed() {
    let mut history = VersionHistory::default();
    let (one, two) = (version("v1"), version("v2"));
    assert!(!history.set([], 0));
    assert_eq!(history.known_for(500), Duration::ZERO);
    assert!(history.set([one.clone(), one.clone()], 1_000));
    assert!(!history.set([one.clone()], 2_000));
    assert!(history.set([two.clone(), one.clone()], 3_000));
    assert!(!history.set([two.clone()], 4_000));
    let within = |time| history.within(Duration::from_millis(time), 10_000);
    assert_eq!(within(6_000), [two.clone(), one]);
    assert_eq!(within(5_999), [two]);
    assert_eq!(history.known_for(10_000), Duration::from_secs(9));
}

/// Failure domain of the router with this number.
pub(crate) fn domain(number: usize) -> DomainName {
    DomainName::from(format!("d{}", number % 4))
}

/// What a fleet of `count` routers knows of `streams` streams after a part of it is lost.
fn unknown_share(count: usize, lost: f64, streams: usize) -> (f64, f64) {
    let members: Vec<(VmName, DomainName)> = (0..count)
        .map(|number| (VmName::from(format!("vm-{number}")), domain(number)))
        .collect();
    let hash = |number: usize, salt: u64| {
        let bytes = (number as u64).to_le_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, salt)
    };
    let mut ranked: Vec<usize> = (0..count).collect();
    ranked.sort_by_key(|number| hash(*number, 99));
    let ended = (count as f64 * lost).round() as usize;
    let ended: HashSet<&VmName> = ranked[..ended]
        .iter()
        .map(|number| &members[*number].0)
        .collect();
    let mut unknown = 0;
    let mut received: HashMap<VmName, usize> = HashMap::new();
    for number in 0..streams {
        let key = key("w", number);
        let ranking = record_ranking(members.clone(), &key);
        let first = &members[hash(number, 1) as usize % count].0;
        let recorders = ranking.iter().filter(|vm| *vm != first).take(3);
        let mut holders: Vec<&VmName> = recorders.collect();
        for vm in &holders {
            *received.entry((*vm).clone()).or_default() += 1;
        }
        holders.push(first);
        holders.retain(|vm| !ended.contains(*vm));
        let alive: Vec<&VmName> = members
            .iter()
            .map(|(vm, _)| vm)
            .filter(|vm| !ended.contains(*vm))
            .collect();
        let Some(asker) = alive.get(hash(number, 2) as usize % alive.len().max(1)) else {
            unknown += 1;
            continue;
        };
        let asked = ranking.iter().filter(|vm| vm != asker).take(4);
        let known = asked.chain([*asker]).any(|vm| holders.contains(&vm));
        unknown += usize::from(!known);
    }
    let busiest = received.values().copied().max().unwrap_or(0);
    (
        unknown as f64 / streams as f64,
        busiest as f64 / streams as f64,
    )
}

/// Guards against a number of copies that a lost rack takes with it, at any size of the fleet.
#[test]
fn few_streams_are_unknown_after_a_tenth_of_any_fleet_is_lost() {
    const STREAMS: usize = 1_000;
    for count in [7, 75, 300, 985] {
        let shares = [0.01, 0.1, 1.0].map(|lost| unknown_share(count, lost, STREAMS).0);
        let busiest = unknown_share(count, 0.0, STREAMS).1;
        println!("{count} routers: unknown {shares:?}, busiest recorder {busiest:.3} of streams");
        assert_eq!(shares[0], 0.0, "{count} routers, one in a hundred lost");
        assert!(
            shares[1] <= 0.01,
            "{count} routers, a tenth lost: {shares:?}"
        );
        assert_eq!(shares[2], 1.0);
    }
}

/// Guards against a version history that grows for as long as the router runs.
#[test]
fn versions_that_left_long_ago_are_forgotten() {
    let mut history = VersionHistory::default();
    for number in 0..100 {
        let now = number * HOUR_MS;
        history.set([version(&format!("v{number}"))], now);
        history.prune(MIN_LIFETIME, now);
    }
    let all = history.within(Duration::from_secs(1_000_000), 100 * HOUR_MS);
    assert!(all.len() <= 2, "{all:?}");
}
