//! Requests planned ahead of a run, so that a seed decides all of them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::arrival::Arrivals;

/// What a stream of requests asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Streamed chat completion.
    Chat,
    /// Chat completion read whole.
    ChatWhole,
    /// Booking, which may not run twice.
    Booking,
    /// Booking that the caller sends twice with one idempotency key.
    BookingTwice,
    /// Idempotent stock lookup.
    Stock,
}

/// One stream of requests in an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the customer in the sample lists: `paid` or `trial`.
    pub customer: String,
    /// Kind of its requests.
    pub kind: Kind,
    /// Requests a second.
    pub rate: f64,
    /// Start in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// End in seconds.
    pub until_s: f64,
    /// Tokens of each answer.
    #[serde(default = "default_tokens")]
    pub tokens: u32,
}

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When it is sent.
    pub at: Duration,
    /// Customer's name.
    pub customer: String,
    /// Kind.
    pub kind: Kind,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Number that makes its content unique.
    pub nonce: u64,
}

/// Plans all streams of an experiment, in order of time.
pub fn build(streams: &[Stream], seed: u64) -> Vec<PlannedRequest> {
    let mut planned: Vec<PlannedRequest> = streams
        .iter()
        .zip(seed..)
        .flat_map(|(stream, seed)| requests(stream, seed))
        .collect();
    planned.sort_by_key(|request| request.at);
    planned
}

fn requests(stream: &Stream, seed: u64) -> Vec<PlannedRequest> {
    let mut nonces = ChaCha8Rng::seed_from_u64(seed ^ u64::from(u32::MAX));
    let arrivals = Arrivals::new(
        ChaCha8Rng::seed_from_u64(seed),
        stream.rate,
        Duration::from_secs_f64(stream.from_s),
        Duration::from_secs_f64(stream.until_s),
    );
    arrivals
        .map(|at| PlannedRequest {
            at,
            customer: stream.customer.clone(),
            kind: stream.kind,
            tokens: stream.tokens,
            nonce: nonces.random(),
        })
        .collect()
}

const fn default_tokens() -> u32 {
    16
}
