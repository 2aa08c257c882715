//! Conversion of times to whole milliseconds.

/// Rounds a time down. A negative time becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn floor_ms(time_ms: f64) -> u64 {
    time_ms.max(0.0) as u64
}

/// Rounds a time up. A negative time becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn ceil_ms(time_ms: f64) -> u64 {
    time_ms.ceil().max(0.0) as u64
}

/// Converts seconds to milliseconds, rounded up. A negative time becomes 0.
pub(crate) fn seconds_to_ms(time_s: f64) -> u64 {
    ceil_ms(time_s * 1_000.0)
}
