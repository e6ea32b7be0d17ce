//! Withdrawal of a call whose connection or caller an entry lost.

use serde::{Deserialize, Serialize};

use crate::call;

/// Asks an agent never to start a call; posted to `/internal/revoke`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// The call.
    pub call: call::Id,
    /// Time since the entry first tried to open the call at this agent, in milliseconds.
    ///
    /// An agent process that is younger can't know what its predecessor did and answers [`Verdict::Unknown`].
    pub age_ms: u64,
}

/// Tells an agent that the caller is gone, which frees its backend server at once; posted to `/internal/cancel`.
///
/// A started call that may not be repeated runs on. The answer is a [`Verdict`] as of a [`Revoke`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
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
    /// Will not start in this process, but an earlier process at the same address may have run it.
    Unknown,
}
