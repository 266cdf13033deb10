//! Sources of the command line's settings and their precedence.

use std::fs;
use std::path::Path;

use swiftlink_client::{ClientSettings, Overrides};

#[test]
fn arguments_override_the_environment_which_overrides_the_file() {
    let dir = tempfile::tempdir().expect("a directory");
    let (file, token, other) = (
        dir.path().join("c.toml"),
        dir.path().join("token"),
        dir.path().join("other"),
    );
    fs::write(&token, "from-file\n").expect("written");
    fs::write(&other, "from-argument\n").expect("written");
    let text = format!("operators = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ntoken_file = {token:?}\n");
    fs::write(&file, text).expect("written");
    let mut overrides = Overrides {
        settings: Some(file),
        ..Overrides::default()
    };
    let found = ClientSettings::resolve(&overrides).expect("complete");
    assert_eq!(found.operators.len(), 2);
    assert_eq!(found.token, "from-file");

    overrides.operator_variable = Some("127.0.0.1:3, 127.0.0.1:4".to_owned());
    overrides.token_variable = Some("from-variable".to_owned());
    let found = ClientSettings::resolve(&overrides).expect("complete");
    assert_eq!(found.operators[0].port(), 3);
    assert_eq!(found.token, "from-variable");
    assert!(!format!("{found:?}").contains("from-variable"));

    overrides.operators = vec!["127.0.0.1:5".to_owned()];
    overrides.token_file = Some(other);
    let found = ClientSettings::resolve(&overrides).expect("complete");
    assert_eq!(found.operators[0].port(), 5);
    assert_eq!(found.token, "from-argument");
}

#[test]
fn missing_and_invalid_settings_are_named() {
    let error = |overrides: &Overrides| {
        let found = ClientSettings::resolve(overrides);
        found.expect_err("incomplete").to_string()
    };
    let mut overrides = Overrides::default();
    assert!(error(&overrides).contains("no operator address"));
    overrides.operators = vec!["here".to_owned()];
    assert!(error(&overrides).contains("\"here\" is not an address"));
    overrides.operators = vec!["127.0.0.1:5".to_owned()];
    assert!(error(&overrides).contains("no token"));
    overrides.token_file = Some("no/such/token".into());
    assert!(error(&overrides).contains("no/such/token"));
}

#[test]
fn the_sample_is_valid() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/swiftlink.toml");
    let overrides = Overrides {
        settings: Some(sample),
        token_variable: Some("given".to_owned()),
        ..Overrides::default()
    };
    let found = ClientSettings::resolve(&overrides).expect("valid");
    assert_eq!(found.operators.len(), 2);
}
