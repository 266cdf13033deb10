//! Any event is one line that parses back into its pairs.

use proptest::prelude::*;
use swiftlink_telemetry::{Line, split};

fn build(pairs: &[(String, String)]) -> String {
    let mut line = Line::new();
    for (key, value) in pairs {
        line.pair(key, value);
    }
    line.as_str().to_owned()
}

#[test]
fn plain_values_are_not_quoted() {
    let mut line = Line::new();
    line.pair("event", &"grant.claimed");
    line.pair("granted", &500);
    assert_eq!(line.as_str(), "event=grant.claimed granted=500");
}

#[test]
fn other_values_are_quoted() {
    let mut line = Line::new();
    line.pair("a", &"");
    line.pair("b", &"two words");
    line.pair("c", &"a=b");
    line.pair("d", &"say \"hi\"\n\u{1b}[31m\\");
    line.pair("e", &"née");
    let expected = r#"a="" b="two words" c="a=b" d="say \"hi\"\n\u{1b}[31m\\" e="née""#;
    assert_eq!(line.as_str(), expected);
}

#[test]
fn malformed_lines_are_rejected() {
    for text in [
        "a",
        "=b",
        "a=b ",
        "a=b  c=d",
        "a=\"b",
        "a=\"\\x\"",
        "a=",
        "a b=c",
        "a=\"b\"c=d",
    ] {
        assert_eq!(split(text), None, "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn any_value_gives_one_line_that_round_trips(
        pairs in prop::collection::vec(("[a-zA-Z0-9_.-]{1,8}", any::<String>()), 0..6),
    ) {
        let line = build(&pairs);
        prop_assert!(!line.chars().any(char::is_control));
        prop_assert_eq!(line.lines().count(), usize::from(!pairs.is_empty()));
        prop_assert_eq!(split(&line), Some(pairs));
    }

    #[test]
    fn special_characters_round_trip(value in "[\"\\\\= \n\r\t\u{0}\u{7f}\u{85}\u{2028}a{}u]{0,30}") {
        let pairs = vec![("k".to_owned(), value), ("z".to_owned(), "1".to_owned())];
        let line = build(&pairs);
        let breaks = ['\n', '\r', '\u{85}', '\u{2028}'];
        prop_assert!(!line.contains(breaks));
        prop_assert_eq!(split(&line), Some(pairs));
    }

    #[test]
    fn any_text_is_rejected_or_round_trips(text in any::<String>()) {
        if let Some(pairs) = split(&text) {
            prop_assert_eq!(split(&build(&pairs)), Some(pairs));
        }
    }
}
