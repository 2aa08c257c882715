//! Current time, and formatting of times in UTC.

use std::time::{SystemTime, UNIX_EPOCH};

const MS_PER_S: u64 = 1_000;
const S_PER_DAY: u64 = 86_400;
const DAYS_IN_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Returns the milliseconds since 1970-01-01 by this machine's clock.
pub(crate) fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| {
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Formats a time as `YYYY-MM-DDThh:mm:ssZ`.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let seconds = unix_ms / MS_PER_S;
    let (year, month, day) = civil(seconds / S_PER_DAY);
    let second = seconds % S_PER_DAY;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day.
///
/// The computation uses years that begin in March, so that the leap day is the last day of a year.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / DAYS_IN_ERA;
    let day_of_era = days % DAYS_IN_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
