//! Key=value logs and StatsD metrics.
//!
//! An event is one line of `key=value` pairs on the standard output stream. Logging never
//! blocks: see [`BackgroundWriter`].
//!
//! ```
//! use swiftlink_telemetry::event;
//!
//! let budget = "crossword";
//! event!(info, "grant.claimed", budget = budget, granted = 500);
//! ```
//!
//! writes `ts=2026-01-01T00:00:00.000Z level=info event=grant.claimed budget=crossword granted=500`.
//!
//! Modules: `line` formats and parses pairs, `log` holds the process's logger, `background`
//! writes its output, and `metrics` sends StatsD metrics.

mod background;
mod line;
mod log;
mod metrics;
mod time;

pub use background::BackgroundWriter;
pub use line::{Line, split};
pub use log::{Level, LevelError, capture, enabled, flush, init, level, set_level, write};
pub use metrics::{Metrics, Tag};
pub use time::utc;

/// Logs one event: level (`error`, `warn`, `info`, `debug` or `trace`), name, and
/// `key = value` pairs whose values implement `Display`.
///
/// The values are not evaluated when the level is disabled.
#[macro_export]
macro_rules! event {
    (error, $($rest:tt)+) => { $crate::event!(@at $crate::Level::Error, $($rest)+) };
    (warn, $($rest:tt)+) => { $crate::event!(@at $crate::Level::Warn, $($rest)+) };
    (info, $($rest:tt)+) => { $crate::event!(@at $crate::Level::Info, $($rest)+) };
    (debug, $($rest:tt)+) => { $crate::event!(@at $crate::Level::Debug, $($rest)+) };
    (trace, $($rest:tt)+) => { $crate::event!(@at $crate::Level::Trace, $($rest)+) };
    (@at $level:expr, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let level = $level;
        if $crate::enabled(level) {
            let mut line = $crate::Line::new();
            line.pair("event", &$name);
            $(line.pair(::core::stringify!($key), &$value);)*
            $crate::write(level, &line);
        }
    }};
    ($level:expr, $($rest:tt)+) => { $crate::event!(@at $level, $($rest)+) };
}
