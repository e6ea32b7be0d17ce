//! JSON-lines logs on standard error.

use logforth::{append::Stderr, layout::JsonLayout, record::LevelFilter};

/// Starts logging at a level: `error`, `warn`, `info`, `debug` or `trace`.
///
/// A second call in one process changes nothing.
pub fn init(level: &str) {
    let filter = match level {
        "error" => LevelFilter::MoreSevereEqual(logforth::record::Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(logforth::record::Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(logforth::record::Level::Debug),
        "trace" => LevelFilter::MoreSevereEqual(logforth::record::Level::Trace),
        _ => LevelFilter::MoreSevereEqual(logforth::record::Level::Info),
    };
    // Fails only when logging was started before, as in tests.
    let _ = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter)
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
}
