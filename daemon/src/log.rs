//! Logs as JSON lines on standard output.

use mimosabay_operator::LogLevel;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Starts logging at `level` and above, with blocking writes.
pub fn start(level: LogLevel) {
    let filter = EnvFilter::new(format!("{},h2=warn,hyper=warn", level.as_str()));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .init();
}

/// Maximum number of buffered lines; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging through a bounded queue, so that a slow reader of the output blocks no task.
///
/// Lines are lost once the returned guard is dropped. The counter counts the dropped lines.
pub fn start_without_blocking() -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped_lines = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new("info,h2=warn,hyper=warn"))
        .with_writer(writer)
        .init();
    (guard, dropped_lines)
}
