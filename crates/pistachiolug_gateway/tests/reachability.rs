//! Which servers that leave the list are kept: those whose leases may have expired in an outage of the key-value service, whether
//! or not this entry has noticed it, and no others.

use std::time::Duration;

use pistachiolug_gateway::reachability::Reachability;
use pistachiolug_platform::kv;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval at which a server renews its row, and the number of intervals after which the row expires.
const RENEWAL: f64 = 1.2;
const RENEWALS: f64 = 3.0;

/// Longest wait of a watch, time for its answer, and pause after one with changes, in seconds.
const MAX_WAIT: f64 = 1.2;
const CALL_TIMEOUT: f64 = 1.0;
const BATCH_PAUSE: f64 = 0.3;

/// Interval of beacons in seconds.
const BEACON: f64 = 0.03;

/// Time in which the rows of live servers are back after an outage.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// End of a play in seconds.
const END: f64 = 40.0;

const PLAYS: u64 = 2000;

/// Outage of the service in seconds; calls get no answer, or are refused.
#[derive(Debug, Clone, Copy)]
struct Outage {
    from: f64,
    to: f64,
    is_silent: bool,
}

/// What a process that follows the service sees of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    /// Answered; the time is one at which all changes were known.
    Answered {
        complete_at: f64,
        has_changes: bool,
    },
    Failed,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns the outcomes of the calls of an entry that follows the service, by their times.
fn follow(outage: Option<Outage>, changes: &[f64], random: &mut impl Rng) -> Vec<(f64, Outcome)> {
    let mut outcomes = Vec::new();
    let mut now = random.random_range(0.0..MAX_WAIT);
    let mut backoff = 0.15;
    while now < END {
        let asked_at = now;
        let wait = random.random_range(MAX_WAIT / 2.0..MAX_WAIT);
        let change = changes.iter().copied().find(|at| *at > asked_at);
        let due = change.map_or(asked_at + wait, |at| at.min(asked_at + wait));
        let is_in = |at: f64| outage.filter(|outage| outage.from <= at && at < outage.to);
        let (answered_at, is_answered) = match (is_in(asked_at), is_in(due)) {
            (Some(outage), _) if !outage.is_silent => (asked_at + 0.005, false),
            (_, Some(outage)) if !outage.is_silent => (outage.from, false),
            (None, None) => (due, true),
            // The connection outlives the outage.
            (_, late) => {
                let until = late.or(is_in(asked_at)).map_or(due, |outage| outage.to);
                let end = asked_at + wait + CALL_TIMEOUT;
                (until.max(due).min(end), until.max(due) <= end)
            }
        };
        now = answered_at;
        if !is_answered {
            outcomes.push((now, Outcome::Failed));
            now += random.random_range(backoff / 2.0..backoff);
            backoff = (backoff * 2.0).min(0.6);
            continue;
        }
        backoff = 0.15;
        let has_changes = changes
            .iter()
            .any(|at| asked_at < *at && *at <= answered_at);
        let complete_at = if has_changes { asked_at } else { answered_at };
        let answered = Outcome::Answered {
            complete_at,
            has_changes,
        };
        outcomes.push((now, answered));
        if has_changes {
            now += BATCH_PAUSE;
        }
    }
    outcomes
}

/// Returns until when servers are kept that have left the list by a change at `removed_at`, as a process decides that follows the
/// service, with the time of the decision.
fn decide(outcomes: &[(f64, Outcome)], removed_at: f64) -> (Duration, Duration) {
    let mut store = Reachability::default();
    let failure = kv::Error::unavailable("away");
    for (at, outcome) in outcomes {
        let now = seconds(*at);
        match outcome {
            Outcome::Failed => store.record_failure(&failure, now),
            Outcome::Answered { .. } => {
                if *at >= removed_at {
                    return (store.usable_until(now), now);
                }
                store.record_success(now);
            }
        }
    }
    unreachable!("the removal is heard of");
}

