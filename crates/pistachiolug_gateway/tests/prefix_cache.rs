//! Prompt prefixes that servers may hold: estimates, what ends them, and when they are weighed.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue};
use pistachiolug_gateway::{
    pool::{Choice, Pool, Requirements},
    prefix_cache::{Evidence, Expectation, Holdings, Match, Phase, Prompt},
    server::Record,
};
use pistachiolug_wire::{
    datagram::{Change, Notice},
    position::Position,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::{MODEL, POSITION, SERVICE, engine, location, names, record};

const NOW: Duration = Duration::from_secs(100);

/// Tokens after which an estimate ends in tests of [`Holdings`].
const RANGE: u64 = 10_000;

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn prompt(parts: &[(&str, u32)]) -> Prompt {
    let parts = parts.iter().map(|(id, tokens)| (*id, Some(*tokens)));
    Prompt::new(MODEL, parts)
}

fn held(holdings: &Holdings, prompt: &Prompt, now: Duration) -> u32 {
    holdings.find(prompt, Duration::ZERO, RANGE, now).tokens
}

/// Guards against savings for tokens that differ, and against growing sessions that are not recognized. Each row is a prompt
/// after `[("a", 800), ("s", 200)]` was read, and the tokens of it that are held.
#[test]
fn the_longest_common_prefix_is_found() {
    let rows: [(&[(&str, u32)], u32); 8] = [
        (&[("a", 800), ("s", 200)], 1000),
        (&[("a", 800), ("s", 700)], 1000),
        (&[("a", 800), ("s", 150)], 950),
        (&[("a", 800), ("s", 200), ("t", 50)], 1000),
        (&[("a", 800), ("t", 200)], 800),
        (&[("a", 700), ("s", 200)], 700),
        (&[("s", 200), ("a", 800)], 0),
        (&[], 0),
    ];
    let mut holdings = Holdings::default();
    holdings.record(&prompt(&[("a", 800), ("s", 200)]), 0, NOW);
    for (parts, expected) in rows {
        let tokens = held(&holdings, &prompt(parts), NOW);

        assert_eq!(tokens, expected, "{parts:?}");
    }
}

/// Guards against a prefix of one model that counts as held for another.
#[test]
fn prefixes_of_models_are_kept_apart() {
    let mut holdings = Holdings::default();
    holdings.record(&prompt(&[("a", 800)]), 0, NOW);

    let other = Prompt::new("other", [("a", Some(800))]);

    assert_eq!(held(&holdings, &other, NOW), 0);
}

/// Guards against malformed sizes that shift the parts behind them, and against sizes that overflow.
#[test]
fn a_chain_ends_before_a_part_without_a_valid_size() {
    let rows = [
        ("a:800,s:200", 1000),
        (" A : 800 , s:200", 1000),
        ("a:800,s:200,x", 1000),
        ("a:800,x,s:200", 800),
        ("a:800,x:-1,s:200", 800),
        ("a:800,x:0", 800),
        ("a:800,x:4294967295", 800),
        ("x:4294967296", 0),
        ("", 0),
    ];
    for (value, expected) in rows {
        let mut headers = HeaderMap::new();
        headers.insert(names().prefix, HeaderValue::from_str(value).unwrap());

        let prompt = Prompt::from_headers(&headers, &names(), MODEL);

        assert_eq!(prompt.tokens(), expected, "{value}");
        assert_eq!(prompt.is_empty(), expected == 0, "{value}");
    }
}

/// Guards against estimates that outlive what the server holds: too old, evicted, or of models that it no longer has.
#[test]
fn estimates_end_with_age_tokens_and_models() {
    let wanted = prompt(&[("a", 800), ("s", 200)]);
    let mut holdings = Holdings::default();
    holdings.record(&wanted, 0, NOW);
    let find = |holdings: &Holdings, since, at| holdings.find(&wanted, since, RANGE, at).tokens;
    let later = NOW + Duration::from_secs(119);

    assert_eq!(find(&holdings, Duration::ZERO, later), 1000);
    assert_eq!(
        find(&holdings, Duration::ZERO, later + Duration::from_secs(1)),
        0
    );
    assert_eq!(find(&holdings, NOW, later), 0);
    for index in 0..10 {
        let id = format!("other-{index}");
        holdings.record(&prompt(&[(&id, 1000)]), 0, NOW);
    }
    assert_eq!(find(&holdings, Duration::ZERO, NOW), 1000);
    holdings.record(&prompt(&[("last", 1)]), 0, NOW);
    assert_eq!(find(&holdings, Duration::ZERO, NOW), 0);
}

/// Guards against a prefix in constant use that counts as evicted by what the server need not read again.
#[test]
fn held_tokens_do_not_evict_others() {
    let wanted = prompt(&[("a", 800)]);
    let mut holdings = Holdings::default();
    holdings.record(&wanted, 0, NOW);
    for _ in 0..100 {
        holdings.record(&prompt(&[("b", 500)]), 500, NOW);
    }

    let found = holdings.find(&wanted, Duration::ZERO, RANGE, NOW);

    assert_eq!((found.tokens, found.distance), (800, 0));
}

/// Guards against memory that grows with what callers send.
#[test]
fn the_remembered_boundaries_are_bounded() {
    let mut holdings = Holdings::default();
    for index in 0..2000 {
        let (id, at) = (index.to_string(), NOW + Duration::from_millis(index));
        holdings.record(&prompt(&[(&id, 1)]), 0, at);
    }

    assert_eq!(holdings.count(), 512);
    let at = NOW + Duration::from_secs(2);
    assert_eq!(held(&holdings, &prompt(&[("1999", 1)]), at), 1);
    assert_eq!(held(&holdings, &prompt(&[("1", 1)]), at), 0);
}

/// How the engines of one row answer.
#[derive(Debug, Clone, Copy)]
struct Behavior {
    /// Share of the reading time of held prefixes that is saved.
    saved: f64,
    /// Factor of the real reading time by the stated one.
    reading: f64,
    /// Tokens of the largest held prefixes.
    held_tokens: f64,
}

/// Records `count` times to first events; about every tenth request has a held prefix. Returns the phases in order, without
/// repetitions, and the last time.
fn measure(
    evidence: &mut Evidence,
    behavior: Behavior,
    count: usize,
    from: Duration,
) -> (Vec<&'static str>, Duration) {
    let mut random = random();
    let mut phases = vec![evidence.phase(from).as_str()];
    let mut now = from;
    for _ in 0..count {
        now += Duration::from_millis(50);
        let prompt_ms = random.random_range(10.0..60.0);
        let is_held = random.random_bool(0.1);
        let largest_ms: f64 = behavior.held_tokens / 30.0;
        let held_ms = if is_held {
            largest_ms.min(prompt_ms * random.random_range(0.5..1.0))
        } else {
            0.0
        };
        let wait_ms = prompt_ms + 50.0;
        let noise_ms = random.random_range(-40.0..40.0);
        let read_ms = (prompt_ms - behavior.saved * held_ms) * behavior.reading;
        let expectation = Expectation {
            held: Match {
                tokens: (held_ms * 30.0) as u32,
                ..Match::default()
            },
            held_ms,
            prompt_ms,
            wait_ms,
            slowdown: 1.0,
            ..Expectation::default()
        };
        evidence.record(&expectation, read_ms + 50.0 + noise_ms, now);
        let phase = evidence.phase(now).as_str();
        if phases.last() != Some(&phase) {
            phases.push(phase);
        }
    }
    (phases, now)
}

/// Guards against savings that are weighed without being real, among them those of engines that only read faster or slower
/// than stated, and against real ones that are never found.
#[test]
fn a_service_weighs_prefixes_only_if_its_servers_keep_them() {
    let behavior = |saved, reading, held_tokens| Behavior {
        saved,
        reading,
        held_tokens,
    };
    let rows = [
        (behavior(1.0, 1.0, 2000.0), "weighing"),
        (behavior(1.0, 1.3, 2000.0), "weighing"),
        (behavior(0.0, 1.0, 2000.0), "resting"),
        (behavior(0.0, 0.5, 2000.0), "resting"),
        (behavior(0.0, 2.0, 2000.0), "resting"),
        (behavior(0.0, 1.0, 40.0), "resting"),
        (behavior(1.0, 1.0, 40.0), "resting"),
    ];
    for (behavior, expected) in rows {
        let mut evidence = Evidence::default();

        let (phases, _) = measure(&mut evidence, behavior, 3000, NOW);

        assert_eq!(phases, ["testing", expected], "{behavior:?}");
    }
}

/// Guards against a decision that outlasts a change of the engines, in either direction.
#[test]
fn a_service_whose_servers_change_is_tested_again() {
    let keeps = Behavior {
        saved: 1.0,
        reading: 1.0,
        held_tokens: 2000.0,
    };
    let keeps_nothing = Behavior {
        saved: 0.0,
        ..keeps
    };
    let mut evidence = Evidence::default();

    let (found, at) = measure(&mut evidence, keeps, 3000, NOW);
    let share = evidence.share();
    let (lost, at) = measure(&mut evidence, keeps_nothing, 6000, at);
    let after = evidence.share();
    let (found_again, _) = measure(
        &mut evidence,
        keeps,
        3000,
        at + Duration::from_secs(2 * 60 * 60),
    );

    assert_eq!(found, ["testing", "weighing"]);
    assert!((0.25..1.0).contains(&share), "{share}");
    assert_eq!(lost.first(), Some(&"weighing"));
    assert_eq!(lost.last(), Some(&"resting"), "{lost:?}");
    assert!(after <= 0.0, "{after}");
    assert_eq!(found_again, ["testing", "weighing"]);
}

/// Guards against rests that are too short to be rare: each is twice as long as the one before, up to two hours.
#[test]
fn rests_grow_longer_while_nothing_is_found() {
    let keeps_nothing = Behavior {
        saved: 0.0,
        reading: 1.0,
        held_tokens: 40.0,
    };
    let mut evidence = Evidence::default();
    let mut now = NOW;
    let mut rests = Vec::new();
    for _ in 0..7 {
        let (_, at) = measure(&mut evidence, keeps_nothing, 2048, now);
        let Phase::Resting(until) = evidence.phase(at) else {
            panic!("no rest: {:?}", evidence.phase(at));
        };
        rests.push(until.saturating_sub(at).as_secs() / 60);
        now = until;
    }

    assert_eq!(rests, [5, 10, 20, 40, 80, 120, 120]);
}

fn numbered(index: u8) -> Record {
    let address = format!("10.0.0.{index}:80").parse().unwrap();
    record(&format!("i-{index}"), address)
}

fn requirements(prompt: &Prompt) -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        prompt_tokens: 3000,
        prompt: prompt.clone(),
        ..Requirements::default()
    }
}

