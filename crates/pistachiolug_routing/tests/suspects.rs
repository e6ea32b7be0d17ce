//! Crash suspects that several processes count together.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_routing::suspect::{Limit, Suspects};
use pistachiolug_wire::digest::Digest;

const LIMIT: Limit = Limit {
    retention: Duration::from_secs(600),
    max_digests: 10,
    max_crashes: 3,
    max_reruns: 2,
    rerun_delay: Duration::from_secs(20),
};

const START: Duration = Duration::from_secs(1);

fn digest(name: &str) -> Digest {
    Digest::of(name.as_bytes())
}

/// Returns suspects that know these incarnations to have died under a content.
fn suspects_with(name: &str, incarnations: &[u64]) -> Suspects {
    let mut suspects = Suspects::with_limit(LIMIT);
    for incarnation in incarnations {
        suspects.record_crash(digest(name), *incarnation, START);
    }
    suspects
}

/// Sends what one process has found out, and what it refuses, to another.
fn exchange(from: &Suspects, to: &mut Suspects, now: Duration) {
    let reports = from.updates(Duration::ZERO, now);
    for report in reports.iter().chain(&from.refused(now)) {
        to.merge(report, now);
    }
}

/// Guards against crashes that are counted by each process alone.
#[test]
fn crashes_seen_by_several_processes_add_up_once_each() {
    let mut one = suspects_with("bad", &[1, 2]);
    let mut other = suspects_with("bad", &[2, 3]);

    exchange(&one, &mut other, START);
    exchange(&other, &mut one, START);
    exchange(&one, &mut other, START);

    for suspects in [&mut one, &mut other] {
        assert_eq!(suspects.crash_count(&digest("bad"), START), 3);
        assert!(!suspects.try_run(&digest("bad"), START));
    }
}

/// Guards against sound requests that stay suspect after an answer, or become suspect again by an old report.
#[test]
fn a_success_clears_all_crashes_known_until_then_at_all_processes() {
    let mut one = suspects_with("sound", &[1, 2]);
    let old = one.report(&digest("sound"), START).unwrap();
    let mut other = suspects_with("sound", &[2]);

    let crashes = one.record_success(&digest("sound"), START);
    one.merge(&old, START);
    exchange(&one, &mut other, START);

    assert_eq!(crashes, 2);
    for suspects in [&mut one, &mut other] {
        assert_eq!(suspects.crash_count(&digest("sound"), START), 0);
        assert_eq!(suspects.record_crash(digest("sound"), 3, START), 1);
    }
}

/// Guards against a request that crashes servers again and again through the reruns of several processes.
#[test]
fn a_refused_request_runs_again_a_few_times_at_all_processes_together() {
    let mut processes = [
        suspects_with("bad", &[1, 2, 3]),
        suspects_with("bad", &[1, 2, 3]),
    ];
    let mut runs = 0;

    // The request comes every second for an hour, to one process after the other.
    for second in 1..3600 {
        let now = START + Duration::from_secs(second);
        let [one, other] = &mut processes;
        let (asked, informed) = if second % 2 == 0 {
            (one, other)
        } else {
            (other, one)
        };
        if asked.try_run(&digest("bad"), now) {
            runs += 1;
            asked.record_crash(digest("bad"), 3 + runs, now);
        }
        exchange(asked, informed, now);
    }

    assert_eq!(runs, u64::from(LIMIT.max_reruns));
}

/// Guards against a sound request that is refused forever because it was running beside the cause of three crashes.
#[test]
fn a_refused_request_that_succeeds_in_a_rerun_runs_again() {
    let mut suspects = suspects_with("sound", &[1, 2, 3]);
    let retry_at = suspects.refused_until(&digest("sound"), START).unwrap();

    let is_tried = suspects.try_run(&digest("sound"), retry_at);
    let is_second_tried = suspects.try_run(&digest("sound"), retry_at);
    suspects.record_success(&digest("sound"), retry_at);

    assert_eq!(retry_at, START + LIMIT.rerun_delay);
    assert!(is_tried && !is_second_tried);
    assert!(suspects.try_run(&digest("sound"), retry_at));
}

/// Guards against memory that a process keeps for ever because others report it again and again.
#[test]
fn a_suspect_that_no_longer_comes_is_forgotten_by_all_processes() {
    let mut one = suspects_with("bad", &[1, 2, 3]);
    let mut other = Suspects::with_limit(LIMIT);

    for second in 0..=600 {
        let now = START + Duration::from_secs(second);
        exchange(&one, &mut other, now);
        exchange(&other, &mut one, now);
    }

    let end = START + LIMIT.retention;
    assert_eq!(one.crash_count(&digest("bad"), end), 0);
    assert_eq!(other.crash_count(&digest("bad"), end), 0);
}

/// Guards against messages of processes that only repeat what they were told.
#[test]
fn only_own_findings_and_refused_requests_are_sent() {
    let mut one = suspects_with("bad", &[1, 2]);
    let mut other = Suspects::with_limit(LIMIT);
    exchange(&one, &mut other, START);

    let repeated = other.updates(Duration::ZERO, START);
    one.record_crash(digest("bad"), 3, START);
    exchange(&one, &mut other, START);

    assert!(repeated.is_empty() && other.updates(Duration::ZERO, START).is_empty());
    assert_eq!(other.refused(START).len(), 1);
}

/// Guards against a list that is filled up with sound requests, so that the cause of the crashes is evicted.
#[test]
fn requests_with_few_crashes_do_not_evict_one_with_many() {
    let mut suspects = suspects_with("bad", &[1, 2, 3]);

    for number in 0..1000 {
        suspects.record_crash(digest(&format!("sound {number}")), number, START);
    }

    assert_eq!(suspects.iter().count(), LIMIT.max_digests);
    assert!(!suspects.try_run(&digest("bad"), START));
}

/// Guards against processes that disagree for ever because reports arrive in another order or several times.
#[test]
fn processes_agree_in_whatever_order_reports_arrive() {
    bolero::check!()
        .with_type::<(Vec<(u8, bool)>, Vec<(u8, bool)>, bool)>()
        .for_each(|(one_events, other_events, is_reversed)| {
            let mut one = replay(one_events);
            let mut other = replay(other_events);
            let (first, second) = if *is_reversed {
                (&mut other, &mut one)
            } else {
                (&mut one, &mut other)
            };

            exchange(first, second, START);
            exchange(second, first, START);

            let content = digest("content");
            assert_eq!(
                first.crash_count(&content, START),
                second.crash_count(&content, START)
            );
        });
}

/// Returns suspects after crashes of incarnations and successes of one content; a few incarnations, as in a deployment.
fn replay(events: &[(u8, bool)]) -> Suspects {
    let mut suspects = Suspects::with_limit(LIMIT);
    for (incarnation, is_success) in events {
        if *is_success {
            suspects.record_success(&digest("content"), START);
        } else {
            suspects.record_crash(digest("content"), u64::from(incarnation % 5), START);
        }
    }
    suspects
}
