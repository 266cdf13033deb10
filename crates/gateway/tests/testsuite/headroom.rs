//! When a router's link is full, and what that does for callers who all come to one router.

use http::HeaderMap;
use http::header::{CONTENT_TYPE, HOST};
use swiftlink_gateway::headroom::{Headroom, SAMPLE, Traffic, head_bytes};

/// Bytes a second of the link.
const RATE: u64 = 2_500_000;
/// Looks in a second.
const LOOKS: usize = 10;

/// Bytes of one look's time at this part of the link.
fn part(used: f64) -> u64 {
    (RATE as f64 * SAMPLE.as_secs_f64() * used) as u64
}

/// Looks at a link that is used like this, for so many looks.
fn look(headroom: &mut Headroom, used: f64, looks: usize) {
    for _ in 0..looks {
        headroom.record(part(used));
    }
}

#[test]
fn a_link_in_ordinary_use_has_room() {
    let mut headroom = Headroom::new(RATE);
    for used in [0.2, 0.6, 0.1, 0.65] {
        look(&mut headroom, used, LOOKS);
        assert!(!headroom.is_full(), "{used}");
        assert!(!headroom.is_overloaded(), "{used}");
    }
}

#[test]
fn a_full_link_has_room_again_only_well_below_its_limit() {
    let mut headroom = Headroom::new(RATE);
    look(&mut headroom, 0.72, LOOKS);
    assert!(headroom.is_full());
    look(&mut headroom, 0.6, 3 * LOOKS);
    assert!(headroom.is_full(), "callers would come back and fill it");
    look(&mut headroom, 0.4, LOOKS);
    assert!(!headroom.is_full());
}

#[test]
fn a_jump_is_noticed_before_the_balancer_asks_again() {
    let mut headroom = Headroom::new(RATE);
    look(&mut headroom, 0.5, LOOKS);
    look(&mut headroom, 1.0, 3);
    assert!(headroom.is_overloaded(), "connections are refused first");
    assert!(!headroom.is_full());
    look(&mut headroom, 1.0, 2);
    assert!(headroom.is_full());
}

#[test]
fn one_full_look_is_no_reason_to_refuse() {
    let mut headroom = Headroom::new(RATE);
    look(&mut headroom, 0.5, LOOKS);
    assert!(!headroom.record(part(1.0)));
}

#[test]
fn a_head_counts_its_names_and_values() {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, "a.example".parse().expect("a value"));
    headers.insert(CONTENT_TYPE, "text/plain".parse().expect("a value"));
    assert_eq!(
        head_bytes(&headers),
        "host: a.example\r\ncontent-type: text/plain\r\n".len()
    );
}

#[test]
fn the_busier_direction_counts() {
    let traffic = Traffic::default();
    traffic.received(1_000);
    traffic.sent(400);
    traffic.relayed(50);
    assert_eq!(traffic.take(), 1_050);
    assert_eq!(traffic.take(), 0);
}

/// Bytes of a request with its body.
const BYTES: f64 = 5_000.0;
/// Part of the open connections whose callers end them within a look's time.
const ENDED: f64 = 0.05;
/// Seconds of waiting bytes from which on callers have given up when they are answered.
const PATIENCE: f64 = 0.3;
/// Steps between two questions of the balancer.
const ASK: usize = 10;

/// A router behind the balancer.
struct Vm {
    headroom: Headroom,
    /// Requests a second on open connections.
    rate: f64,
    /// Bytes that wait on the link.
    waiting: f64,
    misses: u32,
}

/// Routers of a failure domain. All callers of one workspace get the first one in rotation.
struct Domain {
    vms: Vec<Vm>,
    tells: bool,
    asked: f64,
    lost: f64,
}

impl Domain {
    fn new(tells: bool) -> Self {
        let vms = (0..6).map(|_| Vm {
            headroom: Headroom::new(RATE),
            rate: 0.0,
            waiting: 0.0,
            misses: 0,
        });
        Self {
            vms: vms.collect(),
            tells,
            asked: 0.0,
            lost: 0.0,
        }
    }

    fn step(&mut self, number: usize, demand: f64) {
        let time = SAMPLE.as_secs_f64();
        let most = RATE as f64 * time;
        if number.is_multiple_of(ASK) {
            for vm in &mut self.vms {
                let is_ready = !(self.tells && vm.headroom.is_full());
                vm.misses = if is_ready { 0 } else { vm.misses + 1 };
            }
        }
        self.asked += demand * time;
        for vm in &mut self.vms {
            vm.rate *= 1.0 - ENDED;
        }
        let kept: f64 = self.vms.iter().map(|vm| vm.rate).sum();
        let fresh = (demand - kept).max(0.0);
        for vm in &mut self.vms {
            vm.rate *= (demand / kept.max(1.0)).min(1.0);
        }
        let target = self.vms.iter().position(|vm| vm.misses < 2).unwrap_or(0);
        let vm = &mut self.vms[target];
        if self.tells && vm.headroom.is_overloaded() {
            self.lost += fresh * time;
        } else {
            vm.rate += fresh;
        }
        for vm in &mut self.vms {
            vm.waiting += vm.rate * BYTES * time;
            let carried = vm.waiting.min(most);
            vm.waiting -= carried;
            vm.headroom.record(carried as u64);
            if vm.waiting > PATIENCE * RATE as f64 {
                // Nobody waits for these answers any more, and half of the callers connect anew.
                self.lost += vm.rate * time;
                vm.rate /= 2.0;
                vm.waiting = PATIENCE * RATE as f64;
            }
        }
    }
}

/// Part of the requests that were lost: half of a link for ten seconds, then twice of it for ten.
fn lost(tells: bool) -> f64 {
    let mut domain = Domain::new(tells);
    for number in 0..10 * LOOKS {
        domain.step(number, 250.0);
    }
    assert!(domain.lost < 1.0, "half of a link is no reason to lose any");
    domain.asked = 0.0;
    for number in 0..10 * LOOKS {
        domain.step(number, 1_000.0);
    }
    domain.lost / domain.asked
}

/// Pattern: a workspace with half of a failure domain's callers, who the balancer sends to one
/// router, sends four times its usual. One link carries half of that. A router that says nothing
/// loses most of it for as long as it lasts; one that says so shares it with the next ones.
#[test]
fn a_hot_workspace_spreads_over_the_links_that_it_needs() {
    let (silent, told) = (lost(false), lost(true));
    assert!(silent > 0.6, "{silent}");
    assert!(told < silent / 2.0, "{told} of {silent}");
}
