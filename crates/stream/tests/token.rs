//! Resume tokens: only the fleet can create them, and only their workspace can use them.

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
fn valid_token_round_trips() {
    let text = token().sign(&secret());
    let read = ResumeToken::verify(&text, "notaries", &secret());
    assert_eq!(read, Ok(token()));
}

#[test]
fn other_workspaces_and_secrets_are_rejected() {
    let text = token().sign(&secret());
    let foreign = ResumeToken::verify(&text, "surveyors", &secret());
    assert_eq!(foreign, Err(TokenError::Foreign));
    let other = TokenSecret::new(b"another secret");
    let forged = ResumeToken::verify(&text, "notaries", &other);
    assert_eq!(forged, Err(TokenError::Invalid));
}

#[test]
fn event_id_contains_token_and_chunk_number() {
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
fn debug_output_hides_the_secret() {
    assert_eq!(format!("{:?}", secret()), "TokenSecret(***)");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn modified_token_is_rejected(at in any::<prop::sample::Index>(), with in "[A-Za-z0-9_-]") {
        let text = token().sign(&secret());
        let at = at.index(text.len());
        let mut changed = text.clone();
        changed.replace_range(at..=at, &with);
        prop_assume!(changed != text);
        let read = ResumeToken::verify(&changed, "notaries", &secret());
        prop_assert_eq!(read, Err(TokenError::Invalid));
    }

    #[test]
    fn arbitrary_text_is_rejected(text in "[A-Za-z0-9_=.-]{0,300}") {
        let read = ResumeToken::verify(&text, "notaries", &secret());
        prop_assert_eq!(read, Err(TokenError::Invalid));
    }

    /// The signature of one token is invalid for any other token.
    #[test]
    fn signature_of_another_token_is_rejected(workspace in "[a-z]{1,20}", stream in "[a-z0-9]{1,20}") {
        let mut other = token();
        other.workspace = workspace.clone();
        other.stream = stream;
        let genuine = token().sign(&secret());
        let (forged, tail) = (other.sign(&TokenSecret::new(b"guess")), genuine.len() - 22);
        let mixed = format!("{}{}", &forged[..forged.len() - 22], &genuine[tail..]);
        prop_assert!(ResumeToken::verify(&mixed, &workspace, &secret()).is_err());
    }
}
