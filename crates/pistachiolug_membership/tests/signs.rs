//! Direct signs against a lagging instance list.

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

/// Budget of a node's control traffic in bytes a second, from the planned size.
const CONTROL_BYTES_PER_SECOND: usize = 13 * 1024;

fn at(millis: u64) -> Duration {
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

fn callable(view: &View) -> Vec<String> {
    let agents = view.agents("assistant").into_iter();
    agents.map(|agent| agent.name).collect()
}

#[test]
fn a_lagging_list_never_revives_a_barred_instance() {
    for cause in [Cause::Left, Cause::Lost] {
        let view = View::default();
        view.replace(list(1, &["a", "b"]));

        view.exclude("a", cause);
        view.replace(list(2, &["a", "b", "c"]));
        view.replace(list(1, &["a", "b"]));

        assert_eq!(callable(&view), ["b"], "{cause:?}");
    }
}

#[test]
fn an_older_list_does_not_revive_a_leaver_that_was_gone() {
    let view = View::default();
    view.replace(list(1, &["a", "b"]));
    view.exclude("a", Cause::Left);

    view.replace(list(2, &["b"]));
    view.replace(list(1, &["a", "b"]));

    assert_eq!(callable(&view), ["b"]);
}

#[test]
fn a_sign_may_come_before_its_row() {
    let view = View::default();

    view.exclude("a", Cause::Left);
    view.replace(list(1, &["a", "b"]));

    assert_eq!(callable(&view), ["b"]);
}

#[test]
fn rows_marked_as_leaving_are_left_out() {
    let signs = Exclusions::default();

    assert!(signs.admits(&agent("a", State::Live)));
    assert!(!signs.admits(&agent("a", State::Leaving)));
}

#[test]
fn every_change_moves_the_epoch() {
    let view = View::default();
    let first = view.epoch();

    view.replace(list(1, &["a"]));
    let second = view.epoch();
    view.exclude("a", Cause::Lost);

    assert!(first < second && second < view.epoch());
}

#[test]
fn only_a_probe_after_the_sign_admits_again() {
    let rows = [
        ("before the sign", 50, false),
        ("with the sign", 100, false),
        ("after the sign", 150, true),
    ];
    for (name, began, expected) in rows {
        let mut signs = Exclusions::default();
        signs.exclude("a", Cause::Left, at(100), 0.5);

        let cleared = signs.readmit("a", at(began));

        assert_eq!(cleared, expected, "{name}");
        assert_eq!(signs.admits(&agent("a", State::Live)), expected, "{name}");
    }
}

#[test]
fn a_later_sign_outdates_a_probe_on_its_way() {
    let mut signs = Exclusions::default();
    signs.exclude("a", Cause::Lost, at(100), 0.5);
    let began = at(150);

    signs.exclude("a", Cause::Left, at(160), 0.5);

    assert!(!signs.readmit("a", began));
    assert_eq!(signs.cause("a"), Some(Cause::Left));
}

#[test]
fn probes_back_off_to_a_longest_wait() {
    let mut signs = Exclusions::default();
    signs.exclude("a", Cause::Lost, at(0), 1.0);
    let mut probes = Vec::new();

    for now in (0..300_000).step_by(50) {
        if !signs.take_due_probes(at(now), 1.0, 8).is_empty() {
            probes.push(now);
        }
    }

    let gaps: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[0] <= pair[1]), "{gaps:?}");
    assert_eq!(gaps.last(), Some(&30_000));
}

#[test]
fn signs_of_instances_long_gone_are_dropped() {
    let mut signs = Exclusions::default();
    signs.exclude("a", Cause::Left, at(0), 0.5);
    signs.exclude("b", Cause::Left, at(0), 0.5);

    signs.update_listed(&[agent("b", State::Live)], Duration::from_secs(3600));

    assert_eq!(signs.cause("a"), None);
    assert_eq!(signs.cause("b"), Some(Cause::Left));
}

#[test]
fn signs_are_bounded() {
    let mut signs = Exclusions::default();

    for index in 0..2 * MAX_EXCLUSIONS {
        signs.exclude(&index.to_string(), Cause::Lost, at(index as u64), 0.5);
    }

    assert_eq!(signs.len(), MAX_EXCLUSIONS);
}

#[test]
fn no_interleaving_of_lists_and_probes_revives_a_leaver() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut signs = Exclusions::default();
        let mut left = None;
        let mut probes = Vec::new();
        let instance = agent("a", State::Live);
        for step in 1..60_u64 {
            let now = at(step * 100);
            match random.random_range(0..5) {
                0 => signs.exclude("a", Cause::Lost, now, random.random()),
                1 if left.is_none() => {
                    signs.exclude("a", Cause::Left, now, random.random());
                    left = Some(now);
                }
                2 => signs.update_listed(std::slice::from_ref(&instance), now),
                // A probe that begins before the process leaves may succeed; its answer may come late.
                3 if left.is_none() => probes.push(now),
                _ => {
                    if let Some(began) = probes.pop() {
                        signs.readmit("a", began);
                    }
                }
            }
            assert!(
                left.is_none() || !signs.admits(&instance),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn whole_lists_at_the_planned_size_stay_in_the_control_budget() {
    for rows in [100, 535, 1070] {
        let names: Vec<String> = (0..rows)
            .map(|row| format!("assistant-gauteng-{row:05}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let bytes = serde_json::to_vec(&list(1, &names)).unwrap().len();

        let seconds = follow::list_pause(rows).as_secs_f64() + 1.0;

        println!("{rows} rows: {bytes} bytes, a list every {seconds:.1} s at most");
        assert!((bytes as f64) / seconds <= CONTROL_BYTES_PER_SECOND as f64 / 2.0);
    }
}
