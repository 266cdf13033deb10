//! Timestamps of log lines.

use std::time::{SystemTime, UNIX_EPOCH};

const SECS_PER_DAY: u64 = 86_400;

/// Formats `at` as RFC 3339 in UTC with milliseconds; times before 1970 become 1970.
#[must_use]
pub fn utc(at: SystemTime) -> String {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let secs = since.as_secs();
    let (year, month, day) = civil_from_days(secs / SECS_PER_DAY);
    let (hour, minute, second) = (secs / 3_600 % 24, secs / 60 % 60, secs % 60);
    let millis = since.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Returns year, month and day of the Gregorian calendar, `days` after 1970-01-01.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    // Counts from 0000-03-01, so that the leap day is the last of its year.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let of_era = shifted % 146_097;
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 {
        month_index + 3
    } else {
        month_index - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
