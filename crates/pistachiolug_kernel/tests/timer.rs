//! Timer service on a manual clock.

use std::time::Duration;

use pistachiolug_kernel::{clock::Manual, timer::Timer};

const SECOND: Duration = Duration::from_secs(1);

fn service() -> (Manual, Timer<Manual>) {
    let clock = Manual::default();
    (clock.clone(), Timer::new(clock))
}

#[test]
fn ticks_follow_the_clock_alone() {
    let (clock, timer) = service();
    let mut ticks = timer.subscribe(10 * SECOND, Duration::ZERO);

    clock.advance(9 * SECOND);
    assert_eq!(timer.fire(), Some(SECOND));
    assert!(!ticks.try_next(), "nothing is due yet");
    clock.advance(SECOND);
    assert_eq!(timer.fire(), Some(10 * SECOND));
    assert!(ticks.try_next(), "one tick is due");
    assert!(!ticks.try_next(), "and only one");
}

#[test]
fn missed_ticks_are_not_made_up_for() {
    let (clock, timer) = service();
    let mut ticks = timer.subscribe(SECOND, Duration::ZERO);

    clock.advance(60 * SECOND);
    timer.fire();
    timer.fire();

    assert!(ticks.try_next());
    assert!(!ticks.try_next());
}

#[test]
fn jitter_stays_in_its_bounds() {
    let (_clock, timer) = service();
    let _ticks: Vec<_> = (0..64)
        .map(|_| timer.subscribe(10 * SECOND, 5 * SECOND))
        .collect();

    let first = timer.fire().expect("subscriptions are due some time");

    assert!((10 * SECOND..=15 * SECOND).contains(&first), "{first:?}");
}

#[test]
fn dropped_subscriptions_end() {
    let (_clock, timer) = service();
    drop(timer.subscribe(SECOND, Duration::ZERO));

    assert_eq!(timer.fire(), None);
}

#[tokio::test]
async fn subscriptions_added_later_wake_the_driver() {
    let timer: Timer = Timer::default();
    tokio::spawn(timer.clone().run());
    let _slow = timer.subscribe(3_600 * SECOND, Duration::ZERO);
    tokio::task::yield_now().await;

    let mut fast = timer.subscribe(Duration::from_millis(1), Duration::ZERO);

    fast.next().await;
}
