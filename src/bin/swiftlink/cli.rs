//! Parsing of the command line and dispatch to the commands.

use std::io::{self, Write};
use std::path::PathBuf;

use getopts::{Matches, Options, ParsingStyle};
use serde::Serialize;
use swiftlink_client::{ClientSettings, Operator, Overrides};

use crate::commands;
use crate::failure::Failure;

/// A command of the command line.
pub struct Command {
    /// Name of the command.
    pub name: &'static str,
    /// Description in the help, one line.
    pub about: &'static str,
    /// Synopsis of the arguments.
    pub usage: &'static str,
    /// Adds the options specific to the command.
    pub options: fn(&mut Options),
    /// Runs the command.
    pub run: fn(&Context) -> Result<(), Failure>,
}

/// Input of a command: its arguments and the operator client.
pub struct Context {
    /// The command itself.
    pub command: &'static Command,
    /// Parsed arguments of the command.
    pub matches: Matches,
    /// Client of the operator interface.
    pub operator: Operator,
    json: bool,
}

impl Context {
    /// Returns the positional arguments.
    ///
    /// Fails with a usage error unless there are `min` to `max` of them.
    pub fn positional(&self, min: usize, max: usize) -> Result<Vec<&str>, Failure> {
        let arguments: Vec<_> = self.matches.free.iter().map(String::as_str).collect();
        if arguments.len() < min || arguments.len() > max {
            let detail = format!(
                "usage: swiftlink {} {}",
                self.command.name, self.command.usage
            );
            return Err(Failure::usage(self.command.name, detail));
        }
        Ok(arguments)
    }

    /// Returns the value of a numeric option; fails if it isn't a whole number.
    pub fn number(&self, option: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.matches.opt_str(option) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_error) => {
                let detail = format!("--{option}: {text:?} is not a whole number");
                Err(Failure::usage(self.command.name, detail))
            }
        }
    }

    /// Prints a response as a table, or as JSON with `-o json`.
    pub fn print<T: Serialize>(&self, answer: &T, table: fn(&T) -> String) -> Result<(), Failure> {
        if self.json {
            return write_stdout(&format!("{}\n", serde_json::to_string_pretty(answer)?));
        }
        write_stdout(&table(answer))
    }

    /// Prints one item of a stream as a line.
    pub fn print_line<T: Serialize>(
        &self,
        item: &T,
        line: fn(&T) -> String,
    ) -> Result<(), Failure> {
        if self.json {
            return write_stdout(&format!("{}\n", serde_json::to_string(item)?));
        }
        write_stdout(&format!("{}\n", line(item)))
    }
}

/// Runs the command line `args`, which excludes the program name.
pub fn run(args: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.parsing_style(ParsingStyle::StopAtFirstFree);
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optflag(
        "",
        "check",
        "check the settings and print the effective ones",
    );
    add_settings(&mut options);
    let parsed = options.parse(args);
    let matches = parsed.map_err(|error| Failure::usage("", error.to_string()))?;
    if matches.opt_present("version") {
        return write_stdout(&format!("swiftlink {}\n", env!("CARGO_PKG_VERSION")));
    }
    if matches.opt_present("help") {
        return write_stdout(&help(&options));
    }
    if matches.opt_present("check") {
        let settings = ClientSettings::resolve(&overrides(&[&matches]))?;
        return write_stdout(&settings.to_string());
    }
    let Some((name, rest)) = matches.free.split_first() else {
        return Err(Failure::usage("", "no command given"));
    };
    let Some(command) = commands::ALL.iter().find(|command| command.name == name) else {
        return Err(Failure::usage("", format!("unknown command {name:?}")));
    };
    run_command(command, rest, &matches)
}

fn run_command(
    command: &'static Command,
    args: &[String],
    global: &Matches,
) -> Result<(), Failure> {
    let options = command_options(command);
    let parsed = options.parse(args);
    let matches = parsed.map_err(|error| Failure::usage(command.name, error.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!(
            "{}\n\nUsage: swiftlink {} {} [options]",
            command.about, command.name, command.usage
        );
        return write_stdout(&options.usage(&brief));
    }
    let json = match matches.opt_str("output").as_deref() {
        None | Some("table") => false,
        Some("json") => true,
        Some(other) => {
            let detail = format!("--output: {other:?} is neither table nor json");
            return Err(Failure::usage(command.name, detail));
        }
    };
    let settings = ClientSettings::resolve(&overrides(&[&matches, global]))?;
    let context = Context {
        command,
        matches,
        operator: Operator::open(settings),
        json,
    };
    (command.run)(&context)
}

fn command_options(command: &Command) -> Options {
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optopt("o", "output", "table (default) or json", "FORMAT");
    add_settings(&mut options);
    options.optflag("h", "help", "print this help");
    options
}

/// Adds the options that are accepted before and after the command.
fn add_settings(options: &mut Options) {
    let about = "operator address; may be repeated (or SWIFTLINK_OPERATOR)";
    options.optmulti("", "operator", about, "IP:PORT");
    let about = "file with the operators' token (or SWIFTLINK_TOKEN)";
    options.optopt("", "token-file", about, "FILE");
    options.optopt("c", "settings", "settings file (TOML)", "FILE");
}

/// Collects the settings on the command line; those after the command take precedence.
fn overrides(places: &[&Matches]) -> Overrides {
    let mut overrides = Overrides::default();
    for matches in places {
        if overrides.operators.is_empty() {
            overrides.operators = matches.opt_strs("operator");
        }
        let path = |option| matches.opt_str(option).map(PathBuf::from);
        overrides.token_file = overrides.token_file.or_else(|| path("token-file"));
        overrides.settings = overrides.settings.or_else(|| path("settings"));
    }
    overrides.with_environment()
}

fn help(options: &Options) -> String {
    let mut brief = String::from(
        "The operators' command line of swiftlink\n\n\
         Usage: swiftlink COMMAND [options]\n\nCommands:\n",
    );
    for command in commands::ALL {
        brief.push_str(&format!("    {:<10} {}\n", command.name, command.about));
    }
    brief.push_str("\n`swiftlink COMMAND --help` shows the options of a command.");
    let mut text = options.usage(&brief);
    text.push_str(
        "\nThe environment variables SWIFTLINK_OPERATOR (addresses, separated by commas) and\n\
         SWIFTLINK_TOKEN take precedence over the settings file, and options over both.\n\n\
         Exit codes: 0 success, 1 refused or failed, 2 invalid arguments or file, 3 conflict,\n\
         4 no operator can be reached.\n",
    );
    text
}

/// Writes to the standard output. A closed pipe isn't an error.
fn write_stdout(text: &str) -> Result<(), Failure> {
    let mut stdout = io::stdout().lock();
    let written = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => std::process::exit(0),
        other => Ok(other?),
    }
}
