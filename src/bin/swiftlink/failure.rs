//! How a command fails: what it prints, and its exit code.

use std::process::ExitCode;

use swiftlink_client::document::DocumentError;
use swiftlink_client::{ClientError, Exit, SettingsError};

/// A failed command.
#[derive(Debug)]
pub struct Failure {
    error: anyhow::Error,
    exit: Exit,
    next: Option<String>,
}

impl Failure {
    /// Wrong arguments; `verb` names whose help to read.
    pub fn usage(verb: &str, detail: impl Into<String>) -> Self {
        let command = if verb.is_empty() {
            "swiftlink --help".to_owned()
        } else {
            format!("swiftlink {verb} --help")
        };
        Self {
            error: anyhow::Error::msg(detail.into()),
            exit: Exit::Usage,
            next: Some(format!("`{command}` shows the arguments")),
        }
    }

    /// Names what the command was doing.
    pub fn context(mut self, doing: impl Into<String>) -> Self {
        self.error = self.error.context(doing.into());
        self
    }

    /// Prints the error with its causes and the next step.
    pub fn report(&self) -> ExitCode {
        eprintln!("error: {}", self.error);
        let causes: Vec<_> = self.error.chain().skip(1).collect();
        if !causes.is_empty() {
            eprintln!("\nCaused by:");
        }
        for cause in causes {
            eprintln!("    {cause}");
        }
        if let Some(next) = &self.next {
            eprintln!("\nNext step: {next}");
        }
        ExitCode::from(self.exit as u8)
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        Self {
            exit: error.exit(),
            next: error.next_step(),
            error: error.into(),
        }
    }
}

impl From<DocumentError> for Failure {
    fn from(error: DocumentError) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Usage,
            next: Some("mend the file; nothing was sent".to_owned()),
        }
    }
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Usage,
            next: Some("`swiftlink --help` shows the settings".to_owned()),
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Failed,
            next: None,
        }
    }
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Failed,
            next: None,
        }
    }
}
