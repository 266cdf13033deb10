//! What proves that a retired router is gone.

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

/// A budget stream to which records are appended.
struct World {
    fold: Fold,
    offset: u64,
}

fn inc(epoch: u64) -> Option<Incarnation> {
    let vm = "vm".to_owned();
    Some(Incarnation { vm, epoch })
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            fold: Fold::empty(),
            offset: 0,
        };
        world.add(record::Kind::TopUp(TopUp {
            budget: "b".to_owned(),
            id: "t".to_owned(),
            amount: 1_000,
        }));
        world
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

    /// What proves that the first incarnation is gone.
    fn proof(&self) -> Proof {
        let mut retired = self.fold.retired().into_iter();
        let first = retired.find(|router| router.incarnation.epoch == 1);
        let first = first.expect("it is in quarantine");
        let proof = proof_of(&first, &self.fold, &Config::default(), false);
        let bound = proof == Proof::Bound;
        assert_eq!(has_successor(&first, &self.fold), bound);
        proof
    }
}

/// An incarnation in quarantine.
fn quarantined() -> World {
    let mut world = World::new();
    world.join(1, HERE);
    world.claim(1);
    world.retire(1);
    world
}

#[test]
fn a_successor_that_was_released_at_once_stays_proof() {
    let mut world = quarantined();
    assert_eq!(world.proof(), Proof::None);
    world.join(2, HERE);
    assert_eq!(world.proof(), Proof::Bound);
    world.retire(2);
    assert_eq!(world.proof(), Proof::Bound);
    // It held nothing, so nothing held back its release.
    world.release(2);
    assert_eq!(world.proof(), Proof::Bound);
}

#[test]
fn a_released_successor_of_which_keys_are_known_stays_proof() {
    let mut world = quarantined();
    world.join(2, HERE);
    world.claim(2);
    let key = RequestKey::generate(1_000);
    world.add(record::Kind::Charges(Charges {
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
    world.retire(2);
    world.release(2);
    assert_eq!(world.proof(), Proof::Bound);
    // Its keys are forgotten, and it with them.
    world.add(record::Kind::Mark(Mark {
        incarnation: inc(1),
        floor_ms: 2_000,
    }));
    assert_eq!(world.proof(), Proof::Bound);
}

#[test]
fn who_bound_another_address_or_came_before_proves_nothing() {
    let mut world = quarantined();
    world.join(2, ELSEWHERE);
    world.retire(2);
    world.release(2);
    assert_eq!(world.proof(), Proof::None);
    // A late copy of an older start's join.
    world.join(0, HERE);
    assert_eq!(world.proof(), Proof::None);
}
