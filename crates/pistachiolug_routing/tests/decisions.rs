//! Choice of agents, subsets, prefix affinity and retry budgets.

use std::time::Duration;

use pistachiolug_routing::{
    affinity,
    choice::{self, AgentLoad, Candidate},
    retry::{Budget, MAX_SAVED_RETRIES, WindowBudget},
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

/// Returns the planned size of a deployment, with subsets of the given size.
fn planned_size(subset: usize) -> Size {
    Size {
        entries: 380,
        agents: [170, 150, 130, 120, 120],
        subset,
    }
}

fn small_size() -> Size {
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

/// Returns a load report with `calls` running calls.
fn report(calls: u32) -> Load {
    Load {
        running: calls,
        ..Load::default()
    }
}

/// Guards against a choice that ignores load: an agent in the same zone, or with the prefix in its cache, must not get
/// calls while it is avoided or much busier than another one.
#[test]
fn choice_depends_on_load_zone_avoidance_and_prefix() {
    let rows = [
        ("no candidate", vec![], None, None),
        (
            "fewest calls",
            vec![candidate(3.0, true, false), candidate(1.0, true, false)],
            None,
            Some(1),
        ),
        (
            "same zone if little busier",
            vec![candidate(2.0, true, false), candidate(1.0, false, false)],
            None,
            Some(0),
        ),
        (
            "other zone if same zone is much busier",
            vec![candidate(9.0, true, false), candidate(1.0, false, false)],
            None,
            Some(1),
        ),
        (
            "no avoided candidate",
            vec![candidate(0.0, true, true), candidate(9.0, false, false)],
            None,
            Some(1),
        ),
        (
            "avoided candidate if all are avoided",
            vec![candidate(0.0, true, true)],
            None,
            Some(0),
        ),
        (
            "preferred for the prefix if little busier",
            vec![candidate(1.0, true, false), candidate(2.0, true, false)],
            Some(1),
            Some(1),
        ),
        (
            "not preferred for the prefix if much busier",
            vec![candidate(1.0, true, false), candidate(9.0, true, false)],
            Some(1),
            Some(0),
        ),
        (
            "not preferred for the prefix if avoided",
            vec![candidate(1.0, true, false), candidate(0.0, true, true)],
            Some(1),
            Some(0),
        ),
    ];
    for (case, candidates, preferred, expected) in rows {
        let mut random = ChaCha8Rng::seed_from_u64(SEED);

        let chosen = choice::choose(&candidates, preferred, &mut random);

        assert_eq!(chosen, expected, "{case}");
    }
}

/// Guards against an agent that looks idle because its last report has expired: it is estimated at the mean load
/// instead.
#[test]
fn expired_report_is_replaced_by_the_mean_load() {
    let mut loads = [AgentLoad::default(); 3];
    loads[0].record_report(&report(30), Duration::ZERO);
    loads[1].record_report(&report(4), Duration::from_secs(100));
    loads[2].own_calls = 2;

    let estimates = choice::estimate(&loads, Duration::from_secs(100));

    assert_eq!(estimates, [4.0, 4.0, 6.0]);
}

/// Guards against counting the entry's own calls twice: the agent's report contains them too.
#[test]
fn own_calls_in_a_report_are_not_counted_twice() {
    let mut agent_load = AgentLoad::default();
    agent_load.own_calls = 3;
    agent_load.record_report(&report(5), Duration::ZERO);
    agent_load.own_calls = 4;

    let estimates = choice::estimate(&[agent_load], Duration::ZERO);

    assert_eq!(estimates, [6.0]);
}

/// Guards against retry storms: however many calls fail, retries stay at the share of first attempts, plus the burst.
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

/// Guards against hot and idle agents: plain rendezvous hashing would put some agents into far more subsets than
/// others.
#[test]
fn every_agent_is_in_enough_subsets_and_none_in_too_many() {
    let fleet = Fleet::new(&planned_size(subset::SIZE));

    let subsets = fleet.subsets(subset::SIZE);

    let mut subsets_per_agent = vec![0; fleet.agents.len()];
    for agents in &subsets {
        assert_eq!(agents.len(), subset::SIZE);
        for agent in agents {
            subsets_per_agent[*agent] += 1;
        }
    }
    assert!(
        subsets_per_agent
            .iter()
            .all(|count| (3..=27).contains(count))
    );
}

/// Guards against calls that cross zones or regions although there are enough agents nearby.
#[test]
fn subsets_prefer_the_local_zone_and_stay_in_the_region() {
    let fleet = Fleet::new(&planned_size(subset::SIZE));

    let subsets = fleet.subsets(subset::SIZE);

    for ((_, entry_place), agents) in fleet.entries.iter().zip(subsets) {
        let places: Vec<_> = agents.iter().map(|agent| &fleet.agents[*agent].1).collect();
        let local = places.iter().filter(|place| **place == entry_place).count();
        assert_eq!(local, subset::SIZE * 3 / 4);
        assert!(
            places
                .iter()
                .all(|place| place.region == entry_place.region)
        );
    }
}

/// Guards against small or duplicate subsets where zones have few or no agents and others have to fill in.
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

        for mut agents in fleet.subsets(size.subset) {
            let length = agents.len();
            agents.sort_unstable();
            agents.dedup();
            assert_eq!(agents.len(), length, "seed {seed}");
            assert_eq!(length, size.subset.min(fleet.agents.len()), "seed {seed}");
        }
    }
}

