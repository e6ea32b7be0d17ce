//! Plan of the requests of a run; the seed of the experiment determines all of them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::arrival::Arrivals;

/// Kind of the requests of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Streamed chat completion.
    Chat,
    /// Chat completion that is not streamed.
    ChatWhole,
    /// Booking with an idempotency key, which may run only once.
    Booking,
    /// Booking that the caller sends twice with the same idempotency key.
    BookingTwice,
    /// Idempotent stock lookup.
    Stock,
}

/// Stream of requests of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the customer in the sample lists: `paid` or `trial`.
    pub customer: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Start in seconds since the start of the load.
    #[serde(default)]
    pub from_s: f64,
    /// End in seconds since the start of the load.
    pub until_s: f64,
    /// Number of tokens of each answer; only for chats.
    #[serde(default = "default_tokens")]
    pub tokens: u32,
}

/// Request with its planned time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Planned time since the start of the run.
    pub at: Duration,
    /// Name of the customer.
    pub customer: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of tokens of the answer.
    pub tokens: u32,
    /// Number that makes the content and the idempotency key of the request unique.
    pub nonce: u64,
}

/// Plans the requests of all streams and returns them in order of time.
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
