//! Claims of calls and the ledger's decisions on them.

use std::future::Future;

use pistachiolug_wire::{
    call::{Id, Response},
    digest::Digest,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Identity of a call that may run at most once, no matter how often and through which entry it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Customer's name.
    pub customer: String,
    /// Service's name.
    pub service: String,
    /// Idempotency key that the caller sent.
    pub key: String,
}

/// Request for the exclusive right to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the call.
    pub key: Key,
    /// Digest of the call's content; a claim with the same key and other content is refused.
    pub content: Digest,
    /// Id of this send of the call; the ledger uses it to recognise a repeated claim.
    pub call: Id,
    /// Fencing token of the claiming process.
    pub holder: u64,
    /// Name of the claiming agent's instance, through which a resent call can join the run.
    pub instance: String,
}

/// Decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Only the claimant may run the call. The claim does not expire.
    Granted,
    /// Another claim holds the key, and its call has not finished.
    Held(Claim),
    /// The call has run; contains its response.
    Finished(Response),
    /// The call has run or may have run, and its response is not stored.
    Spent,
    /// The key was used before with other content.
    KeyReused,
}

/// Error of an operation whose outcome is unknown; after a failed claim the call must not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("claim not certain: {reason}"))]
pub struct Error {
    /// Why the outcome is unknown; callers see it in the fault message.
    pub reason: String,
}

/// Interface of the ledger.
pub trait Claims: Clone + Send + Sync + 'static {
    /// Claims a call; repeating the claim with the same [`Claim::call`] returns the same decision.
    ///
    /// # Errors
    /// Returns [`Error`] if the outcome is unknown. The claim may still have been written; a later claim with the same
    /// call id recognises it as its own, and claims with other ids are refused until it is released.
    fn claim(&self, claim: &Claim) -> impl Future<Output = Result<Decision, Error>> + Send;

    /// Records the response of a call whose claim was granted.
    ///
    /// # Errors
    /// Returns [`Error`] if it is unknown whether the response was recorded.
    fn finish(
        &self,
        claim: &Claim,
        response: &Response,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Releases a granted claim whose call has certainly not started, so that a resent call may run.
    ///
    /// # Errors
    /// Returns [`Error`] if it is unknown whether the claim was released.
    fn release(&self, claim: &Claim) -> impl Future<Output = Result<(), Error>> + Send;
}
