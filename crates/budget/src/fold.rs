//! State machine over the records of a budget stream.

use std::sync::Arc;

use prost::Message;
use swiftlink_log::Step;
use swiftlink_types::WallMs;
use swiftlink_wire::log as wire;
use wire::fate::Kind as FateKind;
use wire::record::Kind;

use crate::batch::BatchFate;
use crate::budgets::Budgets;
use crate::fates;
use crate::keys::Keys;
use crate::routers::{RouterId, Routers};
use crate::snapshot;

/// State of a budget stream. The same records in the same order give the same state.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    pub(crate) budgets: Budgets,
    pub(crate) routers: Routers,
    pub(crate) keys: Keys,
    /// Keys created before this time are evicted (ms since 1970).
    pub(crate) evicted_before: WallMs,
}

impl Fold {
    /// Applies the records of a batch in order and returns their fates.
    pub fn decide(&mut self, batch: &wire::Batch) -> BatchFate {
        let mut fates = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            let kind = Some(self.decide_record(record));
            fates.push(wire::Fate { kind });
        }
        BatchFate {
            writer: Arc::from(batch.writer.as_str()),
            epoch: batch.writer_epoch,
            seq: batch.seq,
            fates,
        }
    }

    fn decide_record(&mut self, record: &wire::Record) -> FateKind {
        match &record.kind {
            Some(Kind::TopUp(top_up)) => self.top_up(top_up),
            Some(Kind::Join(join)) => self.join(join),
            Some(Kind::Retire(retire)) => self.retire(retire),
            Some(Kind::Release(release)) => self.release(release),
            Some(Kind::Claim(claim)) => self.claim(claim),
            Some(Kind::GiveBack(give_back)) => self.give_back(give_back),
            Some(Kind::Charges(charges)) => self.charge_all(charges),
            Some(Kind::Intent(intent)) => self.intent(intent),
            Some(Kind::Abandon(abandon)) => self.abandon(abandon),
            Some(Kind::Mark(mark)) => self.mark(mark),
            // A snapshot chunk is valid only as the single record of its batch.
            Some(Kind::Snapshot(_)) | None => fates::malformed(),
        }
    }

    pub(crate) fn find_router(&self, inc: Option<&wire::Incarnation>) -> Option<RouterId> {
        let inc = inc?;
        self.routers.find(&inc.vm, inc.epoch)
    }
}

impl swiftlink_log::Fold for Fold {
    type Fate = BatchFate;

    fn empty() -> Self {
        Self::default()
    }

    fn apply(&mut self, _offset: u64, data: &[u8]) -> Step<BatchFate> {
        let Ok(batch) = wire::Batch::decode(data) else {
            return Step::Malformed;
        };
        match lone_chunk(batch) {
            Ok(chunk) => Step::Snapshot(chunk),
            Err(batch) => Step::Fate(self.decide(&batch)),
        }
    }

    fn encode(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn decode(data: &[u8]) -> anyhow::Result<Self> {
        snapshot::decode(data)
    }

    fn chunk(_offset: u64, data: &[u8]) -> Option<wire::SnapshotChunk> {
        lone_chunk(wire::Batch::decode(data).ok()?).ok()
    }
}

/// Returns the snapshot chunk of a batch that holds nothing else, or else the batch.
fn lone_chunk(mut batch: wire::Batch) -> Result<wire::SnapshotChunk, wire::Batch> {
    let is_chunk = |record: &wire::Record| matches!(record.kind, Some(Kind::Snapshot(_)));
    if batch.records.len() != 1 || !batch.records.first().is_some_and(is_chunk) {
        return Err(batch);
    }
    match batch.records.pop().and_then(|record| record.kind) {
        Some(Kind::Snapshot(chunk)) => Ok(chunk),
        _ => Err(batch),
    }
}
