//! The daemons' command line.

use std::path::PathBuf;

use getopts::Options;

/// Name, version and description of a program.
#[derive(Debug, Clone, Copy)]
pub struct About {
    /// Name of the binary.
    pub name: &'static str,
    /// Version of the binary.
    pub version: &'static str,
    /// Description in one line.
    pub about: &'static str,
}

/// Action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print name and version.
    Version,
    /// Read the settings, print the effective ones and exit.
    Check(PathBuf),
    /// Run with these settings.
    Run(PathBuf),
}

/// An invalid command line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// An option is unknown, given twice or lacks its value.
    #[error("{0}")]
    Option(String),
    /// A positional argument, of which there are none.
    #[error("unexpected argument `{0}`")]
    Argument(String),
    /// No settings file was named.
    #[error("no settings file; name it with --settings FILE")]
    NoSettings,
}

impl About {
    /// Reads the arguments after the program's name.
    ///
    /// # Errors
    /// When they are not a valid command line.
    pub fn parse(&self, args: &[String]) -> Result<Command, UsageError> {
        let matches = options()
            .parse(args)
            .map_err(|fail| UsageError::Option(fail.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Command::Help);
        }
        if matches.opt_present("version") {
            return Ok(Command::Version);
        }
        if let Some(argument) = matches.free.first() {
            return Err(UsageError::Argument(argument.clone()));
        }
        let file = matches.opt_str("settings").ok_or(UsageError::NoSettings)?;
        if matches.opt_present("check") {
            return Ok(Command::Check(file.into()));
        }
        Ok(Command::Run(file.into()))
    }

    /// The help text.
    #[must_use]
    pub fn help(&self) -> String {
        let brief = format!(
            "{}\n\nUsage: {} --settings FILE [--check]",
            self.about, self.name
        );
        options().usage(&brief)
    }

    /// Name and version on one line.
    #[must_use]
    pub fn version_line(&self) -> String {
        format!("{} {}", self.name, self.version)
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "settings",
        "read the settings from FILE (TOML)",
        "FILE",
    );
    options.optflag(
        "",
        "check",
        "check the settings, print the effective ones and exit",
    );
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}
