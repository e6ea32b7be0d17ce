//! Bounds on the allocations of decisions at the planned fleet size. Unlike times, allocations are equal on every run.

use std::alloc::System;

use pistachiolug_bench::decision::{self, Fleet};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Memory in bytes that a process may use for lists, routing and scheduling.
const MEMORY_LIMIT_BYTES: usize = 32 << 20;

/// Returns the number of allocations of some work.
fn allocations(work: impl FnOnce()) -> usize {
    let region = Region::new(ALLOCATOR);
    work();
    region.change().allocations
}

/// Returns the result of some work and the number of bytes that stay allocated after it.
fn bytes_held<T>(work: impl FnOnce() -> T) -> (T, usize) {
    let region = Region::new(ALLOCATOR);
    let result = work();
    let change = region.change();
    (
        result,
        change
            .bytes_allocated
            .saturating_sub(change.bytes_deallocated),
    )
}

/// Guards against decisions whose cost grows with the fleet or the queue, and lists that need too much memory.
///
/// All cases are in one test, since allocations of a test in another thread would be counted, too.
#[test]
fn decisions_stay_within_their_bounds_at_the_planned_size() {
    let few = decision::candidates(24);
    let many = decision::candidates(690);
    let among_few = allocations(|| decision::choose(&few, 1_000));
    let among_many = allocations(|| decision::choose(&many, 1_000));
    assert_eq!(
        among_few, among_many,
        "a choice allocates the same among 24 and 690 agents"
    );

    let mut short = decision::schedule(10, 10);
    let mut long = decision::schedule(1_000, 10);
    let short_allocations = allocations(|| decision::run_calls(&mut short, 10, 1_000));
    let long_allocations = allocations(|| decision::run_calls(&mut long, 10, 1_000));
    assert!(
        long_allocations <= short_allocations * 2,
        "a call allocates {short_allocations} among 10 and {long_allocations} among 1,000 waiting"
    );

    let (table, held) = bytes_held(|| decision::table(5_000));
    assert!(
        held * 2 <= MEMORY_LIMIT_BYTES,
        "5,000 customers take {held} bytes"
    );
    drop(table);

    let entries = Fleet::new("entry", 380);
    let agents = Fleet::new("agent", 690);
    let ((), held) = bytes_held(|| decision::subset(&entries, &agents));
    assert_eq!(held, 0, "a subset leaves nothing behind");
}
