//! Outcome that each reply states to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header that carries the [`Outcome`] of a reply.
pub const HEADER: &str = "x-pistachiolug-outcome";

/// Header that names the model version that answered.
pub const VERSION_HEADER: &str = "x-pistachiolug-version";

/// Header that carries the call id.
pub const CALL_HEADER: &str = "x-pistachiolug-call";

/// What is certain about a call when its reply is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is whole and from the version it names.
    Answered,
    /// The call did not run and never will.
    NotRun,
    /// The call may have run; the system never runs it again.
    Unknown,
}

impl Outcome {
    /// Returns the header's text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
