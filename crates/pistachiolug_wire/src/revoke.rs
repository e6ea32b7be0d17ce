//! Revocation and cancellation of calls whose connection or caller an entry lost.

use serde::{Deserialize, Serialize};

use crate::call;

/// Request to an agent never to start a call; posted to `/internal/revoke`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// Id of the call.
    pub call: call::Id,
    /// Time since the entry first tried to open the call at this agent, in milliseconds.
    ///
    /// An agent process that has run for less time can't know what its predecessor did with the call. It answers
    /// [`Verdict::Unknown`].
    pub age_ms: u64,
}

/// Notice to an agent that the caller has disconnected; posted to `/internal/cancel`.
///
/// The agent stops the call, which frees its backend server. A started call that is not idempotent runs to its end. The
/// answer is a [`Verdict`], as for a [`Revoke`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the call.
    pub call: call::Id,
}

/// Answer to a [`Revoke`]: how far the call came at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The call has not started; the agent remembers its id and refuses it if it still arrives.
    Withdrawn,
    /// The call has started; the entry may join it.
    Started,
    /// The call has ended; the entry may join it to read the stored answer.
    Finished,
    /// The call will not start in this process, but an earlier process at the same address may have run it.
    Unknown,
}
