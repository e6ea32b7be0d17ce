//! Compares policies of choice on the same arrivals and measures subsets at 380 entries and 690 agents.
//!
//! `cargo run --release -p pistachiolug_routing --example choice`

#![allow(clippy::print_stdout)]

mod fleet;

use std::time::Instant;

use fleet::{Fleet, Policy, Size};

const ARRIVALS: u64 = 150_000;
const SEED: u64 = 7;
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
            let seen = fleet::run(&SIZE, policy, utilization, ARRIVALS, SEED);
            println!(
                "| {policy:?} | {utilization} | {:.2} | {:.0} | {:.0} | {:.3} | {:.2} |",
                seen.evenness, seen.p95_ms, seen.p99_ms, seen.hits, seen.home
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
        let mut degrees = vec![0_usize; 690];
        let subsets = Fleet::new(&size).subsets(subset);
        for agent in subsets.iter().flatten() {
            degrees[*agent] += 1;
        }
        let seen = fleet::run(&size, Policy::Affinity, 0.8, ARRIVALS, SEED);
        println!(
            "| {subset} | {} | {}/{:.1}/{} | {:.2} | {:.0} |",
            subsets[0].len(),
            degrees.iter().min().unwrap_or(&0),
            degrees.iter().sum::<usize>() as f64 / 690.0,
            degrees.iter().max().unwrap_or(&0),
            seen.evenness,
            seen.p99_ms
        );
    }
}

fn measure_churn() {
    let whole = Fleet::new(&SIZE);
    let began = Instant::now();
    let before = whole.subsets(SIZE.subset);
    let micros = began.elapsed().as_micros() as f64 / whole.entries.len() as f64;
    println!("\none subset of 690: {micros:.0} us");
    for (what, gone) in [("one agent", "agent-0-7"), ("a zone", "agent-1-")] {
        let mut fleet = Fleet::new(&SIZE);
        fleet.agents.retain(|(name, _)| {
            if gone.ends_with('-') {
                !name.starts_with(gone)
            } else {
                name != gone
            }
        });
        let after = fleet.subsets(SIZE.subset);
        let mut changed = 0;
        for (old, new) in before.iter().zip(&after) {
            let old: Vec<_> = old.iter().map(|agent| &whole.agents[*agent].0).collect();
            changed += new
                .iter()
                .filter(|agent| !old.contains(&&fleet.agents[**agent].0))
                .count();
        }
        println!(
            "{what} gone: {changed} of {} places in subsets change",
            before.iter().map(Vec::len).sum::<usize>()
        );
    }
}
