//! Measures writes and waiting times of the ledger at several rates of claims, in virtual time on a store with 4 ms
//! latency.
//!
//! `cargo run --release -p pistachiolug_ledger --example claims`

#![allow(clippy::print_stdout)]

use std::time::Duration;

use pistachiolug_ledger::{
    claim::{Claim, Claims, Decision, Key},
    ledger::{Ledger, Settings},
};
use pistachiolug_platform::kv::{
    memory::{Faults, Memory},
    rate_limit,
    rate_limited::RateLimitedStore,
};
use pistachiolug_wire::{call::Id, digest::Digest};
use tokio::time::{Instant, sleep};

/// Duration of one measurement in seconds.
const DURATION_S: u64 = 20;

/// Latency of every call of the store.
const LATENCY: Duration = Duration::from_millis(4);

fn main() {
    println!(
        "agents claims/s won refused writes/s writes/s/shard KB/write mean_wait_ms max_wait_ms"
    );
    for (agents, rate) in [
        (1, 1),
        (1, 10),
        (1, 100),
        (1, 1_000),
        (3, 100),
        (3, 1_000),
        (20, 1_000),
    ] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(measure(agents, rate)),
            Err(error) => println!("{error}"),
        }
    }
}

/// Prints one row of the table for a number of agents and a total rate of claims per second.
async fn measure(agents: u64, rate: u64) {
    let store = Memory::new(1);
    store.set_faults(Faults {
        latency: LATENCY,
        ..Faults::default()
    });
    let ledgers: Vec<_> = (0..agents)
        .map(|_| {
            let budget = RateLimitedStore::new(store.clone(), rate_limit::Settings::default());
            Ledger::new(budget, Settings::default())
        })
        .collect();
    let mut calls = Vec::new();
    for number in 0..rate * DURATION_S {
        let ledger = ledgers[(number % agents) as usize].clone();
        let claim = claim(number, number % agents);
        calls.push(tokio::spawn(async move {
            let start = Instant::now();
            (ledger.claim(&claim).await, start.elapsed())
        }));
        sleep(Duration::from_secs(1) / rate as u32).await;
    }
    let mut waits = Vec::new();
    let mut refused = 0;
    for call in calls {
        match call.await {
            Ok((Ok(Decision::Granted), wait)) => waits.push(wait),
            _ => refused += 1,
        }
    }
    let counts = store.counts();
    let won = waits.len().max(1);
    let mean = waits.iter().sum::<Duration>() / won as u32;
    let max = waits.iter().max().copied().unwrap_or_default();
    let writes = counts.writes as f64 / DURATION_S as f64;
    println!(
        "{agents} {rate} {won} {refused} {writes:.1} {:.1} {:.1} {} {}",
        writes / f64::from(Settings::default().shards),
        counts.written_bytes as f64 / counts.writes.max(1) as f64 / 1e3,
        mean.as_millis(),
        max.as_millis(),
    );
}

fn claim(number: u64, agent: u64) -> Claim {
    Claim {
        key: Key {
            customer: "municipality".to_owned(),
            service: "work-orders".to_owned(),
            key: format!("order {number}"),
        },
        content: Digest::of(&number.to_le_bytes()),
        call: Id(number.into()),
        holder: agent,
        instance: format!("work-orders-{agent}"),
    }
}