/// Returns the same for a process that reads the rows from two followers, whose beacons it gets.
fn decide_by_peers(followers: &[Vec<(f64, Outcome)>; 2], removed_at: f64) -> (Duration, Duration) {
    let mut store = Reachability::default();
    let mut at = 0.0;
    let mut seen = [0, 0];
    loop {
        let now = seconds(at);
        for (follower, seen) in followers.iter().zip(&mut seen) {
            let known = follower.partition_point(|(time, _)| *time <= at);
            let news = &follower[*seen..known];
            *seen = known;
            let has_changes = news.iter().any(
                |(_, outcome)| matches!(outcome, Outcome::Answered { has_changes, .. } if *has_changes),
            );
            let last_answer = news
                .iter()
                .rev()
                .find(|(_, outcome)| *outcome != Outcome::Failed);
            if last_answer.is_some_and(|(time, _)| *time >= removed_at) {
                return (store.usable_until(now), now);
            }
            if has_changes {
                store.record_changes(now);
            }
            let complete_at =
                follower[..known]
                    .iter()
                    .rev()
                    .find_map(|(_, outcome)| match outcome {
                        Outcome::Answered { complete_at, .. } => Some(*complete_at),
                        Outcome::Failed => None,
                    });
            if let Some(complete_at) = complete_at {
                store.record_answer_to_other(seconds(complete_at));
            }
            if matches!(
                follower[..known].last(),
                Some((_, Outcome::Answered { .. }))
            ) {
                store.record_contact_of_other(now);
            }
        }
        at += BEACON;
    }
}

/// Returns when the first row of a live server expires in an outage, counted from its begin.
fn first_expiry(random: &mut impl Rng) -> f64 {
    random.random_range(0.0..RENEWAL) + RENEWAL * (RENEWALS - 1.0)
}

/// Guards against the loss of servers whose leases expired in an outage that this entry did not notice: no call of its failed, or it
/// makes none. The load: outages about as long as a lease and longer, with and without changes before.
#[test]
fn servers_whose_leases_may_have_expired_in_an_outage_are_kept() {
    for seed in 0..PLAYS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let from = random.random_range(10.0..12.0);
        let expired_at = from + first_expiry(&mut random);
        // The service is back just after, so that the outage is as short as can be, or later.
        let to = expired_at + [0.0, random.random_range(0.0..6.0)][random.random_range(0..2)];
        let outage = Outage {
            from,
            to,
            is_silent: random.random_bool(0.7),
        };
        let mut changes: Vec<f64> = (0..random.random_range(0..4))
            .map(|_| random.random_range(5.0..from))
            .collect();
        changes.push(to);
        changes.sort_by(f64::total_cmp);
        let followers = [0; 2].map(|_| follow(Some(outage), &changes, &mut random));

        let decisions = [decide(&followers[0], to), decide_by_peers(&followers, to)];

        for (until, now) in decisions {
            assert!(
                until > now + RETURN_TIME,
                "seed {seed}: {until:?} at {now:?} after {outage:?}"
            );
        }
    }
}

/// Guards against review/12: servers that have left get requests for seconds. The service answers all the while.
#[test]
fn servers_that_leave_a_calm_list_are_dropped_at_once() {
    for seed in 0..PLAYS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let removed_at = random.random_range(10.0..20.0);
        let mut changes: Vec<f64> = (0..random.random_range(0..20))
            .map(|_| random.random_range(5.0..removed_at))
            .collect();
        changes.push(removed_at);
        changes.sort_by(f64::total_cmp);
        let followers = [0; 2].map(|_| follow(None, &changes, &mut random));

        let decisions = [
            decide(&followers[0], removed_at),
            decide_by_peers(&followers, removed_at),
        ];

        for (until, now) in decisions {
            assert_eq!(until, now, "seed {seed}");
        }
    }
}

/// Guards against an entry that is refused, or cut off, while others are served: their leases have not expired.
#[test]
fn servers_that_leave_while_only_some_entries_are_served_are_dropped_at_once() {
    for seed in 0..PLAYS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let from = random.random_range(10.0..12.0);
        let outage = Outage {
            from,
            to: from + random.random_range(0.5..8.0),
            is_silent: random.random_bool(0.5),
        };
        let own = follow(Some(outage), &[outage.to], &mut random);
        let other = follow(None, &[outage.to], &mut random);
        let mut store = Reachability::default();
        let failure = kv::Error::unavailable("refused");
        let mut events: Vec<(f64, bool, Outcome)> = own
            .iter()
            .map(|(at, outcome)| (*at, true, *outcome))
            .collect();
        events.extend(other.iter().map(|(at, outcome)| (*at, false, *outcome)));
        events.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (at, is_own, outcome) in events {
            let now = seconds(at);
            match outcome {
                Outcome::Failed => store.record_failure(&failure, now),
                Outcome::Answered {
                    complete_at,
                    has_changes,
                } => {
                    // The rows are also read from the other entry.
                    if at >= outage.to && (is_own || has_changes) {
                        assert_eq!(store.usable_until(now), now, "seed {seed}: {outage:?}");
                        break;
                    }
                    if is_own {
                        store.record_success(now);
                    } else {
                        store.record_answer_to_other(seconds(complete_at));
                    }
                }
            }
        }
    }
}
