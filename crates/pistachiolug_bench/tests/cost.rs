//! Allocations of the decisions, which are the same on every run, against bounds from the planned size.

use std::alloc::System;

use pistachiolug_bench::decision::{self, Fleet};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Memory that control may take at a node, in bytes.
const ALLOWANCE_BYTES: usize = 32 << 20;

fn allocations(work: impl FnOnce()) -> usize {
    let region = Region::new(ALLOCATOR);
    work();
    region.change().allocations
}

fn bytes_held<T>(work: impl FnOnce() -> T) -> (T, usize) {
    let region = Region::new(ALLOCATOR);
    let made = work();
    let change = region.change();
    (
        made,
        change
            .bytes_allocated
            .saturating_sub(change.bytes_deallocated),
    )
}

/// Runs all rows in one test: allocations of another test's thread would be counted too.
#[test]
fn decisions_stay_within_their_bounds_at_the_planned_size() {
    let few = decision::candidates(24);
    let many = decision::candidates(690);
    let near = allocations(|| decision::choose(&few, 1_000));
    let far = allocations(|| decision::choose(&many, 1_000));
    assert_eq!(
        near, far,
        "a choice allocates the same among 24 and 690 agents"
    );

    let mut short = decision::schedule(10, 10);
    let mut long = decision::schedule(1_000, 10);
    let light = allocations(|| decision::run_calls(&mut short, 10, 1_000));
    let heavy = allocations(|| decision::run_calls(&mut long, 10, 1_000));
    assert!(
        heavy <= light * 2,
        "a call allocates {light} among 10 and {heavy} among 1,000 waiting"
    );

    let (table, held) = bytes_held(|| decision::table(5_000));
    assert!(
        held * 2 <= ALLOWANCE_BYTES,
        "5,000 customers take {held} bytes"
    );
    drop(table);

    let entries = Fleet::new("entry", 380);
    let agents = Fleet::new("agent", 690);
    let ((), held) = bytes_held(|| decision::subset(&entries, &agents));
    assert_eq!(held, 0, "a subset leaves nothing behind");
}
