//! Stand-ins and scenarios of the second review.
//!
//! `review-standins-2 SCENARIO RECORD FOLDER` plays a scenario from the repository's root, writes
//! to RECORD what was sent, answered and run, and keeps its other files in FOLDER. It exits with 1
//! if the rule was broken, 0 if it held, and 2 if the scenario couldn't run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod deployment;
mod gateway;
mod http;
mod proxy;
mod record;
mod runner;
mod silent;
mod store;
mod versions;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Exit code if the rule was broken.
const BROKEN: u8 = 1;
/// Exit code if the scenario couldn't run.
const NOT_RUN: u8 = 2;

/// Why a scenario couldn't run.
type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let Some((name, rest)) = args.split_first() {
        if name == "runner" {
            runner::run(rest);
            return ExitCode::SUCCESS;
        }
    }
    let [scenario, record, folder] = args.as_slice() else {
        eprintln!("usage: review-standins-2 SCENARIO RECORD FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    record.note(format!("scenario {scenario}, disruption: {has_trouble}"));
    let folder = Path::new(folder);
    let played = match scenario.as_str() {
        "versions" => versions::play(&mut record, folder, has_trouble),
        "silent" => silent::play(&mut record, folder, has_trouble),
        _ => Err("no such scenario".into()),
    };
    match played {
        Ok(true) => {
            record.note("RESULT: the rule was broken".to_owned());
            ExitCode::from(BROKEN)
        }
        Ok(false) => {
            record.note("RESULT: the rule held".to_owned());
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.note(format!("RESULT: not run: {error}"));
            ExitCode::from(NOT_RUN)
        }
    }
}
