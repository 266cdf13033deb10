//! A threefold burst of the least urgent priority, in a model without network.

mod model;

use model::{Counts, Load, Outcome, Rule, Stream, play};
use swiftlink_types::WorkspaceName;

/// 24 workspaces, 8 of each priority, at 0.68 of the capacity.
fn streams(burst: f64) -> Vec<Stream> {
    let load: f64 = std::env::var("LOAD").map_or(0.68, |x| x.parse().unwrap());
    let burst: f64 = std::env::var("BURST").map_or(burst, |x| x.parse().unwrap());
    let mut streams = Vec::new();
    for (priority, share) in [(0, 0.2), (1, 0.4), (2, 0.4)] {
        for number in 0..8 {
            streams.push(Stream {
                priority,
                workspace: WorkspaceName::from(format!("w{priority}{number}")),
                rate: load * model::CAPACITY * share / 8.0,
                burst: if priority == 2 { burst } else { 1.0 },
            });
        }
    }
    streams
}

fn share(outcome: &Outcome, priority: u8) -> f64 {
    outcome.classes[&priority].share()
}

fn total(outcome: &Outcome) -> f64 {
    let sum = |of: fn(&Counts) -> u32| -> u32 { outcome.classes.values().map(of).sum() };
    f64::from(sum(|counts| counts.in_time)) / f64::from(sum(|counts| counts.sent))
}

#[test]
fn show() {
    let only: Option<usize> = std::env::var("ONLY").ok().map(|x| x.parse().unwrap());
    for routers in [3, 80, 300] {
        if only.is_some_and(|only| only != routers) {
            continue;
        }
        for rule in [Rule::Today, Rule::Summaries, Rule::Alone, Rule::Stopping] {
            if only.is_some() && rule != Rule::Summaries {
                continue;
            }
            let load = Load {
                routers,
                rule,
                streams: streams(3.0),
                seed: 1,
            };
            let outcome = play(&load);
            let c = &outcome.classes;
            let ret: u32 = c.values().map(|c| c.returned).sum();
            let ok: u32 = c.values().map(|c| c.returned_at_once).sum();
            let refused: u32 = c.values().map(|c| c.refused).sum();
            let lost: u32 = c.values().map(|c| c.lost).sum();
            println!(
                "{routers} {rule:?}: {:.3} {:.3} {:.3} all {:.3} refused {refused} lost {lost} returned {ret} at once {ok} outside {} changes {}",
                share(&outcome, 0),
                share(&outcome, 1),
                share(&outcome, 2),
                total(&outcome),
                outcome.refused_outside,
                outcome.changes
            );
        }
    }
}
