//! JSON-lines logs on standard error, or bounded on standard output.

mod bounded;

use logforth::{
    Append,
    append::Stderr,
    layout::JsonLayout,
    record::{Level, LevelFilter},
};

/// Starts logging on standard error at a level: `error`, `warn`, `info`, `debug` or `trace`.
///
/// A second call in one process changes nothing.
pub fn init(level: &str) {
    start(level, Stderr::default().with_layout(JsonLayout::default()));
}

/// Starts logging on standard output at a level, without ever waiting for its reader.
///
/// Lines beyond a budget a second and message, or beyond what the reader takes, are left out and counted in a later
/// line. A second call in one process changes nothing.
pub fn init_bounded(level: &str) {
    start(level, bounded::Bounded::start());
}

fn start(level: &str, append: impl Append) {
    let filter = match level {
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        "trace" => LevelFilter::MoreSevereEqual(Level::Trace),
        _ => LevelFilter::MoreSevereEqual(Level::Info),
    };
    // Fails only when logging was started before, as in tests.
    let _ = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply();
}
