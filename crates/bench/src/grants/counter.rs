//! The global counter: an ideal limiter that sees every request of the budget at once.

use swiftlink_types::{Micros, Tokens};

use super::setup::{Arrival, Counted, Setup, Window};
use crate::agenda::Agenda;
use crate::draw::SEC;

/// Time after the last request admitted by the counter that is still counted.
const COUNT_MARGIN: Micros = 10 * SEC;

/// Result of the global counter for the demand.
#[derive(Debug)]
pub(crate) struct Counter {
    /// Whether it admitted each request.
    pub(crate) admitted: Vec<bool>,
    /// The part of the run that is counted.
    pub(crate) counted: Window,
}

enum Event {
    TopUp(Tokens),
    Arrive(usize),
    End(usize),
}

/// Runs the global counter over the demand.
pub(crate) fn count(setup: &Setup, arrivals: &[Arrival]) -> Counter {
    let mut agenda = Agenda::new();
    for (at, amount) in &setup.top_ups {
        agenda.schedule(*at, Event::TopUp(*amount));
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        agenda.schedule(arrival.at, Event::Arrive(index));
    }
    let mut admitted = vec![false; arrivals.len()];
    let (mut paid, mut spent, mut reserved) = (0, 0, 0);
    let mut from = None;
    let mut last = 0;
    while let Some((now, event)) = agenda.pop() {
        match event {
            Event::TopUp(amount) => paid += amount,
            Event::Arrive(index) => {
                let arrival = arrivals[index];
                if spent + reserved + arrival.cost > paid {
                    continue;
                }
                reserved += arrival.cost;
                admitted[index] = true;
                last = now;
                agenda.schedule(now + arrival.time, Event::End(index));
            }
            Event::End(index) => {
                reserved -= arrivals[index].cost;
                spent += arrivals[index].spend;
            }
        }
        if let Counted::Tail(share) = setup.counted
            && from.is_none()
            && ((paid - spent) as f64) < paid as f64 * share
        {
            from = Some(now);
        }
    }
    let counted = match setup.counted {
        Counted::All => Window {
            from: 0,
            until: setup.length,
        },
        Counted::Tail(_) => Window {
            from: from.unwrap_or(0),
            until: last + COUNT_MARGIN,
        },
    };
    Counter { admitted, counted }
}
