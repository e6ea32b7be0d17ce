//! Fencing tokens of processes: increasing numbers, each acquired by one compare-and-swap when a process starts.

use std::time::Duration;

use pistachiolug_platform::kv::{Entry, Error, Precondition, Store, Swap};
use pistachiolug_wire::digest::Digest;
use tokio::time::sleep;

/// Number of keys over which the instances are hashed, so that few of them contend for a key when many restart at once.
///
/// The keys are shared, so that replaced instances leave no keys behind.
pub const KEY_COUNT: u32 = 4096;

/// Prefix of the keys that hold fencing tokens.
const PREFIX: &str = "pistachiolug/incarnations/";

/// Maximum random delay of the first attempt, so that processes that start together do not write all at once.
const MAX_START_DELAY: Duration = Duration::from_secs(2);

/// Backoff after the first failed attempt; doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Returns the key from which an instance acquires its fencing tokens.
pub fn key(instance: &str) -> String {
    let digest = Digest::of(instance.as_bytes());
    let [a, b, c, d, ..] = *digest.as_bytes();
    format!("{PREFIX}{}", u32::from_le_bytes([a, b, c, d]) % KEY_COUNT)
}

/// Acquires a fencing token that is greater than all earlier ones, retrying for as long as the key-value service fails.
///
/// The token is the revision of a conditional write. A write whose response was lost counts if the key still holds the
/// random value of this attempt; otherwise the token of that write is never used, which is harmless.
pub async fn acquire<S: Store>(store: &S, instance: &str) -> u64 {
    sleep(MAX_START_DELAY.mul_f64(rand::random())).await;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match try_acquire(store, instance).await {
            Ok(fencing_token) => return fencing_token,
            Err(error) => log::warn!(instance, error:% = error; "failed to get a fencing token"),
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Makes one attempt to acquire a fencing token.
///
/// # Errors
/// Returns the key-value service's first error; a token that the attempt may have acquired is never used.
pub async fn try_acquire<S: Store>(store: &S, instance: &str) -> Result<u64, Error> {
    let key = key(instance);
    let value = format!("{instance} {:032x}", rand::random::<u128>());
    let mut current = store.get(&key).await?;
    loop {
        let expect = expect_current(current.as_ref());
        match store.swap(&key, expect, Some(value.as_bytes()), None).await {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Lost { current: newer }) => current = newer,
            Err(Error::Unknown { .. }) => current = store.get(&key).await?,
            Err(error) => return Err(error),
        }
        if let Some(entry) = current.as_ref().filter(|entry| entry.value == value) {
            return Ok(entry.revision);
        }
    }
}

/// Returns the condition by which a write replaces exactly `current`.
fn expect_current(current: Option<&Entry>) -> Precondition {
    current.map_or(Precondition::Absent, |entry| {
        Precondition::Revision(entry.revision)
    })
}
