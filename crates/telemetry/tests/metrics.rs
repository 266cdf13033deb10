//! Metrics as a StatsD server receives them.

use std::net::UdpSocket;
use std::time::Duration;

use swiftlink_telemetry::Metrics;

#[test]
fn metrics_carry_name_value_and_tags() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_millis(10)))
        .unwrap();
    let address = server.local_addr().unwrap();
    let metrics = Metrics::open(Some(address), &[("vm", "vm-1")]).unwrap();

    metrics.count("requests", 3);
    metrics.gauge_with("queue", 7, &[("class", "gold")]);
    metrics.time_us("answer", 12_345);

    let mut text = String::new();
    let mut packet = [0; 2_048];
    while !text.contains("answer") {
        metrics.flush();
        let Ok(length) = server.recv(&mut packet) else {
            continue;
        };
        text.push_str(std::str::from_utf8(&packet[..length]).unwrap());
    }
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "swiftlink.requests:3|c|#vm:vm-1",
            "swiftlink.queue:7|g|#vm:vm-1,class:gold",
            "swiftlink.answer:12|ms|#vm:vm-1",
        ]
    );
}

#[test]
fn metrics_without_a_server_are_dropped() {
    let metrics = Metrics::open(None, &[]).unwrap();
    metrics.count("requests", 1);
    metrics.flush();
}
