//! Pools that get more requests than they serve, in a model without network.
//!
//! The load is that of 700 requests per second from 24 workspaces at 140 engines; the pool serves
//! 1,160. In a threefold burst of the least urgent priority, about 8 in 100 requests more arrive
//! than it serves. Guards against routers that let all priorities be late together.

mod model;

use model::{CAPACITY, Counts, Load, Outcome, Rule, Stream, play};
use swiftlink_types::WorkspaceName;

/// Fraction of the capacity that is used outside of bursts.
const ORDINARY: f64 = 0.6;

/// Eight workspaces of each priority at `load` of the capacity; the least urgent ones send `burst`
/// times as much in the burst.
fn streams(load: f64, burst: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for (priority, share) in [(0, 0.2), (1, 0.4), (2, 0.4)] {
        for number in 0..8 {
            streams.push(Stream {
                priority,
                workspace: WorkspaceName::from(format!("w{priority}{number}")),
                rate: load * CAPACITY * share / 8.0,
                burst: if priority == 2 { burst } else { 1.0 },
            });
        }
    }
    streams
}

fn play_burst(routers: usize, rule: Rule) -> Outcome {
    let outcome = play(&Load {
        routers,
        rule,
        streams: streams(ORDINARY, 3.0),
        seed: 7,
    });
    show(&format!("burst, {routers} routers, {rule:?}"), &outcome);
    outcome
}

fn show(name: &str, outcome: &Outcome) {
    let [most, middle, least] = [0, 1, 2].map(|priority| share(outcome, priority));
    let all = sum(outcome);
    println!(
        "{name}: in time {most:.3} {middle:.3} {least:.3}, all {:.3}; refused {}, given up {}, \
         returned {}, of them admitted at once {}; refused outside of the burst {}, changes of \
         the level {}",
        all.share(),
        all.refused,
        all.lost,
        all.returned,
        all.returned_at_once,
        outcome.refused_outside,
        outcome.changes,
    );
}

fn share(outcome: &Outcome, priority: u8) -> f64 {
    outcome.classes[&priority].share()
}

fn sum(outcome: &Outcome) -> Counts {
    let mut sum = Counts::default();
    for counts in outcome.classes.values() {
        sum.sent += counts.sent;
        sum.in_time += counts.in_time;
        sum.refused += counts.refused;
        sum.lost += counts.lost;
        sum.returned += counts.returned;
        sum.returned_at_once += counts.returned_at_once;
    }
    sum
}

fn check_burst(routers: usize, most: f64) {
    let today = play_burst(routers, Rule::Today);
    let outcome = play_burst(routers, Rule::Summaries);
    assert!(share(&outcome, 0) >= most, "{}", share(&outcome, 0));
    assert!(share(&outcome, 1) >= 0.90, "{}", share(&outcome, 1));
    let all = sum(&outcome);
    assert!(
        all.share() >= sum(&today).share().max(0.72),
        "{}",
        all.share()
    );
    let at_once = f64::from(all.returned_at_once) / f64::from(all.returned);
    assert!(at_once >= 0.95, "{at_once}");
    assert_eq!(outcome.refused_outside, 0);
    // Up and down, and once more where the burst is tried again while it lasts.
    assert!(outcome.changes <= 4, "{} changes", outcome.changes);
}

#[test]
fn a_burst_of_the_least_urgent_leaves_the_others_in_time_with_three_routers() {
    check_burst(3, 0.95);
}

#[test]
fn a_burst_of_the_least_urgent_leaves_the_others_in_time_with_eighty_routers() {
    check_burst(80, 0.95);
}

/// Routers of a fleet of 300 get a summary in three seconds, so the burst reaches the most urgent
/// requests for longer.
#[test]
fn a_burst_of_the_least_urgent_leaves_most_others_in_time_with_300_routers() {
    check_burst(300, 0.75);
}

/// Guards against a level that holds only as long as summaries arrive: without them, each router
/// decides on its own, and no priority is worse off than under the rule without a level.
#[test]
fn a_burst_does_no_more_harm_without_summaries() {
    let today = play_burst(80, Rule::Today);
    for rule in [Rule::Alone, Rule::Stopping] {
        let outcome = play_burst(80, rule);
        for priority in [0, 1] {
            assert!(share(&outcome, priority) >= share(&today, priority));
        }
        assert!(sum(&outcome).share() >= sum(&today).share());
    }
    let today = play_burst(300, Rule::Today);
    let alone = play_burst(300, Rule::Alone);
    for priority in [0, 1] {
        assert!(share(&alone, priority) >= share(&today, priority) - 0.01);
    }
}

/// An ordinary load, and one at which a pool is used well, refuse nobody.
#[test]
fn nobody_is_refused_without_an_overload() {
    for (load, routers) in [(ORDINARY, 3), (ORDINARY, 80), (0.8, 80), (0.8, 300)] {
        for rule in [Rule::Summaries, Rule::Alone] {
            let outcome = play(&Load {
                routers,
                rule,
                streams: streams(load, 1.0),
                seed: 11,
            });
            show(
                &format!("load {load}, {routers} routers, {rule:?}"),
                &outcome,
            );
            assert_eq!(sum(&outcome).refused + outcome.refused_outside, 0);
        }
    }
}

/// One workspace of the least urgent priority sends seven times its usual. Guards against shares
/// by who sends most, which take from those that send no more than before.
#[test]
fn a_workspace_that_sends_seven_times_its_usual_pays_for_it_alone() {
    let mut streams = streams(0.75, 1.0);
    let greedy = WorkspaceName::from("w20");
    for stream in &mut streams {
        if stream.workspace == greedy {
            stream.rate *= 1.5;
            stream.burst = 7.0;
        }
    }
    for rule in [Rule::Today, Rule::Summaries] {
        let outcome = play(&Load {
            routers: 80,
            rule,
            streams: streams.clone(),
            seed: 5,
        });
        show(&format!("seven times, {rule:?}"), &outcome);
        let mut others = Counts::default();
        for (workspace, counts) in &outcome.workspaces {
            let is_least_urgent = workspace.as_str().starts_with("w2");
            if is_least_urgent && *workspace != greedy {
                others.sent += counts.sent;
                others.refused += counts.refused;
                others.lost += counts.lost;
                others.in_time += counts.in_time;
            }
        }
        let own = outcome.workspaces[&greedy];
        println!("  others {others:?}\n  greedy {own:?}");
        if rule == Rule::Summaries {
            assert!(f64::from(others.refused) <= 0.02 * f64::from(others.sent));
            assert!(own.refused > 0, "the overload is certain");
        }
    }
}
