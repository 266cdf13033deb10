//! Fingerprints: which requests are retries of the same one.

use http::{Method, Uri};
use swiftlink_gateway::fingerprint::{Content, Fingerprint};
use swiftlink_types::WorkspaceName;

fn fingerprint(workspace: &str, host: &str, path: &str, body: &'static str) -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: Some(WorkspaceName::from(workspace)),
        method: Method::POST,
        host: host.to_owned(),
        uri: path.parse::<Uri>().expect("a path"),
        body: body.into(),
    })
}

#[test]
fn the_fingerprint_changes_with_each_part_of_the_request() {
    let one = fingerprint("w", "a.example", "/p/1?x=2", "body");
    assert_eq!(one, fingerprint("w", "a.example", "/p/1?x=2", "body"));
    for other in [
        fingerprint("v", "a.example", "/p/1?x=2", "body"),
        fingerprint("w", "b.example", "/p/1?x=2", "body"),
        fingerprint("w", "a.example", "/p/1?x=3", "body"),
        fingerprint("w", "a.example", "/p/1?x=2", "bodx"),
    ] {
        assert_ne!(one, other);
    }
}

#[test]
fn bytes_moved_between_adjacent_parts_change_the_fingerprint() {
    let one = fingerprint("w", "a.example", "/p", "body");
    assert_ne!(one, fingerprint("wa", ".example", "/p", "body"));
    assert_ne!(one, fingerprint("w", "a.example", "/pb", "ody"));
}

#[test]
fn a_fingerprint_round_trips_through_its_bytes() {
    let one = fingerprint("w", "a.example", "/p", "body");
    assert_eq!(Fingerprint::try_from(one.as_bytes()).ok(), Some(one));
    assert!(Fingerprint::try_from(&one.as_bytes()[1..]).is_err());
}
