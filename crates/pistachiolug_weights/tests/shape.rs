//! Rate controllers of transfers.

use pistachiolug_weights::shaping::{
    Controller, MIN_SHARE, Sample, TARGET_SHARE, aimd::Aimd, logistic::Logistic,
};

fn load(calls: f64, transfers: f64) -> Sample {
    Sample {
        total: calls + transfers,
        transfers,
    }
}

/// Runs a controller for `rounds` intervals under a constant share of calls and returns its last share.
fn settle<C: Controller>(controller: &mut C, calls: f64, rounds: u32) -> f64 {
    let mut share = controller.update(Sample::default());
    for _ in 0..rounds {
        share = controller.update(load(calls, share));
    }
    share
}

/// A share of zero would stop a rollout; a share above the target would leave no room for calls.
#[test]
fn share_stays_between_the_minimum_and_the_target() {
    for calls in [0.0, 0.3, 0.9, 1.0, 5.0] {
        for rounds in [1, 10, 1000] {
            let shares = [
                settle(&mut Aimd::default(), calls, rounds),
                settle(&mut Logistic::default(), calls, rounds),
            ];

            assert!(
                shares
                    .iter()
                    .all(|share| (MIN_SHARE..=TARGET_SHARE).contains(share)),
                "{shares:?}"
            );
        }
    }
}

/// A controller that settles too high slows calls down, and one that settles too low slows transfers down.
#[test]
fn logistic_controller_converges_to_the_share_left_by_calls() {
    for calls in [0.1, 0.4, 0.7] {
        let share = settle(&mut Logistic::default(), calls, 200);

        assert!(
            (share - (TARGET_SHARE - calls)).abs() < 0.05,
            "{calls}: {share}"
        );
    }
}

/// After a long burst of calls the factor is very small. Without a lower bound it would take very long to grow again.
#[test]
fn logistic_controller_recovers_after_a_burst() {
    let mut controller = Logistic::default();
    let busy = settle(&mut controller, 2.0, 500);

    let quiet = settle(&mut controller, 0.1, 20);

    assert!((busy - MIN_SHARE).abs() < 1e-9);
    assert!(quiet > 0.6, "{quiet}");
}
