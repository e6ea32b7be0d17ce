//! Exit codes of the program; they are stable and documented in docs/OPERATIONS.md.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All that was asked for is done.
    Done = 0,
    /// Settings or lists have findings.
    Findings = 1,
    /// The arguments are malformed.
    Usage = 2,
    /// A file, the platform or an instance could not be reached, or a daemon not be started.
    Unavailable = 3,
    /// A daemon stopped in order after one of its services failed.
    Failed = 4,
    /// A row was changed by someone else meanwhile; nothing of it was overwritten.
    Conflict = 5,
    /// The wait ended before what was waited for.
    TimedOut = 6,
    /// The demo ran but something that it promises did not hold.
    Broken = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
