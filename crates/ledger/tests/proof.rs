//! Proofs that a retired router is gone.

use bytes::Bytes;
use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_ledger::proof::{has_successor, proof_of};
use swiftlink_ledger::release::Proof;
use swiftlink_log::Fold as _;
use swiftlink_resource::Config;
use swiftlink_types::RequestKey;
use swiftlink_wire::log::{
    Batch, Charge, Charges, Claim, Incarnation, Join, Mark, Record, Release, Retire, TopUp, record,
};

const HERE: &str = "127.0.0.1:1";
const ELSEWHERE: &str = "127.0.0.1:2";

/// A budget stream with a top-up, to which records are appended.
struct BudgetStream {
    fold: Fold,
    offset: u64,
}

fn inc(epoch: u64) -> Option<Incarnation> {
    let vm = "vm".to_owned();
    Some(Incarnation { vm, epoch })
}

impl BudgetStream {
    fn new() -> Self {
        let mut stream = Self {
            fold: Fold::empty(),
            offset: 0,
        };
        stream.add(record::Kind::TopUp(TopUp {
            budget: "b".to_owned(),
            id: "t".to_owned(),
            amount: 1_000,
        }));
        stream
    }

    fn add(&mut self, kind: record::Kind) {
        let batch = Batch {
            writer: "test".to_owned(),
            writer_epoch: 1,
            seq: self.offset,
            stamp_ms: 0,
            records: vec![Record { kind: Some(kind) }],
        };
        let data = Bytes::from(batch.encode_to_vec());
        self.fold.apply(self.offset, &data);
        self.offset += 1;
    }

    fn join(&mut self, epoch: u64, address: &str) {
        self.add(record::Kind::Join(Join {
            incarnation: inc(epoch),
            address: address.to_owned(),
            domain: "d".to_owned(),
            floor_ms: 0,
        }));
    }

    fn claim(&mut self, epoch: u64) {
        self.add(record::Kind::Claim(Claim {
            incarnation: inc(epoch),
            budget: "b".to_owned(),
            seq: 1,
            need: 10,
            want: 10,
        }));
    }

    fn retire(&mut self, epoch: u64) {
        let incarnation = inc(epoch);
        self.add(record::Kind::Retire(Retire { incarnation }));
    }

    fn release(&mut self, epoch: u64) {
        let incarnation = inc(epoch);
        self.add(record::Kind::Release(Release { incarnation }));
    }

    /// Proof that the incarnation with epoch 1 is gone.
    fn proof(&self) -> Proof {
        let mut retired = self.fold.retired().into_iter();
        let first = retired.find(|router| router.incarnation.epoch == 1);
        let first = first.expect("it is in quarantine");
        let proof = proof_of(&first, &self.fold, &Config::default(), false);
        let bound = proof == Proof::Successor;
        assert_eq!(has_successor(&first, &self.fold), bound);
        proof
    }
}

/// A stream with a quarantined incarnation of epoch 1.
fn quarantined() -> BudgetStream {
    let mut stream = BudgetStream::new();
    stream.join(1, HERE);
    stream.claim(1);
    stream.retire(1);
    stream
}

#[test]
fn a_successor_that_was_released_at_once_stays_proof() {
    let mut stream = quarantined();
    assert_eq!(stream.proof(), Proof::None);
    stream.join(2, HERE);
    assert_eq!(stream.proof(), Proof::Successor);
    stream.retire(2);
    assert_eq!(stream.proof(), Proof::Successor);
    // The successor held no tokens, so nothing held back its release.
    stream.release(2);
    assert_eq!(stream.proof(), Proof::Successor);
}

#[test]
fn a_released_successor_with_keys_on_record_stays_proof() {
    let mut stream = quarantined();
    stream.join(2, HERE);
    stream.claim(2);
    let key = RequestKey::generate(1_000);
    stream.add(record::Kind::Charges(Charges {
        incarnation: inc(2),
        items: vec![Charge {
            key: key.as_bytes().to_vec(),
            workspace: "w".to_owned(),
            budget: "b".to_owned(),
            tokens: 3,
            cost: 3,
            serial: 1,
        }],
    }));
    stream.retire(2);
    stream.release(2);
    assert_eq!(stream.proof(), Proof::Successor);
    // The successor is dropped with its last key.
    stream.add(record::Kind::Mark(Mark {
        incarnation: inc(1),
        floor_ms: 2_000,
    }));
    assert_eq!(stream.proof(), Proof::Successor);
}

#[test]
fn another_address_or_an_older_incarnation_is_no_proof() {
    let mut stream = quarantined();
    stream.join(2, ELSEWHERE);
    stream.retire(2);
    stream.release(2);
    assert_eq!(stream.proof(), Proof::None);
    // A late copy of an older incarnation's join.
    stream.join(0, HERE);
    assert_eq!(stream.proof(), Proof::None);
}