/// Guards against reshuffling: if an agent leaves, entries should not lose connections to the other agents.
#[test]
fn few_subsets_change_when_an_agent_leaves() {
    let before = Fleet::new(&planned_size(subset::SIZE));
    let mut after = Fleet::new(&planned_size(subset::SIZE));
    let removed = 7;
    after.agents.remove(removed);

    let old_subsets = before.subsets(subset::SIZE);
    let new_subsets = after.subsets(subset::SIZE);

    let name = |fleet: &Fleet, agent: &usize| fleet.agents[*agent].0.clone();
    let added: usize = old_subsets
        .iter()
        .zip(&new_subsets)
        .map(|(old, new)| {
            let old: Vec<_> = old.iter().map(|agent| name(&before, agent)).collect();
            let new_agents = new
                .iter()
                .filter(|agent| !old.contains(&name(&after, agent)));
            new_agents.count()
        })
        .sum();
    assert!(added <= 4 * 27, "{added} subset members changed");
}

/// Guards against cache misses: a conversation that grows keeps its prefix, so it must keep its preferred agent.
#[test]
fn prompts_with_the_same_prefix_prefer_the_same_agent() {
    let name_hashes: Vec<u64> = (0..8_u64)
        .map(|name| subset::hash(&name.to_le_bytes()))
        .collect();
    let prompt = vec![b'x'; 5000];

    let first = affinity::prefer(affinity::prefix(&prompt), name_hashes.iter().copied());
    let longer_prompt = [prompt, vec![b'y'; 100]].concat();
    let second = affinity::prefer(
        affinity::prefix(&longer_prompt),
        name_hashes.iter().copied(),
    );

    assert_eq!(first, second);
    assert!(first.is_some());
}

/// Guards against changes that make the choice worse than simple policies in queueing time, evenness or cache hits.
#[test]
fn choice_beats_random_and_least_outstanding_on_the_same_arrivals() {
    let simulate = |policy| fleet::run(&small_size(), policy, 0.8, 20_000, SEED);

    let [random, least_outstanding, product] =
        [Policy::Random, Policy::LeastOutstanding, Policy::Affinity].map(simulate);

    assert!(product.p99_ms < random.p99_ms, "{product:?} {random:?}");
    assert!(
        product.hit_share > least_outstanding.hit_share,
        "{product:?} {least_outstanding:?}"
    );
    assert!(
        product.max_to_mean < random.max_to_mean,
        "{product:?} {random:?}"
    );
}

/// Guards against a window that does not forget: attempts that have left it must not allow retries, and retries that
/// have left it must not use up the slack.
#[test]
fn window_allows_a_share_of_its_attempts_plus_the_slack() {
    let second = Duration::from_secs(1);
    let mut window = WindowBudget::new(10 * second);
    let spend_all = |window: &mut WindowBudget, now| {
        (0..1000)
            .filter(|_| window.try_spend(0.2, 5.0, now))
            .count()
    };
    for _ in 0..100 {
        window.record_attempt(second);
    }

    let first = spend_all(&mut window, 2 * second);
    let within_window = spend_all(&mut window, 8 * second);
    // All attempts and retries have left the window; only the slack remains.
    let after_window = spend_all(&mut window, 30 * second);

    assert_eq!((first, within_window, after_window), (25, 0, 5));
}

/// Guards against bursts at the borders of slices: the limit must hold over every span as long as the window.
#[test]
fn no_span_of_a_window_holds_more_retries_than_allowed() {
    let mut window = WindowBudget::new(Duration::from_secs(10));
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
        // One attempt every 10 ms makes 1000 in the window; they allow 200 retries, and the slack allows 5. A span can
        // touch one slice more than the window counts, which allows up to 11 more.
        assert!(within.count() <= 205 + 11, "from {first:?}");
    }
}
