//! Logs as JSON lines on standard output.

use mimosabay_operator::LogLevel;
use tracing_subscriber::EnvFilter;

/// Starts logging at `level` and above.
pub fn start(level: LogLevel) {
    let filter = EnvFilter::new(format!("{},h2=warn,hyper=warn", level.as_str()));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .init();
}
