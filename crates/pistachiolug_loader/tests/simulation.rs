//! Spread of versions over hundreds of simulated agents, with the rates of the users' deployments, agents that are killed and
//! an origin that goes away. Planners and the choice of versions are the real ones; links and the origin are simulated.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod fleet;

use std::time::Duration;

use fleet::{Fault, Fleet, Size};

const MEDIUM: Size = Size {
    agents: 58,
    regions: 4,
    origin_mbps: 9.0,
};

const SMALL: Size = Size {
    agents: 19,
    regions: 3,
    origin_mbps: 15.0,
};

const SEEDS: std::ops::Range<u64> = 0..2;

/// Largest allowed multiple of the bound: the time that the origin or a link takes for all pieces.
const MAX_FACTOR: f64 = 1.3;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a distribution that leaves links idle. The load: one version, and nothing fails.
#[test]
fn one_version_spreads_in_little_more_than_the_time_of_a_link() {
    for size in [MEDIUM, SMALL] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(size, seed);
            fleet.announce(2, Duration::ZERO);

            fleet.run(seconds(9.7));

            let bound = fleet.bound(seconds(9.7));
            let held = fleet.held_everywhere_at(2).unwrap();
            let copies = fleet.origin_copies();
            println!(
                "seed {seed} {size:?}: held after {held:?}, bound {bound:?}, {copies:.2} copies"
            );
            assert!(held <= bound.mul_f64(MAX_FACTOR), "{held:?} {bound:?}");
            assert!(copies <= 1.1, "{copies}");
            assert_eq!(fleet.late_loads(), 0, "loads after the deadline");
        }
    }
}

/// Guards against servers without a valid version. The load: a second version 0.2 s to 5 s after the first one, 8 in 100
/// agents killed for 0.5 s while the first one spreads, and the origin away for 6 s right after that.
#[test]
fn an_older_version_that_has_left_the_origin_is_loaded_while_the_origin_is_away() {
    for size in [MEDIUM, SMALL] {
        for gap in [1.5, 2.0, 3.0, 5.0] {
            for seed in SEEDS {
                let mut fleet = Fleet::new(size, seed);
                fleet.announce(2, Duration::ZERO);
                fleet.announce(3, seconds(gap));
                fleet.schedule(Fault::Kill { share: 0.08 }, seconds(1.6), seconds(2.1));
                fleet.schedule(Fault::OriginAway, seconds(2.9), seconds(8.9));

                fleet.run(seconds(gap + 9.7));

                let loaded = fleet.loaded_share(2, seconds(9.7));
                println!("seed {seed} gap {gap} {size:?}: {loaded:.2} loaded in time");
                assert!(loaded > 0.99, "{loaded}");
            }
        }
    }
}

/// Guards against a newest version that is begun late. The load: as above; the bound counts from the origin's return.
#[test]
fn the_newest_version_spreads_as_soon_as_the_origin_is_back() {
    for size in [MEDIUM, SMALL] {
        for gap in [0.2, 2.0, 3.0, 5.0] {
            for seed in SEEDS {
                let mut fleet = Fleet::new(size, seed);
                fleet.announce(2, Duration::ZERO);
                fleet.announce(3, seconds(gap));
                fleet.schedule(Fault::Kill { share: 0.08 }, seconds(1.6), seconds(2.1));
                fleet.schedule(Fault::OriginAway, seconds(2.9), seconds(8.9));

                fleet.run(seconds(14.0));

                let bound = fleet.bound(Duration::ZERO);
                let held = fleet.held_everywhere_at(3).unwrap();
                let taken = held.saturating_sub(seconds(8.9));
                println!(
                    "seed {seed} gap {gap} {size:?}: {taken:?} after the return, bound {bound:?}"
                );
                assert!(taken <= bound.mul_f64(MAX_FACTOR), "{taken:?} {bound:?}");
                assert!(fleet.origin_copies() <= 2.2, "{}", fleet.origin_copies());
            }
        }
    }
}
