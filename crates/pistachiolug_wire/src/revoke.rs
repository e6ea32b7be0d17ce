//! Withdrawal of a call whose connection an entry lost.

use serde::{Deserialize, Serialize};

use crate::call;

/// Asks an agent never to start a call.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Revoke {
    /// The call.
    pub call: call::Id,
}

/// Tells what the agent did about a [`Revoke`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Not started; a tombstone refuses the call should it still arrive.
    Withdrawn,
    /// Started before; the entry may join the answer.
    Started,
    /// Ended before; the entry may join and read the kept answer.
    Finished,
}
