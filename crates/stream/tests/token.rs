//! Resume tokens: none but the fleet makes them, none but the owner uses them.

use proptest::prelude::*;
use swiftlink_stream::{ResumeToken, TokenError, TokenSecret, event_id, parse_event_id};

fn secret() -> TokenSecret {
    TokenSecret::new(b"the fleet's secret")
}

fn token() -> ResumeToken {
    ResumeToken {
        key: vec![7; 16],
        workspace: "notaries".to_owned(),
        budget: "notaries-2026".to_owned(),
        pool: "summary".to_owned(),
        server: "runner-3".to_owned(),
        stream: "s-42".to_owned(),
        class: "standard".to_owned(),
        price: 1_500,
        bound: 900,
        vm: "entry-1".to_owned(),
        epoch: 1_764_000_000_000_000,
        once: true,
        chat: true,
    }
}

#[test]
fn genuine_token_is_read_back() {
    let text = token().sign(&secret());
    let read = ResumeToken::verify(&text, "notaries", &secret());
    assert_eq!(read, Ok(token()));
}

#[test]
fn other_workspaces_and_secrets_are_refused() {
    let text = token().sign(&secret());
    let foreign = ResumeToken::verify(&text, "surveyors", &secret());
    assert_eq!(foreign, Err(TokenError::Foreign));
    let other = TokenSecret::new(b"another secret");
    let forged = ResumeToken::verify(&text, "notaries", &other);
    assert_eq!(forged, Err(TokenError::Invalid));
}

#[test]
fn event_id_names_token_and_chunk() {
    let text = token().sign(&secret());
    let id = event_id(&text, 17);
    assert_eq!(parse_event_id(&id), Some((text.as_str(), 17)));
    for bad in [
        "",
        ".",
        "a",
        "a.",
        ".1",
        "a.b",
        "a.+1",
        "a.-1",
        "a.99999999999999999999",
    ] {
        assert_eq!(parse_event_id(bad), None, "{bad}");
    }
}

#[test]
fn secret_is_not_shown() {
    assert_eq!(format!("{:?}", secret()), "TokenSecret(***)");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn changed_token_is_refused(at in any::<prop::sample::Index>(), with in "[A-Za-z0-9_-]") {
        let text = token().sign(&secret());
        let at = at.index(text.len());
        let mut changed = text.clone();
        changed.replace_range(at..=at, &with);
        prop_assume!(changed != text);
        let read = ResumeToken::verify(&changed, "notaries", &secret());
        prop_assert_eq!(read, Err(TokenError::Invalid));
    }

    #[test]
    fn made_up_token_is_refused(text in "[A-Za-z0-9_=.-]{0,300}") {
        let read = ResumeToken::verify(&text, "notaries", &secret());
        prop_assert_eq!(read, Err(TokenError::Invalid));
    }

    /// The signature of one token doesn't fit another, whatever its fields.
    #[test]
    fn signature_cannot_be_moved(workspace in "[a-z]{1,20}", stream in "[a-z0-9]{1,20}") {
        let mut other = token();
        other.workspace = workspace.clone();
        other.stream = stream;
        let genuine = token().sign(&secret());
        let (forged, tail) = (other.sign(&TokenSecret::new(b"guess")), genuine.len() - 22);
        let mixed = format!("{}{}", &forged[..forged.len() - 22], &genuine[tail..]);
        prop_assert!(ResumeToken::verify(&mixed, &workspace, &secret()).is_err());
    }
}
