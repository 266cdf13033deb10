//! Settings of the command line: operator addresses and token.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Environment variable with a comma-separated list of operator addresses.
pub const OPERATOR_VARIABLE: &str = "SWIFTLINK_OPERATOR";
/// Environment variable with the operators' token.
pub const TOKEN_VARIABLE: &str = "SWIFTLINK_TOKEN";

/// Settings file of the command line (TOML, `-c FILE`).
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Operator addresses, tried in order.
    #[serde(default)]
    operators: Vec<SocketAddr>,
    /// File that contains the token.
    token_file: Option<PathBuf>,
}

/// Settings from arguments and environment variables; arguments take precedence.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// `--operator`; may be repeated or hold a comma-separated list of addresses.
    pub operators: Vec<String>,
    /// `--token-file`.
    pub token_file: Option<PathBuf>,
    /// `-c`: settings file.
    pub settings: Option<PathBuf>,
    /// Value of `SWIFTLINK_OPERATOR`.
    pub operator_variable: Option<String>,
    /// Value of `SWIFTLINK_TOKEN`.
    pub token_variable: Option<String>,
}

impl Overrides {
    /// Reads the two environment variables.
    #[must_use]
    pub fn with_environment(mut self) -> Self {
        self.operator_variable = std::env::var(OPERATOR_VARIABLE).ok();
        self.token_variable = std::env::var(TOKEN_VARIABLE).ok();
        self
    }
}

/// Effective settings of the command line.
#[derive(Clone)]
pub struct ClientSettings {
    /// Operator addresses, tried in order; not empty.
    pub operators: Vec<SocketAddr>,
    /// The operators' token.
    pub token: String,
}

impl fmt::Display for ClientSettings {
    /// Formats the settings as TOML with the token masked.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operators: Vec<_> = self.operators.iter().map(SocketAddr::to_string).collect();
        writeln!(f, "operators = {operators:?}")?;
        writeln!(f, "token = \"***\"")
    }
}

impl fmt::Debug for ClientSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientSettings")
            .field("operators", &self.operators)
            .finish_non_exhaustive()
    }
}

/// Error in the settings of the command line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file can't be read or is invalid.
    #[error(transparent)]
    File(#[from] swiftlink_settings::SettingsError),
    /// An operator address is malformed.
    #[error("--operator: {0:?} is not an address (IP:PORT)")]
    Address(String),
    /// No operator address is given.
    #[error("no operator address: give --operator, {OPERATOR_VARIABLE} or a settings file (-c)")]
    NoOperator,
    /// No token is given.
    #[error("no token: give --token-file, {TOKEN_VARIABLE} or a settings file (-c)")]
    NoToken,
    /// The token file can't be read.
    #[error("can't read the token file {path}")]
    TokenFile {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        #[source]
        cause: std::io::Error,
    },
}

impl ClientSettings {
    /// Merges arguments, environment variables and settings file, in this order of precedence.
    ///
    /// # Errors
    /// Fails if one of them is invalid, or if no address or no token is given.
    pub fn resolve(overrides: &Overrides) -> Result<Self, SettingsError> {
        let file = match &overrides.settings {
            Some(path) => swiftlink_settings::load::<File>(path)?,
            None => File::default(),
        };
        Ok(Self {
            operators: operators(overrides, &file)?,
            token: token(overrides, &file)?,
        })
    }
}

fn operators(overrides: &Overrides, file: &File) -> Result<Vec<SocketAddr>, SettingsError> {
    let mut texts = overrides.operators.clone();
    if texts.is_empty() {
        texts.extend(overrides.operator_variable.clone());
    }
    let mut found = Vec::new();
    for text in texts.iter().flat_map(|text| text.split(',')) {
        let text = text.trim();
        if text.is_empty() {
            continue;
        }
        let address = text.parse();
        found.push(address.map_err(|_error| SettingsError::Address(text.to_owned()))?);
    }
    if found.is_empty() {
        found.clone_from(&file.operators);
    }
    if found.is_empty() {
        return Err(SettingsError::NoOperator);
    }
    Ok(found)
}

fn token(overrides: &Overrides, file: &File) -> Result<String, SettingsError> {
    if let Some(path) = &overrides.token_file {
        return read_token(path);
    }
    if let Some(token) = &overrides.token_variable {
        return Ok(token.trim().to_owned());
    }
    if let Some(path) = &file.token_file {
        return read_token(path);
    }
    Err(SettingsError::NoToken)
}

fn read_token(path: &Path) -> Result<String, SettingsError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|cause| SettingsError::TokenFile {
        path: path.to_owned(),
        cause,
    })?;
    Ok(text.trim().to_owned())
}
