//! Fencing numbers of processes: a number that only grows, from one compare-and-swap at the start.

use std::time::Duration;

use pistachiolug_platform::kv::{Entry, Error, Expect, Store, Swap};
use pistachiolug_wire::digest::Digest;
use tokio::time::sleep;

/// Number of keys over which all instances spread, so that a restart of many rarely meets on one key.
///
/// Instances share keys, so nothing accumulates as instances are replaced.
pub const KEY_COUNT: u32 = 4096;

/// Prefix of the keys.
const PREFIX: &str = "pistachiolug/incarnations/";

/// Time over which the first tries of processes that start together are spread.
const START_SPREAD: Duration = Duration::from_secs(2);

/// First wait after a call without an answer.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Returns the key that an instance's numbers come from.
pub fn key(instance: &str) -> String {
    let digest = Digest::of(instance.as_bytes());
    let [a, b, c, d, ..] = *digest.as_bytes();
    format!("{PREFIX}{}", u32::from_le_bytes([a, b, c, d]) % KEY_COUNT)
}

/// Draws a fencing number that is larger than any drawn before, waiting for as long as the service is away.
///
/// The number is the revision of a conditional write. A write whose answer was lost counts if the key still holds this
/// call's token; a number that was drawn and not recognised is never used, which is harmless.
pub async fn acquire<S: Store>(store: &S, instance: &str) -> u64 {
    sleep(START_SPREAD.mul_f64(rand::random())).await;
    let mut wait = FIRST_WAIT;
    loop {
        match try_acquire(store, instance).await {
            Ok(number) => return number,
            Err(error) => log::warn!(instance, error:% = error; "no fencing number yet"),
        }
        sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

/// Draws a fencing number, or returns the error of the first call without an answer.
///
/// # Errors
/// Returns the service's error; the number that may have been drawn is never used.
pub async fn try_acquire<S: Store>(store: &S, instance: &str) -> Result<u64, Error> {
    let key = key(instance);
    let token = format!("{instance} {:032x}", rand::random::<u128>());
    let mut current = store.get(&key).await?;
    loop {
        let expect = expectation(current.as_ref());
        match store.swap(&key, expect, Some(token.as_bytes()), None).await {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Lost { current: newer }) => current = newer,
            Err(Error::Unknown { .. }) => current = store.get(&key).await?,
            Err(error) => return Err(error),
        }
        if let Some(entry) = current.as_ref().filter(|entry| entry.value == token) {
            return Ok(entry.revision);
        }
    }
}

/// Returns the condition under which a write replaces exactly `current`.
fn expectation(current: Option<&Entry>) -> Expect {
    current.map_or(Expect::Absent, |entry| Expect::Revision(entry.revision))
}
