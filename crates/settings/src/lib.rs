//! Typed TOML settings with errors that name file, key and line.
//!
//! [`load`] reads a file into any deserializable type; [`open`] also runs the
//! checks of a [`Settings`] type. A settings struct carries
//! `#[serde(deny_unknown_fields)]` and may flatten [`Common`].
//!
//! Modules: `common` holds the settings that daemons share, `error` the errors, `secret` a
//! masked text. `error_key` finds the key that an error is about, and `locate` its line.

mod common;
mod error;
mod error_key;
mod locate;
mod secret;

use std::fs;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use common::{Common, LinkPeer, check_peers};
pub use error::{CheckError, SettingsError};
pub use secret::SecretString;

/// Settings of a daemon.
pub trait Settings: DeserializeOwned + Serialize {
    /// The settings that all daemons share.
    fn common(&self) -> &Common;

    /// Checks what the types can't express: ranges, and constraints between values.
    ///
    /// # Errors
    /// When a value is invalid: the first such key.
    fn check(&self) -> Result<(), CheckError> {
        Ok(())
    }
}

/// Reads the TOML file at `path` into a `T`.
///
/// # Errors
/// When the file can't be read, is not TOML, or doesn't deserialize into `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    parse(path, &read(path)?)
}

/// Reads the TOML file at `path` into a `T` and checks it.
///
/// # Errors
/// Those of [`load`], and a failing check of the common settings or of `T`.
pub fn open<T: Settings>(path: &Path) -> Result<T, SettingsError> {
    open_checked(path, |settings: &T| {
        settings.common().check().and_then(|()| settings.check())
    })
}

/// Reads the TOML file at `path` into a `T` and runs `check` on it.
///
/// # Errors
/// Those of [`load`], and a failing check.
pub fn open_checked<T, F>(path: &Path, check: F) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
    F: FnOnce(&T) -> Result<(), CheckError>,
{
    let text = read(path)?;
    let settings: T = parse(path, &text)?;
    if let Err(error) = check(&settings) {
        let line = locate::line_of_key(&text, &error.key);
        return Err(SettingsError::invalid(path, line, error.key, error.detail));
    }
    Ok(settings)
}

/// Parses the TOML document `text` into a `T`; `path` is only used in errors.
///
/// # Errors
/// When the text is not TOML or doesn't deserialize into `T`.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let document = toml::Deserializer::parse(text)
        .map_err(|error| SettingsError::syntax(path, text, &error))?;
    serde_path_to_error::deserialize(document)
        .map_err(|error| error_key::to_settings_error(path, text, &error))
}

/// Serializes the effective settings as TOML, with secrets as `***`.
///
/// # Errors
/// When a value can't be represented in TOML.
pub fn render<T: Serialize>(settings: &T) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(settings)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.into(),
        source,
    })
}
