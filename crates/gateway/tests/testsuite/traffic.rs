//! Traffic over the VM's link.

use http::HeaderMap;
use http::header::{CONTENT_TYPE, HOST};
use swiftlink_gateway::traffic::{Traffic, head_bytes};
use swiftlink_shell::web::MeteredBytes;

#[test]
fn head_bytes_counts_names_and_values() {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, "a.example".parse().expect("a value"));
    headers.insert(CONTENT_TYPE, "text/plain".parse().expect("a value"));
    assert_eq!(
        head_bytes(&headers),
        "host: a.example\r\ncontent-type: text/plain\r\n".len()
    );
}

/// What callers send counts whether or not it reaches a server.
#[test]
fn traffic_returns_the_busier_direction() {
    let traffic = Traffic::default();
    let callers = |received, sent| MeteredBytes { received, sent };
    traffic.sent(400);
    traffic.received(50);
    assert_eq!(traffic.take(callers(1_000, 50)), 1_050);
    assert_eq!(traffic.take(callers(0, 0)), 0);
    traffic.sent(400);
    assert_eq!(traffic.take(callers(300, 50)), 450);
}
