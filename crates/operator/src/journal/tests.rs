//! Compares the journal with a plain list of all events.

use std::sync::Arc;

use proptest::prelude::*;
use swiftlink_resource::{Event, Kind, SetFate, Verdict};

use super::{Cursor, Journal};

fn fate(version: u64, events: u8) -> SetFate {
    let mut fate = SetFate {
        id: Arc::from(format!("set-{version}")),
        version,
        verdict: Verdict::Accepted,
        events: Vec::new(),
    };
    for index in 0..events {
        fate.events.push(Event {
            version,
            kind: Kind::Class,
            name: Arc::from(format!("{version}-{index}")),
            deleted: false,
            spec: None,
        });
    }
    fate
}

fn drain(journal: &Journal, cursor: &mut Cursor, max: usize) -> Vec<Event> {
    let mut seen = Vec::new();
    loop {
        let batch = journal.read(cursor, max).expect("kept");
        seen.extend(batch.events);
        if batch.complete_to.is_some() {
            return seen;
        }
    }
}

proptest! {
    #[test]
    fn a_reader_gets_every_later_event_once_or_an_error(
        sets in prop::collection::vec(0_u8..4, 1..40),
        limit in 1_usize..30,
        from in 0_u64..45,
        start in 0_usize..40,
        max in 1_usize..6,
    ) {
        let mut journal = Journal::new(limit);
        let mut all = Vec::new();
        let mut cursor = None;
        let mut seen = Vec::new();
        for (index, events) in sets.iter().enumerate() {
            let fate = fate(index as u64 + 1, *events);
            all.extend(fate.events.clone());
            journal.push(fate);
            if index == start {
                cursor = Some(journal.seek(from));
            }
            if let Some(Ok(cursor)) = &mut cursor {
                // A set may exceed the capacity of the journal; then the read must fail.
                if usize::from(*events) > limit {
                    return Ok(());
                }
                seen.extend(drain(&journal, cursor, max));
            }
        }
        match cursor {
            Some(Ok(_)) => {
                all.retain(|event| event.version > from);
                prop_assert_eq!(seen, all);
            }
            Some(Err(gone)) => {
                // A refused start really is below the floor, and the offered version is accepted.
                prop_assert!(from < gone.oldest);
                prop_assert!(journal.seek(journal.floor()).is_ok());
            }
            None => {}
        }
    }

    #[test]
    fn a_reader_that_falls_behind_gets_an_error(extra in 1_u64..20) {
        let mut journal = Journal::new(5);
        let mut cursor = journal.seek(0).expect("from the beginning");
        for version in 1..=5 + extra {
            journal.push(fate(version, 1));
        }
        prop_assert!(journal.read(&mut cursor, 9).is_err());
    }

    #[test]
    fn a_restart_invalidates_every_cursor(before in 0_u64..9, floor in 9_u64..20) {
        let mut journal = Journal::new(100);
        for version in 1..=before {
            journal.push(fate(version, 1));
        }
        let mut cursor = journal.seek(before).expect("kept");
        journal.restart(floor);
        prop_assert!(journal.read(&mut cursor, 9).is_err());
        prop_assert!(journal.seek(floor - 1).is_err());
        prop_assert!(journal.seek(floor).is_ok());
    }
}
