//! Tests of the clock of the machine.

use std::time::{Duration, Instant};

use pistachiolug_kernel::clock::{Clock, System};

const PAUSE: Duration = Duration::from_millis(30);

#[test]
fn the_clock_runs_with_the_steady_one_while_the_machine_is_awake() {
    let clock = System::default();
    let start = Instant::now();

    let before = clock.now();
    std::thread::sleep(PAUSE);
    let passed = clock.now().saturating_sub(before);

    assert!(
        passed >= PAUSE && passed <= start.elapsed(),
        "{passed:?} passed"
    );
}

#[test]
fn a_suspension_moves_all_clones_of_the_clock_and_no_timer() {
    let start = Instant::now();
    let clock = System::default();
    let clone = clock.clone();

    clock.suspend(Duration::from_secs(5));

    assert!(clone.now() >= Duration::from_secs(5));
    assert!(clone.awake_time() <= start.elapsed());
}
