//! Rate limit, backoff and leases, in virtual time.

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

/// Guards against a token bucket that refills too fast, or that gains tokens whenever it is asked.
#[test]
fn calls_never_exceed_the_rate_and_the_burst() {
    let settings = Settings::default();
    let mut limiter = RateLimiter::new(settings);
    let mut taken = 0;
    for millisecond in 0..10_000 {
        let now = Duration::from_millis(millisecond);
        while limiter.acquire(CallKind::Write, now).is_ok() {
            taken += 1;
        }
    }

    let max_calls = settings.burst + settings.writes_per_second * 10.0;
    assert!(f64::from(taken) <= max_calls, "{taken}");
    assert!(f64::from(taken) > max_calls - 2.0, "{taken}");
}

/// Guards against a process that keeps calling a failing service. Two failures at the same time must count as one, and
/// a success must reset the backoff.
#[test]
fn the_backoff_grows_with_each_failure_up_to_its_maximum() {
    let settings = Settings::default();
    let mut limiter = RateLimiter::new(settings);
    let mut now = SECOND;
    let mut waits = Vec::new();
    for _ in 0..12 {
        assert_eq!(limiter.acquire(CallKind::Read, now), Ok(()));
        limiter.record_failure(now, 1.0);
        limiter.record_failure(now, 1.0);
        let wait = limiter
            .acquire(CallKind::Read, now)
            .expect_err("no call is permitted during the backoff");
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

/// Guards against calls that queue up without bound while a failing service is in backoff, or that reach it anyway.
#[tokio::test(start_paused = true)]
async fn calls_beyond_the_rate_limit_are_refused_at_once_with_the_time_to_wait() {
    let store = Memory::new(1);
    store.set_faults(Faults {
        unavailable: 1.0,
        ..Faults::default()
    });
    let limited = RateLimitedStore::new(store.clone(), Settings::default());
    while !matches!(limited.get("k").await, Err(Error::Throttled { .. })) {}
    let calls = store.counts().reads;

    let started_at = tokio::time::Instant::now();
    let refused = limited.get("k").await;

    assert!(matches!(refused, Err(Error::Throttled { after }) if !after.is_zero()));
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    assert_eq!(store.counts().reads, calls);
}

/// Guards against a timed-out write that is reported as having no effect, although the service may still execute it.
#[tokio::test(start_paused = true)]
async fn a_timed_out_read_is_unavailable_and_a_timed_out_write_has_an_unknown_effect() {
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

/// Guards against two holders of a lease: a paused process continues after its lease has expired, and writes or renews
/// as if it still held the lease.
#[tokio::test(start_paused = true)]
async fn a_paused_holder_can_neither_write_nor_renew_after_its_lease_has_expired() {
    // Duration of the pause, whether the service has ended the lease, and whether the write must succeed.
    let rows = [
        (Duration::ZERO, false, true),
        (SECOND, false, true),
        (8 * SECOND, false, false),
        (Duration::ZERO, true, false),
    ];
    for (pause, is_ended, is_written) in rows {
        let store = Memory::new(1);
        let mut lease = HeldLease::grant(&store, 10 * SECOND)
            .await
            .expect("the lease is granted");
        advance(pause).await;
        if is_ended {
            store.expire(Instant::now() + 60 * SECOND);
        }

        let swap = lease.swap(&store, "k", Precondition::Absent, b"v").await;
        let renewed = lease.renew(&store).await;

        assert_eq!(
            matches!(swap, Ok(Swap::Done { .. })),
            is_written,
            "{pause:?} {is_ended}"
        );
        assert_eq!(renewed.is_ok(), is_written, "{pause:?} {is_ended}");
        assert_eq!(
            store.peek("k").is_some(),
            is_written,
            "{pause:?} {is_ended}"
        );
    }
}
