//! The process-wide logger.

use std::io;
use std::str::FromStr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, WriteSink};
use spdlog::{ErrorHandler, LevelFilter, Logger, Record, StringBuf};

use crate::time::utc;
use crate::{BackgroundWriter, Line};

pub use spdlog::Level;

static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
static OUTPUT: OnceLock<BackgroundWriter> = OnceLock::new();

/// Longest wait for a slow reader of the log when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// An unknown log level name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no log level {0:?}; use off, critical, error, warn, info, debug or trace")]
pub struct LevelError(pub String);

/// Starts logging to the standard output stream at `level`.
///
/// If this isn't called, the first event starts logging at `info`.
///
/// # Errors
/// When `level` is not a level name.
pub fn init(level: &str) -> Result<(), LevelError> {
    set_level(level)
}

/// Changes the log level of the running process.
///
/// # Errors
/// When `level` is not a level name.
pub fn set_level(level: &str) -> Result<(), LevelError> {
    logger().set_level_filter(parse_level(level)?);
    Ok(())
}

/// Returns the name of the lowest level that is logged, or `off`.
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

/// Waits up to 300 ms until all events are written; call it before the process exits.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        // Events that the reader doesn't accept in time are lost.
        let _timed_out = output.flush_within(FLUSH_TIMEOUT);
    }
}

/// Logs to `target` instead of the standard output stream, for tests.
///
/// Returns `false` when the process's logger is already initialized.
pub fn capture<W: io::Write + Send + Sync + 'static>(target: W) -> bool {
    let sink = WriteSink::builder()
        .target(target)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink without options can be built");
    LOGGER.set(build_logger(sink)).is_ok()
}

fn logger() -> &'static Arc<Logger> {
    LOGGER.get_or_init(|| {
        let output = OUTPUT.get_or_init(|| {
            BackgroundWriter::spawn(io::stdout()).expect("a process can start its first threads")
        });
        let sink = WriteSink::builder()
            .target(output.clone())
            .formatter(PairFormatter)
            .error_handler(ErrorHandler::new(|_error| {}))
            .build_arc()
            .expect("a sink without options can be built");
        build_logger(sink)
    })
}

fn build_logger(sink: Arc<dyn Sink>) -> Arc<Logger> {
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        // A failed write of the log can't be reported anywhere else.
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

/// Prefixes each line of pairs with the `ts` and `level` pairs.
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
