//! Settings of the command line: which operators, and the credential.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Environment variable with the operators' addresses, separated by commas.
pub const OPERATOR_VARIABLE: &str = "SWIFTLINK_OPERATOR";
/// Environment variable with the operators' credential.
pub const TOKEN_VARIABLE: &str = "SWIFTLINK_TOKEN";

/// Settings file of the command line (TOML, `-c FILE`).
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Operator addresses, tried in order.
    #[serde(default)]
    operators: Vec<SocketAddr>,
    /// File that holds the credential.
    token_file: Option<PathBuf>,
}

/// What the arguments and the environment say; arguments go first.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// `--operator`, may be repeated or hold several addresses separated by commas.
    pub operators: Vec<String>,
    /// `--token-file`.
    pub token_file: Option<PathBuf>,
    /// `-c`.
    pub settings: Option<PathBuf>,
    /// Value of the variable `SWIFTLINK_OPERATOR`.
    pub operator_variable: Option<String>,
    /// Value of the variable `SWIFTLINK_TOKEN`.
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
    /// Operator addresses, tried in order; at least one.
    pub operators: Vec<SocketAddr>,
    /// The operators' credential.
    pub token: String,
}

impl fmt::Display for ClientSettings {
    /// The settings as TOML, without the credential.
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

/// What is wrong with the settings of the command line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file is wrong.
    #[error(transparent)]
    File(#[from] swiftlink_settings::SettingsError),
    /// Not an address.
    #[error("--operator: {0:?} is not an address (IP:PORT)")]
    Address(String),
    /// No address at all.
    #[error("no operator address: give --operator, {OPERATOR_VARIABLE} or a settings file (-c)")]
    NoOperator,
    /// No credential at all.
    #[error("no token: give --token-file, {TOKEN_VARIABLE} or a settings file (-c)")]
    NoToken,
    /// The token file can't be read.
    #[error("can't read the token file {path}")]
    TokenFile {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        cause: std::io::Error,
    },
}

impl ClientSettings {
    /// Puts arguments, environment and settings file together, in this order of precedence.
    ///
    /// # Errors
    /// When one of them is wrong, or address or token is given nowhere.
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
