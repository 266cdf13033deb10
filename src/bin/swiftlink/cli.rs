//! Arguments that every verb has, and the table of verbs.

use std::io::{self, Write};
use std::path::PathBuf;

use getopts::{Matches, Options, ParsingStyle};
use serde::Serialize;
use swiftlink_client::{ClientSettings, Operator, Overrides};

use crate::commands;
use crate::failure::Failure;

/// One verb of the command line.
pub struct Verb {
    /// Name on the command line.
    pub name: &'static str,
    /// One line of help.
    pub about: &'static str,
    /// Arguments after the name.
    pub usage: &'static str,
    /// Adds the verb's own options.
    pub options: fn(&mut Options),
    /// Does the work.
    pub run: fn(&Context) -> Result<(), Failure>,
}

/// What a verb works with.
pub struct Context {
    /// The verb itself.
    pub verb: &'static Verb,
    /// Its parsed arguments.
    pub matches: Matches,
    /// The operator interface.
    pub operator: Operator,
    json: bool,
}

impl Context {
    /// The free arguments, which must be between `least` and `most`.
    pub fn words(&self, least: usize, most: usize) -> Result<Vec<&str>, Failure> {
        let words: Vec<_> = self.matches.free.iter().map(String::as_str).collect();
        if words.len() < least || words.len() > most {
            let detail = format!("usage: swiftlink {} {}", self.verb.name, self.verb.usage);
            return Err(Failure::usage(self.verb.name, detail));
        }
        Ok(words)
    }

    /// A numeric option.
    pub fn number(&self, option: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.matches.opt_str(option) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_error) => {
                let detail = format!("--{option}: {text:?} is not a whole number");
                Err(Failure::usage(self.verb.name, detail))
            }
        }
    }

    /// Prints an answer: as a table, or as JSON with `-o json`.
    pub fn print<T: Serialize>(&self, answer: &T, table: fn(&T) -> String) -> Result<(), Failure> {
        if self.json {
            return out(&format!("{}\n", serde_json::to_string_pretty(answer)?));
        }
        out(&table(answer))
    }

    /// Prints one line of an unending answer.
    pub fn print_line<T: Serialize>(
        &self,
        item: &T,
        line: fn(&T) -> String,
    ) -> Result<(), Failure> {
        if self.json {
            return out(&format!("{}\n", serde_json::to_string(item)?));
        }
        out(&format!("{}\n", line(item)))
    }
}

/// Runs the command line `args`, without the program's name.
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
        return out(&format!("swiftlink {}\n", env!("CARGO_PKG_VERSION")));
    }
    if matches.opt_present("help") {
        return out(&help(&options));
    }
    if matches.opt_present("check") {
        let settings = ClientSettings::resolve(&overrides(&[&matches]))?;
        return out(&settings.to_string());
    }
    let Some((name, rest)) = matches.free.split_first() else {
        return Err(Failure::usage("", "no command given"));
    };
    let Some(verb) = commands::ALL.iter().find(|verb| verb.name == name) else {
        return Err(Failure::usage("", format!("unknown command {name:?}")));
    };
    run_verb(verb, rest, &matches)
}

fn run_verb(verb: &'static Verb, args: &[String], before: &Matches) -> Result<(), Failure> {
    let options = verb_options(verb);
    let parsed = options.parse(args);
    let matches = parsed.map_err(|error| Failure::usage(verb.name, error.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!(
            "{}\n\nUsage: swiftlink {} {} [options]",
            verb.about, verb.name, verb.usage
        );
        return out(&options.usage(&brief));
    }
    let json = match matches.opt_str("output").as_deref() {
        None | Some("table") => false,
        Some("json") => true,
        Some(other) => {
            let detail = format!("--output: {other:?} is neither table nor json");
            return Err(Failure::usage(verb.name, detail));
        }
    };
    let settings = ClientSettings::resolve(&overrides(&[&matches, before]))?;
    let context = Context {
        verb,
        matches,
        operator: Operator::open(settings),
        json,
    };
    (verb.run)(&context)
}

fn verb_options(verb: &Verb) -> Options {
    let mut options = Options::new();
    (verb.options)(&mut options);
    options.optopt("o", "output", "table (default) or json", "FORMAT");
    add_settings(&mut options);
    options.optflag("h", "help", "print this help");
    options
}

/// Options that are taken before and after the verb.
fn add_settings(options: &mut Options) {
    let about = "operator address; may be repeated (or SWIFTLINK_OPERATOR)";
    options.optmulti("", "operator", about, "IP:PORT");
    let about = "file with the operators' token (or SWIFTLINK_TOKEN)";
    options.optopt("", "token-file", about, "FILE");
    options.optopt("c", "settings", "settings file (TOML)", "FILE");
}

/// The settings given on the command line; those after the verb go first.
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
    for verb in commands::ALL {
        brief.push_str(&format!("    {:<10} {}\n", verb.name, verb.about));
    }
    brief.push_str("\n`swiftlink COMMAND --help` shows the options of a command.");
    let mut text = options.usage(&brief);
    text.push_str(
        "\nThe environment variables SWIFTLINK_OPERATOR (addresses, separated by commas) and\n\
         SWIFTLINK_TOKEN go before the settings file, options before both.\n\n\
         Exit codes: 0 done, 1 refused or failed, 2 wrong arguments or file, 3 conflict,\n\
         4 no operator can be reached.\n",
    );
    text
}

/// Prints to the standard output; a reader that went away is no error.
fn out(text: &str) -> Result<(), Failure> {
    let mut stdout = io::stdout().lock();
    let written = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => std::process::exit(0),
        other => Ok(other?),
    }
}
