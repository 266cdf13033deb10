//! Void charges are counted and logged. The test captures the log of the whole process, so
//! this file has only one test.

mod common;

use std::io::{self, Write};
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{
    charge, claim, declare_budget, eventually, join, kind_of, listener, settings,
    spawn_with_metrics,
};
use swiftlink_log::MemLog;
use swiftlink_telemetry::{Metrics, capture};
use swiftlink_wire::log::{ChargeFate, fate, record};

#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl CapturedLog {
    fn lines(&self, word: &str) -> Vec<String> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let found = text.lines().filter(|line| line.contains(word));
        found.map(str::to_owned).collect()
    }
}

impl Write for CapturedLog {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads metrics from the server's socket until the text contains all `words`.
fn read_metrics(server: &UdpSocket, metrics: &Metrics, words: &[&str]) -> String {
    let mut text = String::new();
    let mut packet = [0; 2_048];
    let deadline = std::time::Instant::now() + common::TIMEOUT;
    while !words.iter().all(|word| text.contains(word)) {
        assert!(std::time::Instant::now() < deadline, "never came: {text}");
        metrics.flush();
        let Ok(length) = server.recv(&mut packet) else {
            continue;
        };
        text.push_str(std::str::from_utf8(&packet[..length]).unwrap());
        text.push('\n');
    }
    text
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_charge_of_a_released_router_is_counted_and_logged_as_void() {
    let shown = CapturedLog::default();
    assert!(capture(shown.clone()));
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let wait = Some(Duration::from_millis(10));
    server.set_read_timeout(wait).unwrap();
    let metrics = Metrics::open(Some(server.local_addr().unwrap()), &[]).unwrap();
    let log = Arc::new(MemLog::new());
    let (bound, _) = listener();
    let node = spawn_with_metrics(settings("vm-1", &[]), bound, &log, metrics.clone());
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;
    node.submit_one(join(1)).await;
    node.submit_one(claim(1, 1, 100)).await;
    node.submit_one(join(2)).await;
    node.wait_until("release", |fold| fold.retired().is_empty())
        .await;

    let late = charge(1, 1, 40);
    let key = late.items[0].key.clone();
    let submitted = node
        .submit(vec![record::Kind::Charges(late)], common::TIMEOUT)
        .await
        .unwrap();
    let fate::Kind::Charges(fate) = kind_of(&submitted.fates[0]) else {
        panic!("{submitted:?}");
    };
    assert_eq!(fate.items, [ChargeFate::VoidReleased as i32]);
    eventually("a line", || !shown.lines("event=charge.void").is_empty()).await;
    let lines = shown.lines("event=charge.void");
    let key = swiftlink_types::RequestKey::from_bytes(&key).unwrap();
    let fields = [
        "router=router-vm@1",
        "workspace=w",
        "budget=b1",
        "cost=40",
        "reason=void_released",
        &format!("key={key}"),
    ];
    for field in fields {
        assert!(lines[0].contains(field), "{field}: {lines:?}");
    }
    assert_eq!(lines.len(), 1);
    let counts = [
        "swiftlink.ledger.charges:1|c|#fate:void_released",
        "swiftlink.ledger.void_tokens:40|c",
    ];
    let server = tokio::task::spawn_blocking(move || read_metrics(&server, &metrics, &counts));
    server.await.unwrap();
    node.stop().await;
}
