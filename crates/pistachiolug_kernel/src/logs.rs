//! Logs as JSON lines, on standard error or, with a bounded buffer, on standard output.

mod bounded;

use logforth::{
    Append,
    append::Stderr,
    layout::JsonLayout,
    record::{Level, LevelFilter},
};

/// Starts logging on standard error at a level: `error`, `warn`, `info`, `debug` or `trace`; any other text means
/// `info`.
///
/// A second call in one process has no effect.
pub fn init(level: &str) {
    start(level, Stderr::default().with_layout(JsonLayout::default()));
}

/// Starts logging on standard output at a level, without ever blocking on a slow reader.
///
/// Lines above the rate limit of their message, and lines that do not fit into the buffer, are dropped; a later line
/// gives their count. A second call in one process has no effect.
pub fn init_bounded(level: &str) {
    start(level, bounded::Bounded::start());
}

/// Starts logging through an appender at a level.
fn start(level: &str, append: impl Append) {
    let filter = match level {
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        "trace" => LevelFilter::MoreSevereEqual(Level::Trace),
        _ => LevelFilter::MoreSevereEqual(Level::Info),
    };
    // Fails only if logging was already started in this process, as in tests.
    let _ = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply();
}
