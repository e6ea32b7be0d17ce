//! Claims and what the ledger answers to them.

use std::future::Future;

use pistachiolug_wire::{
    call::{Id, Response},
    digest::Digest,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Names a call that may run at most once, whoever sends it and through whichever entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Customer's name.
    pub customer: String,
    /// Service's name.
    pub service: String,
    /// Caller's idempotency key.
    pub key: String,
}

/// Wish to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Call's name.
    pub key: Key,
    /// Digest of the call's content; a different content under the same key is refused.
    pub content: Digest,
    /// Call that wants to run; the ledger's own token.
    pub call: Id,
    /// Fencing number of the claiming agent's incarnation.
    pub holder: u64,
    /// Name of the claiming agent's instance, where a resend may join the run.
    pub instance: String,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The claimant alone may run the call, and must start it before the deadline of its claim.
    Granted,
    /// Another claim holds the key and its run has not reported an end.
    Held(Claim),
    /// The call ran; its answer is kept.
    Finished(Response),
    /// The call ran or may have run, and no answer is kept.
    Spent,
    /// The key was used for another content.
    KeyReused,
}

/// Reports a claim without a certain answer; the call must not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("claim not certain: {reason}"))]
pub struct Error {
    /// Cause.
    pub reason: String,
}

/// Ledger of claims.
pub trait Claims: Clone + Send + Sync + 'static {
    /// Claims a call; asking again with the same [`Claim::call`] returns the same verdict.
    ///
    /// # Errors
    /// [`Error`] when the answer is not certain; the claim may still have been written, so the key is spent for this
    /// call's id only and a later claim with the same id recognises it as its own.
    fn claim(&self, claim: &Claim) -> impl Future<Output = Result<Decision, Error>> + Send;

    /// Records the answer of a call that was won.
    fn finish(
        &self,
        claim: &Claim,
        answer: &Response,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Gives back a won claim whose call surely never started, so that a resend may run it.
    fn release(&self, claim: &Claim) -> impl Future<Output = Result<(), Error>> + Send;
}
