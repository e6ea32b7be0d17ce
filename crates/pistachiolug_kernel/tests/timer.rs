//! Ticks of the timer service, mostly on a manual clock.

use std::time::Duration;

use pistachiolug_kernel::{clock::Manual, timer::Timer};

const SECOND: Duration = Duration::from_secs(1);

/// Creates a timer on a manual clock.
fn manual_timer() -> (Manual, Timer<Manual>) {
    let clock = Manual::default();
    (clock.clone(), Timer::new(clock))
}

/// A tick must not come before its time, and each period sends exactly one.
#[test]
fn ticks_follow_the_clock() {
    let (clock, timer) = manual_timer();
    let mut ticks = timer.subscribe(10 * SECOND, Duration::ZERO);

    clock.advance(9 * SECOND);
    assert_eq!(timer.fire(), Some(SECOND));
    assert!(!ticks.try_next(), "no tick is due yet");
    clock.advance(SECOND);
    assert_eq!(timer.fire(), Some(10 * SECOND));
    assert!(ticks.try_next(), "one tick is due");
    assert!(!ticks.try_next(), "a second tick came in the same period");
}

/// After a pause of the process, a burst of late ticks would run the periodic work many times in a row.
#[test]
fn missed_ticks_are_dropped() {
    let (clock, timer) = manual_timer();
    let mut ticks = timer.subscribe(SECOND, Duration::ZERO);

    clock.advance(60 * SECOND);
    timer.fire();
    timer.fire();

    assert!(ticks.try_next());
    assert!(!ticks.try_next());
}

/// Too little or too much jitter would make the period wrong.
#[test]
fn ticks_are_delayed_by_at_most_the_jitter() {
    let (_clock, timer) = manual_timer();
    let _ticks: Vec<_> = (0..64)
        .map(|_| timer.subscribe(10 * SECOND, 5 * SECOND))
        .collect();

    let first_due = timer.fire().expect("there are subscriptions");

    assert!(
        (10 * SECOND..=15 * SECOND).contains(&first_due),
        "{first_due:?}"
    );
}

/// Subscriptions that stay after their subscriber was dropped would pile up in the timer.
#[test]
fn a_dropped_subscription_ends() {
    let (_clock, timer) = manual_timer();
    drop(timer.subscribe(SECOND, Duration::ZERO));

    assert_eq!(timer.fire(), None);
}

/// The timer task waits for the next due tick. It must wake when a new subscription is due earlier than that.
#[tokio::test]
async fn a_new_subscription_wakes_the_timer_task() {
    let timer: Timer = Timer::default();
    tokio::spawn(timer.clone().run());
    let _slow = timer.subscribe(3_600 * SECOND, Duration::ZERO);
    tokio::task::yield_now().await;

    let mut fast = timer.subscribe(Duration::from_millis(1), Duration::ZERO);

    fast.next().await;
}
