//! Finds the key that a deserialization error is about.
//!
//! Errors inside the flattened [`Common`] come without path and span, so the key is
//! taken from the message or, for a wrong value, found by reading `Common` by itself.

use std::path::Path;

use crate::{Common, SettingsError, locate};

const NAMING: [&str; 3] = ["missing field `", "unknown field `", "duplicate field `"];

type PathError = serde_path_to_error::Error<toml::de::Error>;

/// Describes `error`, which reading `text` as a `T` gave.
pub(crate) fn explain(path: &Path, text: &str, error: &PathError) -> SettingsError {
    let message = error.inner().message();
    let key = key_of(text, error, message);
    let line = locate::line_of_key(text, &key);
    SettingsError::invalid(path, line, key, message.to_owned())
}

fn key_of(text: &str, error: &PathError, message: &str) -> String {
    let place = match error.path().to_string() {
        root if root == "." => String::new(),
        place => place,
    };
    if let Some(field) = named_field(message) {
        return join(&place, field);
    }
    if !place.is_empty() {
        return place;
    }
    common_key(text).unwrap_or(place)
}

fn named_field(message: &str) -> Option<&str> {
    for prefix in NAMING {
        let Some(rest) = message.strip_prefix(prefix) else {
            continue;
        };
        return rest.split('`').next();
    }
    None
}

fn join(place: &str, field: &str) -> String {
    if place.is_empty() || place == field || place.ends_with(&format!(".{field}")) {
        return if place.is_empty() { field } else { place }.to_owned();
    }
    format!("{place}.{field}")
}

/// The key of [`Common`] that can't be read: read by itself it gives the path that
/// flattening loses.
fn common_key(text: &str) -> Option<String> {
    let document = toml::Deserializer::parse(text).ok()?;
    let error = serde_path_to_error::deserialize::<_, Common>(document).err()?;
    Some(error.path().to_string())
}
