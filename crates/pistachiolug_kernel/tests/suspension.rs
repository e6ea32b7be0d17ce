//! Tests of the detection of suspensions.

use std::time::Duration;

use pistachiolug_kernel::suspension::Detector;

const TICK: Duration = Duration::from_millis(30);

/// Looks at the clocks at a tick after each of these suspensions; returns what is reported.
fn detect(suspensions: &[Duration]) -> Vec<Option<Duration>> {
    let (mut now, mut awake) = (Duration::from_secs(9), Duration::from_secs(4));
    let mut detector = Detector::new(now, awake);
    let detections = suspensions.iter().map(|suspension| {
        now += TICK + *suspension;
        awake += TICK;
        detector.detect(now, awake)
    });
    detections.collect()
}

#[test]
fn each_suspension_is_reported_once() {
    let suspensions = [0, 5000, 0, 700, 0].map(Duration::from_millis);

    let reported = detect(&suspensions);

    let expected = [None, Some(5000), None, Some(700), None];
    assert_eq!(
        reported,
        expected.map(|length| length.map(Duration::from_millis))
    );
}

#[test]
fn short_suspensions_add_up() {
    let suspensions = [4, 4, 4, 0].map(Duration::from_millis);

    let reported = detect(&suspensions);

    let expected = [None, None, Some(Duration::from_millis(12)), None];
    assert_eq!(reported, expected);
}

#[test]
fn a_pause_between_the_two_reads_is_no_suspension() {
    let now = Duration::from_secs(9);
    let mut detector = Detector::new(now, now);

    let paused = detector.detect(now + TICK, now + 100 * TICK);
    let after = detector.detect(now + 101 * TICK, now + 101 * TICK);

    assert_eq!((paused, after), (None, None));
}
