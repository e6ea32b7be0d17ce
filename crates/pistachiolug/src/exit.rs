//! Exit codes of the program. They are stable, because scripts depend on them, and documented in docs/OPERATIONS.md.

use std::process::ExitCode;

/// Result of a command, with its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Settings or lists are invalid.
    Findings = 1,
    /// The arguments are malformed.
    Usage = 2,
    /// A file could not be read or written, the platform or an instance could not be reached, or a daemon could not
    /// start.
    Unavailable = 3,
    /// A daemon failed while it ran, and was shut down in order.
    Failed = 4,
    /// Someone else changed a row in the meantime; it was not overwritten.
    Conflict = 5,
    /// The wait ended before its condition held.
    TimedOut = 6,
    /// The demo ran, but one of its checks failed.
    Broken = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
