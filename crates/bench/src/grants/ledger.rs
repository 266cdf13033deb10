//! A ledger of one budget: group commits into the real budget fold.

use swiftlink_budget::Fold;
use swiftlink_types::{Micros, RequestKey, Tokens};
use swiftlink_wire::log as wire;
use wire::record::Kind;

use super::setup::Arrival;

/// Name of the budget.
const BUDGET: &str = "budget";
/// Epoch of all holders.
const EPOCH: u64 = 1;

/// The fold of the budget's stream, and the records queued for the next append.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    fold: Fold,
    pending: Vec<(usize, Kind)>,
    serials: Vec<u64>,
    returned: Vec<Tokens>,
    seq: u64,
    /// Number of appends.
    pub(crate) appends: u64,
    /// Number of claims and returns in the appended records.
    pub(crate) transfers: u64,
    /// Charges that the fold did not apply.
    pub(crate) void_charges: u64,
}

/// The ledger's reply to a holder's record.
#[derive(Debug)]
pub(crate) enum LedgerReply {
    /// The decision on its claim.
    Claim(wire::ClaimFate),
    /// Its return was decided.
    Returned,
}

impl Ledger {
    /// Creates a ledger that `holders` holders have joined.
    pub(crate) fn new(holders: usize) -> Self {
        let mut ledger = Self {
            serials: vec![0; holders],
            returned: vec![0; holders],
            ..Self::default()
        };
        for holder in 0..holders {
            let join = Kind::Join(wire::Join {
                incarnation: Some(incarnation(holder)),
                address: format!("10.0.0.1:{holder}"),
                domain: "domain".to_owned(),
                floor_ms: 0,
            });
            ledger.pending.push((holder, join));
        }
        ledger.commit();
        ledger.appends = 0;
        ledger
    }

    /// Whether records are queued for an append.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tokens topped up, according to the fold.
    pub(crate) fn topped_up(&self) -> Tokens {
        self.fold.view(BUDGET).map_or(0, |view| view.topped_up)
    }

    /// Queues a top-up.
    pub(crate) fn top_up(&mut self, id: usize, amount: Tokens) {
        let record = wire::TopUp {
            budget: BUDGET.to_owned(),
            id: id.to_string(),
            amount,
        };
        self.pending.push((0, Kind::TopUp(record)));
    }

    /// Queues a claim.
    pub(crate) fn claim(&mut self, holder: usize, seq: u64, need: Tokens, want: Tokens) {
        let record = wire::Claim {
            incarnation: Some(incarnation(holder)),
            budget: BUDGET.to_owned(),
            seq,
            need,
            want,
        };
        self.pending.push((holder, Kind::Claim(record)));
    }

    /// Queues a return of `amount`.
    pub(crate) fn give_back(&mut self, holder: usize, amount: Tokens) {
        self.returned[holder] += amount;
        let record = wire::Return {
            incarnation: Some(incarnation(holder)),
            budget: BUDGET.to_owned(),
            total: self.returned[holder],
        };
        self.pending.push((holder, Kind::GiveBack(record)));
    }

    /// Queues the charge of a request that `holder` ran.
    pub(crate) fn charge(&mut self, holder: usize, number: usize, arrival: &Arrival, now: Micros) {
        self.serials[holder] += 1;
        let item = wire::Charge {
            key: key(number, now),
            workspace: "workspace".to_owned(),
            budget: BUDGET.to_owned(),
            tokens: arrival.spend,
            cost: arrival.spend,
            serial: self.serials[holder],
        };
        let record = wire::Charges {
            incarnation: Some(incarnation(holder)),
            items: vec![item],
        };
        self.pending.push((holder, Kind::Charges(record)));
    }

    /// Appends and folds all queued records; returns the replies by holder.
    pub(crate) fn commit(&mut self) -> Vec<(usize, LedgerReply)> {
        self.seq += 1;
        self.appends += 1;
        let pending = std::mem::take(&mut self.pending);
        let holders: Vec<usize> = pending.iter().map(|(holder, _)| *holder).collect();
        let records = pending
            .into_iter()
            .map(|(_, kind)| wire::Record { kind: Some(kind) })
            .collect();
        let batch = wire::Batch {
            writer: "ledger".to_owned(),
            writer_epoch: EPOCH,
            seq: self.seq,
            stamp_ms: 0,
            records,
        };
        let fates = self.fold.decide(&batch).fates;
        let mut replies = Vec::new();
        for ((holder, record), fate) in holders.into_iter().zip(&batch.records).zip(fates) {
            match (&record.kind, fate.kind) {
                (Some(Kind::Claim(_)), Some(wire::fate::Kind::Claim(fate))) => {
                    self.transfers += 1;
                    replies.push((holder, LedgerReply::Claim(fate)));
                }
                (Some(Kind::GiveBack(_)), _) => {
                    self.transfers += 1;
                    replies.push((holder, LedgerReply::Returned));
                }
                (Some(Kind::Charges(_)), Some(wire::fate::Kind::Charges(fate))) => {
                    let counted = wire::ChargeFate::Charged as i32;
                    let void_charges = fate.items.iter().filter(|item| **item != counted);
                    self.void_charges += void_charges.count() as u64;
                }
                _ => {}
            }
        }
        replies
    }
}

/// Returns the holder that an incarnation names.
pub(crate) fn holder_of(incarnation: &wire::Incarnation) -> Option<usize> {
    incarnation.vm.strip_prefix("vm-")?.parse().ok()
}

fn incarnation(holder: usize) -> wire::Incarnation {
    wire::Incarnation {
        vm: format!("vm-{holder}"),
        epoch: EPOCH,
    }
}

/// Builds a UUIDv7 from the time and the request number.
fn key(number: usize, now: Micros) -> Vec<u8> {
    let mut bytes = *RequestKey::generate(now / 1_000 + 1).as_bytes();
    bytes[8] = 0x80;
    bytes[9..].copy_from_slice(&(number as u64).to_be_bytes()[1..]);
    bytes.to_vec()
}
