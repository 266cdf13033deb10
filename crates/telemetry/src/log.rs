//! The process's log.

use std::io;
use std::str::FromStr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, WriteSink};
use spdlog::{ErrorHandler, LevelFilter, Logger, Record, StringBuf};

use crate::time::utc;
use crate::{Background, Line};

pub use spdlog::Level;

static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
static OUTPUT: OnceLock<Background> = OnceLock::new();

/// Longest wait for a slow reader at the process's end.
const FLUSH: Duration = Duration::from_millis(300);

/// A text that names no log level.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no log level {0:?}; use off, critical, error, warn, info, debug or trace")]
pub struct LevelError(pub String);

/// Opens the log on the standard output stream at `level`.
///
/// Without it the first event opens the log at `info`.
///
/// # Errors
/// When `level` names no level.
pub fn init(level: &str) -> Result<(), LevelError> {
    set_level(level)
}

/// Changes the level of the running process's log.
///
/// # Errors
/// When `level` names no level.
pub fn set_level(level: &str) -> Result<(), LevelError> {
    logger().set_level_filter(parse_level(level)?);
    Ok(())
}

/// Name of the lowest level that is logged, or `off`.
#[must_use]
pub fn level() -> &'static str {
    match logger().level_filter() {
        LevelFilter::MoreSevereEqual(level) => level.as_str(),
        _ => "off",
    }
}

/// Whether events at `level` are logged.
#[must_use]
pub fn enabled(level: Level) -> bool {
    logger().should_log(level)
}

/// Logs `line` as one event; prefer [`event!`](crate::event).
pub fn write(level: Level, line: &Line) {
    spdlog::log!(logger: logger(), level, "{}", line.as_str());
}

/// Waits a moment until all events so far are written; for the process's end.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        // What a reader doesn't take in time is lost with the process.
        let _late = output.flush_within(FLUSH);
    }
}

/// Sends the log to `target` in place of the standard output stream, for tests.
///
/// Gives `false` when the process's log is already open.
pub fn capture<W: io::Write + Send + Sync + 'static>(target: W) -> bool {
    let sink = WriteSink::builder()
        .target(target)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink without options can be built");
    LOGGER.set(build(sink)).is_ok()
}

fn logger() -> &'static Arc<Logger> {
    LOGGER.get_or_init(|| {
        let output = OUTPUT.get_or_init(|| {
            Background::spawn(io::stdout()).expect("a process can start its first threads")
        });
        let sink = WriteSink::builder()
            .target(output.clone())
            .formatter(PairFormatter)
            .error_handler(ErrorHandler::new(|_error| {}))
            .build_arc()
            .expect("a sink without options can be built");
        build(sink)
    })
}

fn build(sink: Arc<dyn Sink>) -> Arc<Logger> {
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        // A log whose reader is gone can't report that anywhere.
        .error_handler(ErrorHandler::new(|_error| {}))
        .build_arc()
        .expect("a logger without name can be built")
}

fn parse_level(text: &str) -> Result<LevelFilter, LevelError> {
    if text == "off" {
        return Ok(LevelFilter::Off);
    }
    let level = Level::from_str(text).map_err(|_error| LevelError(text.to_owned()))?;
    Ok(LevelFilter::MoreSevereEqual(level))
}

/// Puts time and level in front of a line of pairs.
#[derive(Clone)]
struct PairFormatter;

impl Formatter for PairFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        dest.push_str("ts=");
        dest.push_str(&utc(record.time()));
        dest.push_str(" level=");
        dest.push_str(record.level().as_str());
        dest.push(' ');
        dest.push_str(record.payload());
        dest.push('\n');
        Ok(())
    }
}
