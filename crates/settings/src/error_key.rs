//! Finds the key that a deserialization error is about.
//!
//! Errors inside the flattened [`Common`] carry no path and no span. Their key is taken from
//! the message or, for an invalid value, found by deserializing `Common` alone.

use std::path::Path;

use crate::{Common, SettingsError, locate};

/// Starts of messages that name a field.
const FIELD_MESSAGES: [&str; 3] = ["missing field `", "unknown field `", "duplicate field `"];

type PathError = serde_path_to_error::Error<toml::de::Error>;

/// Adds key and line to an error of deserializing `text`.
pub(crate) fn to_settings_error(path: &Path, text: &str, error: &PathError) -> SettingsError {
    let message = error.inner().message();
    let key = key_of(text, error, message);
    let line = locate::line_of_key(text, &key);
    SettingsError::invalid(path, line, key, message.to_owned())
}

/// Path of the key that `error` is about; empty when it is unknown.
fn key_of(text: &str, error: &PathError, message: &str) -> String {
    let parent = match error.path().to_string() {
        root if root == "." => String::new(),
        path => path,
    };
    if let Some(field) = named_field(message) {
        return join(&parent, field);
    }
    if !parent.is_empty() {
        return parent;
    }
    common_key(text).unwrap_or(parent)
}

/// Field name in a message such as ``missing field `vm` ``.
fn named_field(message: &str) -> Option<&str> {
    for prefix in FIELD_MESSAGES {
        let Some(rest) = message.strip_prefix(prefix) else {
            continue;
        };
        return rest.split('`').next();
    }
    None
}

/// Appends `field` to the path `parent`, unless the path already ends with it.
fn join(parent: &str, field: &str) -> String {
    if parent.is_empty() || parent == field || parent.ends_with(&format!(".{field}")) {
        return if parent.is_empty() { field } else { parent }.to_owned();
    }
    format!("{parent}.{field}")
}

/// Finds the invalid key of [`Common`]: deserialized alone, it reports the path that flattening
/// loses.
fn common_key(text: &str) -> Option<String> {
    let document = toml::Deserializer::parse(text).ok()?;
    let error = serde_path_to_error::deserialize::<_, Common>(document).err()?;
    Some(error.path().to_string())
}
