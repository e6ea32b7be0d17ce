//! Choice, subsets, affinity and the retry budget, driven exactly.

use std::time::Duration;

use pistachiolug_routing::{
    affinity,
    choice::{self, AgentLoad, Candidate},
    retry::{Budget, MAX_SAVED_RETRIES, Window},
    subset,
};
use pistachiolug_wire::load::Load;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "../examples/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{Fleet, Policy, Size};

const SEED: u64 = 7;

fn planned(subset: usize) -> Size {
    Size {
        entries: 380,
        agents: [170, 150, 130, 120, 120],
        subset,
    }
}

fn small() -> Size {
    Size {
        entries: 20,
        agents: [10, 8, 6, 6, 6],
        subset: 8,
    }
}

fn candidate(calls: f64, is_local: bool, is_avoided: bool) -> Candidate {
    Candidate {
        calls,
        is_local,
        is_avoided,
    }
}

fn load(calls: u32) -> Load {
    Load {
        running: calls,
        ..Load::default()
    }
}

#[test]
fn candidates_are_chosen_by_calls_zone_and_model() {
    let rows = [
        ("none", vec![], None, None),
        (
            "calmest",
            vec![candidate(3.0, true, false), candidate(1.0, true, false)],
            None,
            Some(1),
        ),
        (
            "own zone while little busier",
            vec![candidate(2.0, true, false), candidate(1.0, false, false)],
            None,
            Some(0),
        ),
        (
            "other zone when much calmer",
            vec![candidate(9.0, true, false), candidate(1.0, false, false)],
            None,
            Some(1),
        ),
        (
            "not one that lacks the model",
            vec![candidate(0.0, true, true), candidate(9.0, false, false)],
            None,
            Some(1),
        ),
        (
            "one that lacks it if all do",
            vec![candidate(0.0, true, true)],
            None,
            Some(0),
        ),
        (
            "prefix while little busier",
            vec![candidate(1.0, true, false), candidate(2.0, true, false)],
            Some(1),
            Some(1),
        ),
        (
            "prefix never over load",
            vec![candidate(1.0, true, false), candidate(9.0, true, false)],
            Some(1),
            Some(0),
        ),
        (
            "prefix never over a lack",
            vec![candidate(1.0, true, false), candidate(0.0, true, true)],
            Some(1),
            Some(0),
        ),
    ];
    for (name, candidates, preferred, expected) in rows {
        let mut random = ChaCha8Rng::seed_from_u64(SEED);

        let chosen = choice::choose(&candidates, preferred, &mut random);

        assert_eq!(chosen, expected, "{name}");
    }
}

#[test]
fn an_old_report_fades_into_the_usual_load() {
    let mut gauges = [AgentLoad::default(); 3];
    gauges[0].record_report(&load(30), Duration::ZERO);
    gauges[1].record_report(&load(4), Duration::from_secs(100));
    gauges[2].own_calls = 2;

    let estimates = choice::estimate(&gauges, Duration::from_secs(100));

    assert_eq!(estimates, [4.0, 4.0, 6.0]);
}

#[test]
fn own_calls_count_once_beside_a_report() {
    let mut gauge = AgentLoad::default();
    gauge.own_calls = 3;
    gauge.record_report(&load(5), Duration::ZERO);
    gauge.own_calls = 4;

    let estimates = choice::estimate(&[gauge], Duration::ZERO);

    assert_eq!(estimates, [6.0]);
}

#[test]
fn retries_stay_a_fifth_of_the_traffic() {
    let mut budget = Budget::default();
    let mut retries = 0;

    for _ in 0..1000 {
        budget.record_attempt();
        while budget.try_spend() {
            retries += 1;
        }
    }

    assert!(retries <= 200 + MAX_SAVED_RETRIES as u32, "{retries}");
    assert!(retries >= 200, "{retries}");
}

#[test]
fn every_agent_is_in_enough_subsets_and_none_in_too_many() {
    let fleet = Fleet::new(&planned(subset::SIZE));

    let subsets = fleet.subsets(subset::SIZE);

    let mut degrees = vec![0; fleet.agents.len()];
    for chosen in &subsets {
        assert_eq!(chosen.len(), subset::SIZE);
        for agent in chosen {
            degrees[*agent] += 1;
        }
    }
    assert!(degrees.iter().all(|degree| (3..=27).contains(degree)));
}