fn choose(pool: &Pool, requirements: &Requirements, random: &mut ChaCha8Rng) -> Option<Choice> {
    pool.choose(
        requirements,
        Some(&engine()),
        &location(),
        NOW + Duration::from_secs(1),
        random,
    )
}

fn session() -> Prompt {
    prompt(&[("a", 2000), ("s", 1000)])
}

/// Records the time to the first event of a request at a server.
fn record_time(pool: &mut Pool, record: Record, expectation: &Expectation, taken_ms: f64) {
    let choice = Choice {
        pace: 1.0,
        record,
        expected_wait_ms: 100.0,
        calls: 0,
        chosen_at: NOW,
        send_before: None,
    };
    pool.record_prefix_time(&Arc::from(SERVICE), &choice, expectation, taken_ms, NOW);
}

/// Returns a pool of eight servers that are known to keep prefixes, of which `i-1` holds [`session`].
fn pool_with_holder() -> Pool {
    let mut pool = Pool::default();
    for index in 1..=8 {
        pool.put(numbered(index), POSITION, Duration::ZERO);
    }
    let mut random = random();
    for index in 0..400 {
        let prompt_ms = random.random_range(10.0..60.0);
        let held_ms = if index % 4 == 0 { prompt_ms * 0.8 } else { 0.0 };
        let expectation = Expectation {
            held_ms,
            prompt_ms,
            wait_ms: prompt_ms + 50.0,
            slowdown: 1.0,
            ..Expectation::default()
        };
        let noise_ms = random.random_range(-5.0..5.0);
        let taken_ms = prompt_ms - held_ms + 50.0 + noise_ms;
        record_time(&mut pool, numbered(8), &expectation, taken_ms);
    }
    let read = Expectation {
        prompt: session(),
        prompt_ms: 100.0,
        wait_ms: 150.0,
        slowdown: 1.0,
        ..Expectation::default()
    };
    record_time(&mut pool, numbered(1), &read, 150.0);
    pool
}

