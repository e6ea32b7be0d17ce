//! Requests that crash each server that runs them, before several entries.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::config::Kind;

use support::{
    deployment::{CRASHING_BODY, Deployment},
    request, run,
};

/// Number of entries that callers reach.
const ENTRIES: u8 = 3;

/// Number of servers of the service.
const SERVERS: u8 = 6;

/// Pause of a caller before it comes again to the next entry.
const PAUSE: Duration = Duration::from_millis(250);

/// Number of times that the caller of a crashing request comes.
const ATTEMPTS: usize = 9;

/// Largest number of sends of one crashing request: three that crash servers, and three retries after that.
const MAX_SENDS: usize = 6;

/// Returns a request that crashes servers; each attempt of a caller has another id and the same content.
fn crashing_request(attempt: usize) -> String {
    request(&format!("c{attempt}")).replace("plate", CRASHING_BODY)
}

/// Guards against a request that crashes one server after another because each entry and attempt starts counting anew.
#[test]
fn a_request_that_crashes_servers_is_not_sent_on_after_the_third_crash() {
    let rows = [(Kind::Idempotent, 2), (Kind::Stream, 2), (Kind::Once, 1)];

    let sends = rows.map(|(kind, attempts)| (kind, count_sends(kind, attempts)));

    let is_bounded = |(_, sends): &(Kind, usize)| (3..=MAX_SENDS).contains(sends);
    assert!(sends.iter().all(is_bounded), "{sends:?}");
}

/// Returns how often a crashing request reaches servers whose caller comes again and again, to each entry in turn.
fn count_sends(kind: Kind, attempts: u32) -> usize {
    run(async move {
        let deployment = Deployment::start(kind, attempts, ENTRIES, SERVERS).await;
        for attempt in 0..ATTEMPTS {
            deployment.call(attempt, &crashing_request(attempt)).await;
            tokio::time::sleep(PAUSE).await;
        }
        deployment.arrivals(CRASHING_BODY)
    })
}