#[test]
fn subsets_prefer_the_own_zone_and_keep_to_the_region() {
    let fleet = Fleet::new(&planned(subset::SIZE));

    let subsets = fleet.subsets(subset::SIZE);

    for ((_, home), chosen) in fleet.entries.iter().zip(subsets) {
        let places: Vec<_> = chosen.iter().map(|agent| &fleet.agents[*agent].1).collect();
        let own = places.iter().filter(|place| **place == home).count();
        assert_eq!(own, subset::SIZE * 3 / 4);
        assert!(places.iter().all(|place| place.region == home.region));
    }
}

#[test]
fn subsets_have_distinct_agents_and_are_filled_at_any_size() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let size = Size {
            entries: random.random_range(1..12),
            agents: std::array::from_fn(|_| random.random_range(0..6)),
            subset: random.random_range(1..30),
        };
        let fleet = Fleet::new(&size);

        for mut chosen in fleet.subsets(size.subset) {
            let length = chosen.len();
            chosen.sort_unstable();
            chosen.dedup();
            assert_eq!(chosen.len(), length, "seed {seed}");
            assert_eq!(length, size.subset.min(fleet.agents.len()), "seed {seed}");
        }
    }
}

#[test]
fn few_subsets_change_when_an_agent_leaves() {
    let before = Fleet::new(&planned(subset::SIZE));
    let mut after = Fleet::new(&planned(subset::SIZE));
    let gone = 7;
    after.agents.remove(gone);

    let old = before.subsets(subset::SIZE);
    let new = after.subsets(subset::SIZE);

    let name = |fleet: &Fleet, agent: &usize| fleet.agents[*agent].0.clone();
    let changed: usize = old
        .iter()
        .zip(&new)
        .map(|(old, new)| {
            let old: Vec<_> = old.iter().map(|agent| name(&before, agent)).collect();
            let added = new
                .iter()
                .filter(|agent| !old.contains(&name(&after, agent)));
            added.count()
        })
        .sum();
    assert!(changed <= 4 * 27, "{changed} places changed");
}

#[test]
fn a_prompt_prefers_the_same_agent_until_that_leaves() {
    let names: Vec<u64> = (0..8_u64)
        .map(|name| subset::hash(&name.to_le_bytes()))
        .collect();
    let prompt = vec![b'x'; 5000];

    let first = affinity::prefer(affinity::prefix(&prompt), names.iter().copied());
    let longer = [prompt, vec![b'y'; 100]].concat();
    let second = affinity::prefer(affinity::prefix(&longer), names.iter().copied());

    assert_eq!(first, second);
    assert!(first.is_some());
}

#[test]
fn the_choice_beats_random_and_least_outstanding_on_the_same_arrivals() {
    let at = |policy| fleet::run(&small(), policy, 0.8, 20_000, SEED);

    let [random, least, shipped] =
        [Policy::Random, Policy::LeastOutstanding, Policy::Affinity].map(at);

    assert!(shipped.p99_ms < random.p99_ms, "{shipped:?} {random:?}");
    assert!(shipped.hits > least.hits, "{shipped:?} {least:?}");
    assert!(shipped.evenness < random.evenness, "{shipped:?} {random:?}");
}

#[test]
fn a_window_allows_a_share_of_what_it_has_seen() {
    let second = Duration::from_secs(1);
    let mut window = Window::new(10 * second);
    let spent = |window: &mut Window, now| {
        (0..1000)
            .filter(|_| window.try_spend(0.2, 5.0, now))
            .count()
    };
    for _ in 0..100 {
        window.record_attempt(second);
    }

    let at_once = spent(&mut window, 2 * second);
    let again = spent(&mut window, 8 * second);
    // Requests and retries have left the window; only the slack remains.
    let later = spent(&mut window, 30 * second);

    assert_eq!((at_once, again, later), (25, 0, 5));
}

#[test]
fn no_span_of_a_window_holds_more_retries_than_allowed() {
    let mut window = Window::new(Duration::from_secs(10));
    let mut retries: Vec<Duration> = Vec::new();
    for tick in 0..6000_u32 {
        let now = Duration::from_millis(10) * tick;
        window.record_attempt(now);
        if window.try_spend(0.2, 5.0, now) {
            retries.push(now);
        }
    }

    for (index, first) in retries.iter().enumerate() {
        let within = retries[index..]
            .iter()
            .take_while(|at| **at < *first + Duration::from_secs(10));
        // One request every 10 ms makes 1000 in the window.
        assert!(within.count() <= 205 + 11, "from {first:?}");
    }
}