/// Returns how many of 200 requests with the held prefix go to the server that holds it.
fn count_at_holder(pool: &Pool) -> usize {
    let requirements = requirements(&session());
    let mut random = random();
    let choices = (0..200).filter_map(|_| choose(pool, &requirements, &mut random));
    choices.filter(|choice| &*choice.record.id == "i-1").count()
}

/// Guards against a holder that the random sample misses, and against preferences for a server that has since slowed down,
/// filled up, restarted, got another version, begun to drain, or left the list.
#[test]
fn the_holder_of_a_prefix_is_preferred_while_it_holds_it_and_answers_sooner() {
    type Event = fn(&mut Pool);
    let rows: [(&str, Event, std::ops::RangeInclusive<usize>); 8] = [
        ("nothing", |_| {}, 200..=200),
        (
            "some work",
            |pool| pool.start_request("i-1", 900),
            200..=200,
        ),
        ("much work", |pool| pool.start_request("i-1", 5000), 0..=0),
        (
            "slow",
            |pool| {
                for _ in 0..30 {
                    let slowdown = pool.get("i-1").unwrap().slowdown();
                    pool.update_slowdown("i-1", 10.0 * slowdown, 150.0);
                }
            },
            0..=0,
        ),
        (
            "restarted",
            |pool| {
                let restarted = Record {
                    started_ms: 2,
                    ..numbered(1)
                };
                pool.put(restarted, Position::without_era(2), NOW);
            },
            0..=60,
        ),
        (
            "another version",
            |pool| {
                let notice = Notice {
                    server: numbered(1).address,
                    started: 1,
                    model: MODEL.to_owned(),
                    change: Change::Holds { version: 2 },
                };
                assert!(pool.apply_notice(&notice, NOW));
            },
            0..=60,
        ),
        (
            "draining",
            |pool| {
                pool.record_draining(&numbered(1));
            },
            0..=0,
        ),
        (
            "gone",
            |pool| {
                pool.schedule_removal("i-1", NOW);
                assert_eq!(pool.remove_expired(NOW).len(), 1);
            },
            0..=0,
        ),
    ];
    for (name, event, expected) in rows {
        let mut pool = pool_with_holder();
        event(&mut pool);

        let count = count_at_holder(&pool);

        assert!(expected.contains(&count), "{name}: {count}");
    }
}

