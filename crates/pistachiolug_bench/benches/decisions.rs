//! Time of routing, scheduling and list decisions at present and planned fleet sizes.
//!
//! Run with `cargo bench -p pistachiolug_bench`.

#![allow(missing_docs)]

use divan::Bencher;
use pistachiolug_bench::decision::{self, Fleet};

fn main() {
    divan::main();
}

#[divan::bench(args = [3, 24, 690])]
fn choose_agent(bencher: Bencher, agents: usize) {
    let candidates = decision::candidates(agents);
    bencher.bench_local(|| decision::choose(&candidates, 1));
}

#[divan::bench(args = [(2, 15), (380, 690)])]
fn choose_subset(bencher: Bencher, (entries, agents): (usize, usize)) {
    let entries = Fleet::new("entry", entries);
    let agents = Fleet::new("agent", agents);
    bencher.bench_local(|| decision::subset(&entries, &agents));
}

#[divan::bench(args = [10, 100, 1_000])]
fn queue_and_start(bencher: Bencher, waiting: usize) {
    let mut schedule = decision::schedule(waiting, 10);
    bencher.bench_local(|| decision::run_calls(&mut schedule, 10, 1));
}

#[divan::bench(args = [100, 1_000, 5_000])]
fn take_list_change(bencher: Bencher, customers: usize) {
    let mut table = decision::table(customers);
    let mut revision = customers as u64;
    bencher.bench_local(|| {
        revision += 1;
        decision::apply_edit(&mut table, revision);
    });
}
