//! Command line of `swiftlink-bench`.

use std::path::PathBuf;
use std::{fs, io};

use anyhow::{Context, bail};
use getopts::Options;

use crate::row::Rows;
use crate::table::markdown;
use crate::{cost, grants, limits, path, routing};

/// Default seed.
const SEED: u64 = 1;

/// A benchmark driver.
struct Driver {
    name: &'static str,
    run: fn(u64, bool, &mut Rows),
}

/// All drivers, in the order of a full run.
const DRIVERS: &[Driver] = &[
    Driver {
        name: "grants",
        run: grants::run,
    },
    Driver {
        name: "curve",
        run: grants::ahead_curve,
    },
    Driver {
        name: "routing",
        run: routing::run,
    },
    Driver {
        name: "limits",
        run: limits::run,
    },
    Driver {
        name: "cost",
        run: cost::run,
    },
    Driver {
        name: "path",
        run: path::run,
    },
    Driver {
        name: "idle",
        run: path::run_idle,
    },
];

/// Parsed command-line arguments.
#[derive(Debug)]
struct Args {
    seed: u64,
    scenario: Option<String>,
    quick: bool,
    markdown: Option<PathBuf>,
}

/// Runs the drivers that the arguments name, and prints their rows.
///
/// # Errors
/// Fails when the arguments are invalid or the output can't be written.
pub fn run(args: &[String], out: &mut impl io::Write) -> anyhow::Result<()> {
    let Some(args) = parse(args, out)? else {
        return Ok(());
    };
    let mut rows = Rows::new();
    let mut shown = 0;
    for driver in DRIVERS {
        if args
            .scenario
            .as_ref()
            .is_some_and(|name| name != driver.name)
        {
            continue;
        }
        (driver.run)(args.seed, args.quick, &mut rows);
        for row in &rows.all()[shown..] {
            writeln!(out, "{row}").context("can't write the rows")?;
        }
        shown = rows.all().len();
    }
    if let Some(path) = &args.markdown {
        let text = markdown(rows.all());
        fs::write(path, text).with_context(|| format!("can't write {}", path.display()))?;
    }
    Ok(())
}

fn parse(args: &[String], out: &mut impl io::Write) -> anyhow::Result<Option<Args>> {
    let names: Vec<&str> = DRIVERS.iter().map(|driver| driver.name).collect();
    let names = names.join(", ");
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seed", "seed of all drawn values", "N");
    options.optopt("", "scenario", &format!("only one of: {names}"), "NAME");
    options.optflag("", "quick", "smaller runs, to try the drivers");
    options.optopt("", "markdown", "write tables of the rows too", "FILE");
    let found = options.parse(args).context("invalid arguments")?;
    if found.opt_present("help") {
        let usage = options.usage("Usage: swiftlink-bench [options]");
        write!(out, "{usage}").context("can't write the help")?;
        return Ok(None);
    }
    if let Some(word) = found.free.first() {
        bail!("unexpected argument {word}");
    }
    let scenario = found.opt_str("scenario");
    if let Some(name) = &scenario
        && !DRIVERS.iter().any(|driver| driver.name == name)
    {
        bail!("unknown scenario {name}; available: {names}");
    }
    Ok(Some(Args {
        seed: found.opt_get_default("seed", SEED).context("--seed")?,
        scenario,
        quick: found.opt_present("quick"),
        markdown: found.opt_str("markdown").map(PathBuf::from),
    }))
}