/// Guards against a shared part that draws all requests to one of the servers that hold it.
#[test]
fn holders_of_the_same_part_share_its_requests() {
    let mut pool = pool_with_holder();
    let shared = Expectation {
        prompt: prompt(&[("a", 2000)]),
        prompt_ms: 70.0,
        wait_ms: 120.0,
        slowdown: 1.0,
        ..Expectation::default()
    };
    for index in 2..=8 {
        record_time(&mut pool, numbered(index), &shared, 120.0);
    }
    let wanted = requirements(&prompt(&[("a", 2000), ("other", 1000)]));
    let mut random = random();
    let mut counts = [0; 9];
    for _ in 0..800 {
        let choice = choose(&pool, &wanted, &mut random).unwrap();
        let index: usize = choice.record.id[2..].parse().unwrap();
        counts[index] += 1;
    }

    assert!(
        counts[1..].iter().all(|count| (50..150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a feature that changes placements where servers keep nothing: not for prompts with short shared parts, not
/// during a rest, and not for requests without parts.
#[test]
fn nothing_changes_where_nothing_can_be_saved() {
    type Prepare = fn(&mut Pool);
    let short = prompt(&[("a", 40), ("s", 900)]);
    let rows: [(&str, Prepare, Prompt); 3] = [
        ("without times", |_| {}, session()),
        (
            "short shared part",
            |pool| {
                let read = Expectation {
                    prompt: prompt(&[("a", 40), ("other", 900)]),
                    prompt_ms: 30.0,
                    wait_ms: 80.0,
                    slowdown: 1.0,
                    ..Expectation::default()
                };
                for index in 1..=8 {
                    record_time(pool, numbered(index), &read, 80.0);
                }
            },
            short,
        ),
        (
            "rest",
            |pool| {
                let read = Expectation {
                    prompt: session(),
                    prompt_ms: 100.0,
                    wait_ms: 150.0,
                    slowdown: 1.0,
                    ..Expectation::default()
                };
                for index in (0..8).cycle().take(2048) {
                    record_time(pool, numbered(1 + index), &read, 150.0);
                }
                let evidence = pool.prefix_evidence(SERVICE).unwrap();
                assert_eq!(evidence.phase(NOW).as_str(), "resting");
            },
            session(),
        ),
    ];
    for (name, prepare, prompt) in rows {
        let mut pool = Pool::default();
        for index in 1..=8 {
            pool.put(numbered(index), POSITION, Duration::ZERO);
        }
        prepare(&mut pool);
        let chosen = |prompt: &Prompt| {
            let (requirements, mut random) = (requirements(prompt), random());
            let choices = (0..300).map(|_| choose(&pool, &requirements, &mut random));
            choices
                .map(|choice| choice.map(|choice| choice.record.id))
                .collect::<Vec<_>>()
        };

        assert_eq!(chosen(&prompt), chosen(&Prompt::default()), "{name}");
    }
}
