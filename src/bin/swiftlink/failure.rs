//! Errors of commands: messages, suggestions and exit codes.

use std::process::ExitCode;

use swiftlink_client::document::DocumentError;
use swiftlink_client::{ClientError, Exit, SettingsError};

/// A failed command.
#[derive(Debug)]
pub struct Failure {
    error: anyhow::Error,
    exit: Exit,
    suggestion: Option<String>,
}

impl Failure {
    /// Creates an error for invalid arguments; `command` is the command whose help to suggest.
    pub fn usage(command: &str, detail: impl Into<String>) -> Self {
        let help = if command.is_empty() {
            "swiftlink --help".to_owned()
        } else {
            format!("swiftlink {command} --help")
        };
        Self {
            error: anyhow::Error::msg(detail.into()),
            exit: Exit::Usage,
            suggestion: Some(format!("`{help}` shows the arguments")),
        }
    }

    /// Adds the operation that failed.
    pub fn context(mut self, operation: impl Into<String>) -> Self {
        self.error = self.error.context(operation.into());
        self
    }

    /// Prints the error with its causes and the suggested next step.
    pub fn report(&self) -> ExitCode {
        eprintln!("error: {}", self.error);
        let causes: Vec<_> = self.error.chain().skip(1).collect();
        if !causes.is_empty() {
            eprintln!("\nCaused by:");
        }
        for cause in causes {
            eprintln!("    {cause}");
        }
        if let Some(suggestion) = &self.suggestion {
            eprintln!("\nNext step: {suggestion}");
        }
        ExitCode::from(self.exit as u8)
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        Self {
            exit: error.exit(),
            suggestion: error.next_step(),
            error: error.into(),
        }
    }
}

impl From<DocumentError> for Failure {
    fn from(error: DocumentError) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Usage,
            suggestion: Some("fix the file; nothing was sent".to_owned()),
        }
    }
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Usage,
            suggestion: Some("`swiftlink --help` shows the settings".to_owned()),
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Failed,
            suggestion: None,
        }
    }
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Self {
        Self {
            error: error.into(),
            exit: Exit::Failed,
            suggestion: None,
        }
    }
}
