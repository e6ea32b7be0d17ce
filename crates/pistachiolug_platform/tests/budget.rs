//! Rate budget, backoff and leases, in virtual time.

use std::time::{Duration, Instant};

use pistachiolug_platform::kv::{
    Error, Precondition, Store, Swap,
    held_lease::HeldLease,
    memory::{Faults, Memory},
    rate_limit::{CallKind, RateLimiter, Settings},
    rate_limited::RateLimitedStore,
};
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn calls_never_exceed_rate_and_burst() {
    let settings = Settings::default();
    let mut limiter = RateLimiter::new(settings);
    let mut taken = 0;
    for millisecond in 0..10_000 {
        let now = Duration::from_millis(millisecond);
        while limiter.acquire(CallKind::Write, now).is_ok() {
            taken += 1;
        }
    }

    let most = settings.burst + settings.writes_per_second * 10.0;
    assert!(f64::from(taken) <= most, "{taken}");
    assert!(f64::from(taken) > most - 2.0, "{taken}");
}

#[test]
fn failures_close_the_budget_for_longer_and_longer_up_to_a_bound() {
    let settings = Settings::default();
    let mut limiter = RateLimiter::new(settings);
    let mut now = SECOND;
    let mut waits = Vec::new();
    for _ in 0..12 {
        assert_eq!(limiter.acquire(CallKind::Read, now), Ok(()));
        limiter.record_failure(now, 1.0);
        limiter.record_failure(now, 1.0);
        let wait = limiter.acquire(CallKind::Read, now).expect_err("closed");
        waits.push(wait);
        now += wait;
    }

    assert!(waits.is_sorted());
    assert_eq!(waits[0], settings.initial_backoff);
    assert_eq!(waits.last(), Some(&settings.max_backoff));
    limiter.record_success();
    limiter.record_failure(now, 1.0);
    assert_eq!(
        limiter.acquire(CallKind::Read, now),
        Err(settings.initial_backoff)
    );
}

#[tokio::test(start_paused = true)]
async fn calls_beyond_the_budget_are_refused_at_once_with_when_to_come_back() {
    let store = Memory::new(1);
    store.set_faults(Faults {
        unavailable: 1.0,
        ..Faults::default()
    });
    let budget = RateLimitedStore::new(store.clone(), Settings::default());
    while !matches!(budget.get("k").await, Err(Error::Throttled { .. })) {}
    let calls = store.counts().reads;

    let before = tokio::time::Instant::now();
    let refused = budget.get("k").await;

    assert!(matches!(refused, Err(Error::Throttled { after }) if !after.is_zero()));
    assert_eq!(before.elapsed(), Duration::ZERO);
    assert_eq!(store.counts().reads, calls);
}

#[tokio::test(start_paused = true)]
async fn calls_without_an_answer_in_time_say_what_is_certain() {
    let store = Memory::new(1);
    store.set_faults(Faults {
        latency: 10 * SECOND,
        ..Faults::default()
    });

    let read = RateLimitedStore::new(store.clone(), Settings::default())
        .get("k")
        .await;
    let write = RateLimitedStore::new(store, Settings::default());
    let write = write
        .swap("k", Precondition::Absent, Some(b"v"), None)
        .await;

    assert!(matches!(read, Err(Error::Unavailable { .. })));
    assert!(matches!(write, Err(Error::Unknown { .. })));
}

#[tokio::test(start_paused = true)]
async fn a_lease_gives_a_paused_holder_nothing() {
    // Time that the holder is paused, whether the service has ended the lease, and whether the write may happen.
    let rows = [
        (Duration::ZERO, false, true),
        (SECOND, false, true),
        (8 * SECOND, false, false),
        (Duration::ZERO, true, false),
    ];
    for (pause, ended, written) in rows {
        let store = Memory::new(1);
        let mut hold = HeldLease::grant(&store, 10 * SECOND).await.expect("grant");
        advance(pause).await;
        if ended {
            store.expire(Instant::now() + 60 * SECOND);
        }

        let swap = hold.swap(&store, "k", Precondition::Absent, b"v").await;
        let renewed = hold.renew(&store).await;

        assert_eq!(
            matches!(swap, Ok(Swap::Done { .. })),
            written,
            "{pause:?} {ended}"
        );
        assert_eq!(renewed.is_ok(), written, "{pause:?} {ended}");
        assert_eq!(store.peek("k").is_some(), written, "{pause:?} {ended}");
    }
}
