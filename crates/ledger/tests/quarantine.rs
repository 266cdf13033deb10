//! Rights of routers that are gone: retired, kept, freed. Charges handed over at a stop.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Node, charge, claim, declare, fleet, join, listener, settings, spawn};
use swiftlink_budget::Fold;
use swiftlink_log::{Fault, MemLog};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_waits_for_charges_that_a_peer_holds() {
    let log = Arc::new(MemLog::new());
    let nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    for node in &nodes {
        node.up().await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    nodes[1].log.set_cut(true);
    drop(nodes[1].settle(charge(1, 1, 40)).await);

    nodes[0].one(join(2)).await;
    // Several times the wait before a release.
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    nodes[1].log.set_cut(false);
    nodes[0]
        .until("release", |fold| quarantined(fold) == Some(0))
        .await;
    nodes[0]
        .until("charge", |fold| totals(fold) == Some((40, 960)))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ledger_that_cannot_be_asked_blocks_the_release() {
    let log = Arc::new(MemLog::new());
    let mut nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    nodes[0].up().await;
    nodes[0]
        .until("top-up", |fold| fold.has_top_up("b1", "t1"))
        .await;
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    nodes.pop().unwrap().stop().await;
    nodes[0].one(join(2)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_left_the_list_is_proof_only_where_the_budget_says_so() {
    for (release, freed) in [("listed", true), ("proof", false)] {
        let log = Arc::new(MemLog::new());
        let list = VmList::serve(r#"{"version":1,"vms":[{"name":"vm-1"},{"name":"router-vm"}]}"#);
        let (bound, _) = listener();
        let mut with_list = settings("vm-1", &[]);
        with_list.vms = Some(list.address);
        let node = spawn(with_list, bound, &log);
        node.up().await;
        declare(&log, 1_000, release).await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
        node.one(join(1)).await;
        node.one(claim(1, 1, 100)).await;
        // An empty or older list says nothing.
        list.wait_read().await;
        list.set(r#"{"version":2,"vms":[]}"#);
        list.wait_read().await;
        list.wait_read().await;
        node.until("active", |fold| fold.active().len() == 1).await;

        list.set(r#"{"version":3,"vms":[{"name":"vm-1"}]}"#);
        node.until("retirement", |fold| fold.active().is_empty())
            .await;
        if freed {
            node.until("release", |fold| quarantined(fold) == Some(0))
                .await;
        } else {
            tokio::time::sleep(Duration::from_secs(2)).await;
            node.until("quarantine", |fold| quarantined(fold) == Some(100))
                .await;
        }
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_during_an_outage_hands_charges_to_a_peer() {
    let log = Arc::new(MemLog::new());
    let mut nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    for node in &nodes {
        node.up().await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    log.set_fault(Fault::Outage);
    for serial in 1..=10 {
        drop(nodes[0].settle(charge(1, serial, 4)).await);
    }
    nodes.remove(0).stop().await;
    log.set_fault(Fault::None);
    nodes[0]
        .until("charges", |fold| totals(fold) == Some((40, 900)))
        .await;
    stop_all(nodes).await;
}

fn quarantined(fold: &Fold) -> Option<u64> {
    Some(fold.view("b1")?.quarantined)
}

/// Charged and free tokens.
fn totals(fold: &Fold) -> Option<(u64, u64)> {
    let view = fold.view("b1")?;
    Some((view.charged, view.free))
}

async fn stop_all(nodes: Vec<Node>) {
    for node in nodes {
        node.stop().await;
    }
}

/// A VM list that answers with a fixed body.
struct VmList {
    address: SocketAddr,
    state: Arc<Mutex<(String, u64)>>,
}

impl VmList {
    fn serve(body: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new((body.to_owned(), 0)));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                let mut head = [0; 4096];
                let _read = socket.read(&mut head).unwrap();
                let mut state = shared.lock().unwrap();
                let body = &state.0;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                socket.write_all(answer.as_bytes()).unwrap();
                state.1 += 1;
            }
        });
        Self { address, state }
    }

    fn set(&self, body: &str) {
        self.state.lock().unwrap().0 = body.to_owned();
    }

    async fn wait_read(&self) {
        let before = self.state.lock().unwrap().1;
        common::eventually("a read", || self.state.lock().unwrap().1 > before).await;
    }
}
