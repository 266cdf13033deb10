//! Which requests count as the same one, sent again.

use http::{Method, Uri};
use swiftlink_gateway::fingerprint::{Content, Fingerprint};
use swiftlink_types::WorkspaceName;

fn print(workspace: &str, host: &str, path: &str, body: &'static str) -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: Some(WorkspaceName::from(workspace)),
        method: Method::POST,
        host: host.to_owned(),
        uri: path.parse::<Uri>().expect("a path"),
        body: body.into(),
    })
}

#[test]
fn the_same_request_has_the_same_fingerprint_and_any_other_part_another_one() {
    let one = print("w", "a.example", "/p/1?x=2", "body");
    assert_eq!(one, print("w", "a.example", "/p/1?x=2", "body"));
    for other in [
        print("v", "a.example", "/p/1?x=2", "body"),
        print("w", "b.example", "/p/1?x=2", "body"),
        print("w", "a.example", "/p/1?x=3", "body"),
        print("w", "a.example", "/p/1?x=2", "bodx"),
    ] {
        assert_ne!(one, other);
    }
}

#[test]
fn what_ends_one_part_does_not_begin_the_next() {
    let one = print("w", "a.example", "/p", "body");
    assert_ne!(one, print("wa", ".example", "/p", "body"));
    assert_ne!(one, print("w", "a.example", "/pb", "ody"));
}

#[test]
fn a_fingerprint_is_read_back_from_its_bytes() {
    let one = print("w", "a.example", "/p", "body");
    assert_eq!(Fingerprint::try_from(one.as_bytes()).ok(), Some(one));
    assert!(Fingerprint::try_from(&one.as_bytes()[1..]).is_err());
}
