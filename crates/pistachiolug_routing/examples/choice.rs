//! Simulates 380 entries and 690 agents. Compares choice policies on the same arrivals, and subsets of several sizes.
//!
//! Run it with `cargo run --release -p pistachiolug_routing --example choice`

#![allow(clippy::print_stdout)]

mod fleet;

use std::time::Instant;

use fleet::{Fleet, Policy, Size};

/// Number of calls in each simulation.
const ARRIVALS: u64 = 150_000;

/// Seed of the arrivals, so that all policies get the same ones.
const SEED: u64 = 7;

/// Size of the simulated deployment.
const SIZE: Size = Size {
    entries: 380,
    agents: [170, 150, 130, 120, 120],
    subset: 24,
};

fn main() {
    compare_policies();
    compare_subsets();
    measure_churn();
}

fn compare_policies() {
    println!(
        "| policy | utilization | max/mean | queue p95 ms | p99 ms | prefix hits | own zone |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for utilization in [0.6, 0.8, 0.9] {
        for policy in [
            Policy::Random,
            Policy::LeastOutstanding,
            Policy::TwoChoices,
            Policy::Estimate,
            Policy::Affinity,
        ] {
            let outcome = fleet::run(&SIZE, policy, utilization, ARRIVALS, SEED);
            println!(
                "| {policy:?} | {utilization} | {:.2} | {:.0} | {:.0} | {:.3} | {:.2} |",
                outcome.max_to_mean,
                outcome.p95_ms,
                outcome.p99_ms,
                outcome.hit_share,
                outcome.local_share
            );
        }
    }
}

fn compare_subsets() {
    println!(
        "\n| subset | agents per entry | entries per agent least/mean/most | max/mean at 0.8 | p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for subset in [8, 16, 24, 48] {
        let size = Size { subset, ..SIZE };
        let mut subsets_per_agent = vec![0_usize; 690];
        let subsets = Fleet::new(&size).subsets(subset);
        for agent in subsets.iter().flatten() {
            subsets_per_agent[*agent] += 1;
        }
        let outcome = fleet::run(&size, Policy::Affinity, 0.8, ARRIVALS, SEED);
        println!(
            "| {subset} | {} | {}/{:.1}/{} | {:.2} | {:.0} |",
            subsets[0].len(),
            subsets_per_agent.iter().min().unwrap_or(&0),
            subsets_per_agent.iter().sum::<usize>() as f64 / 690.0,
            subsets_per_agent.iter().max().unwrap_or(&0),
            outcome.max_to_mean,
            outcome.p99_ms
        );
    }
}

fn measure_churn() {
    let full_fleet = Fleet::new(&SIZE);
    let started = Instant::now();
    let before = full_fleet.subsets(SIZE.subset);
    let micros = started.elapsed().as_micros() as f64 / full_fleet.entries.len() as f64;
    println!("\none subset of 690: {micros:.0} us");
    for (label, removed) in [("one agent", "agent-0-7"), ("a zone", "agent-1-")] {
        let mut fleet = Fleet::new(&SIZE);
        fleet.agents.retain(|(name, _)| {
            if removed.ends_with('-') {
                !name.starts_with(removed)
            } else {
                name != removed
            }
        });
        let after = fleet.subsets(SIZE.subset);
        let mut added = 0;
        for (old, new) in before.iter().zip(&after) {
            let old: Vec<_> = old
                .iter()
                .map(|agent| &full_fleet.agents[*agent].0)
                .collect();
            added += new
                .iter()
                .filter(|agent| !old.contains(&&fleet.agents[**agent].0))
                .count();
        }
        println!(
            "{label} removed: {added} of {} subset members change",
            before.iter().map(Vec::len).sum::<usize>()
        );
    }
}
