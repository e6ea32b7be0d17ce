//! Exclusions in spite of a lagging instance list.

#![allow(clippy::print_stdout)]

use std::{net::SocketAddr, time::Duration};

use pistachiolug_membership::{
    exclusion::{Cause, Exclusions, MAX_EXCLUSIONS},
    follow,
    view::View,
};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Budget of the control traffic of one node in bytes a second, at the planned size of a deployment.
const CONTROL_BYTES_PER_SECOND: usize = 13 * 1024;

fn at_ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn agent(name: &str, state: State) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        place: Place {
            region: "gauteng".to_owned(),
            zone: "midrand".to_owned(),
        },
        state,
    }
}

fn list(version: u64, names: &[&str]) -> Snapshot {
    let instances = names.iter().map(|name| agent(name, State::Live));
    Snapshot {
        version,
        instances: instances.collect(),
    }
}

/// Returns the names of the agents that get calls.
fn callable(view: &View) -> Vec<String> {
    let agents = view.agents("assistant").into_iter();
    agents.map(|agent| agent.name).collect()
}

/// Guards against calls to an instance that left or was lost, because a list that lags behind still shows it as live.
#[test]
fn lagging_list_does_not_readmit_an_excluded_instance() {
    for cause in [Cause::Left, Cause::Lost] {
        let view = View::default();
        view.replace(list(1, &["a", "b"]));

        view.exclude("a", cause);
        view.replace(list(2, &["a", "b", "c"]));
        view.replace(list(1, &["a", "b"]));

        assert_eq!(callable(&view), ["b"], "{cause:?}");
    }
}

/// Guards against dropping an exclusion too early: after a list without the instance, an older list with it may be
/// read.
#[test]
fn older_list_does_not_readmit_a_leaver_that_was_unlisted() {
    let view = View::default();
    view.replace(list(1, &["a", "b"]));
    view.exclude("a", Cause::Left);

    view.replace(list(2, &["b"]));
    view.replace(list(1, &["a", "b"]));

    assert_eq!(callable(&view), ["b"]);
}

/// Guards against ignoring an exclusion because the instance is not listed yet.
#[test]
fn instance_excluded_before_it_is_listed_gets_no_calls() {
    let view = View::default();

    view.exclude("a", Cause::Left);
    view.replace(list(1, &["a", "b"]));

    assert_eq!(callable(&view), ["b"]);
}

/// Guards against calls to an instance that the list itself shows as leaving.
#[test]
fn instances_listed_as_leaving_are_not_admitted() {
    let exclusions = Exclusions::default();

    assert!(exclusions.admits(&agent("a", State::Live)));
    assert!(!exclusions.admits(&agent("a", State::Leaving)));
}

/// Guards against routers that keep an outdated subset, because the epoch did not show them a change.
#[test]
fn new_list_and_exclusion_advance_the_epoch() {
    let view = View::default();
    let first = view.epoch();

    view.replace(list(1, &["a"]));
    let second = view.epoch();
    view.exclude("a", Cause::Lost);

    assert!(first < second && second < view.epoch());
}

/// Guards against readmission by a probe that saw the process before it left.
#[test]
fn only_a_probe_started_after_the_exclusion_readmits() {
    let rows = [
        ("before the exclusion", 50, false),
        ("at the time of the exclusion", 100, false),
        ("after the exclusion", 150, true),
    ];
    for (case, started_ms, expected) in rows {
        let mut exclusions = Exclusions::default();
        exclusions.exclude("a", Cause::Left, at_ms(100), 0.5);

        let is_readmitted = exclusions.readmit("a", at_ms(started_ms));

        assert_eq!(is_readmitted, expected, "{case}");
        assert_eq!(
            exclusions.admits(&agent("a", State::Live)),
            expected,
            "{case}"
        );
    }
}

/// Guards against readmission by a probe that was still running when the instance left.
#[test]
fn exclusion_during_a_probe_outdates_the_probe() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("a", Cause::Lost, at_ms(100), 0.5);
    let probe_started_at = at_ms(150);

    exclusions.exclude("a", Cause::Left, at_ms(160), 0.5);

    assert!(!exclusions.readmit("a", probe_started_at));
    assert_eq!(exclusions.cause("a"), Some(Cause::Left));
}

/// Guards against probing an instance that stays away at a high rate, and against never probing it again.
#[test]
fn probes_back_off_up_to_a_limit() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("a", Cause::Lost, at_ms(0), 1.0);
    let mut probes_ms = Vec::new();

    for now_ms in (0..300_000).step_by(50) {
        if !exclusions.take_due_probes(at_ms(now_ms), 1.0, 8).is_empty() {
            probes_ms.push(now_ms);
        }
    }

    let gaps: Vec<u64> = probes_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[0] <= pair[1]), "{gaps:?}");
    assert_eq!(gaps.last(), Some(&30_000));
}

/// Guards against memory that grows with every instance that ever left.
#[test]
fn exclusions_of_long_unlisted_instances_are_dropped() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("a", Cause::Left, at_ms(0), 0.5);
    exclusions.exclude("b", Cause::Left, at_ms(0), 0.5);

    exclusions.update_listed(&[agent("b", State::Live)], Duration::from_secs(3600));

    assert_eq!(exclusions.cause("a"), None);
    assert_eq!(exclusions.cause("b"), Some(Cause::Left));
}

/// Guards against memory that grows with the number of names in messages.
#[test]
fn number_of_exclusions_is_bounded() {
    let mut exclusions = Exclusions::default();

    for index in 0..2 * MAX_EXCLUSIONS {
        exclusions.exclude(&index.to_string(), Cause::Lost, at_ms(index as u64), 0.5);
    }

    assert_eq!(exclusions.len(), MAX_EXCLUSIONS);
}

/// Guards against any order of lists, late probe answers and further losses that readmits a process that has left.
#[test]
fn no_interleaving_of_lists_and_probes_readmits_a_leaver() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut exclusions = Exclusions::default();
        let mut left_at = None;
        let mut probes = Vec::new();
        let instance = agent("a", State::Live);
        for step in 1..60_u64 {
            let now = at_ms(step * 100);
            match random.random_range(0..5) {
                0 => exclusions.exclude("a", Cause::Lost, now, random.random()),
                1 if left_at.is_none() => {
                    exclusions.exclude("a", Cause::Left, now, random.random());
                    left_at = Some(now);
                }
                2 => exclusions.update_listed(std::slice::from_ref(&instance), now),
                // A probe that starts before the process leaves can succeed, and its answer can arrive after that.
                3 if left_at.is_none() => probes.push(now),
                _ => {
                    if let Some(started_at) = probes.pop() {
                        exclusions.readmit("a", started_at);
                    }
                }
            }
            assert!(
                left_at.is_none() || !exclusions.admits(&instance),
                "seed {seed}, step {step}"
            );
        }
    }
}

/// Guards against lists that use up the control traffic: during a rollout, the list may differ at every poll.
#[test]
fn changed_lists_at_the_planned_size_stay_in_the_control_budget() {
    for rows in [100, 535, 1070] {
        let names: Vec<String> = (0..rows)
            .map(|row| format!("assistant-gauteng-{row:05}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let bytes = serde_json::to_vec(&list(1, &names)).unwrap().len();

        let seconds = follow::list_pause(rows).as_secs_f64() + 1.0;

        println!("{rows} rows: {bytes} bytes, at most one list every {seconds:.1} s");
        assert!((bytes as f64) / seconds <= CONTROL_BYTES_PER_SECOND as f64 / 2.0);
    }
}
