//! Ledger over a key-value service that fails: at most one run per key, whatever is lost.

use std::{collections::BTreeMap, time::Duration};

use pistachiolug_ledger::{
    claim::{Claim, Claims, Decision, Key},
    incarnation,
    ledger::{Ledger, Settings},
};
use pistachiolug_platform::kv::memory::{Faults, Memory};
use pistachiolug_wire::{
    call::{Id, Response},
    digest::Digest,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const KEYS: u32 = 6;
const AGENTS: u64 = 3;
const CALLS: u32 = 10;

fn claim(key: u32, call: u128, agent: u64) -> Claim {
    Claim {
        key: Key {
            customer: "municipality".to_owned(),
            service: "work-orders".to_owned(),
            key: format!("order {key}"),
        },
        content: Digest::of(&key.to_le_bytes()),
        call: Id(call),
        holder: agent,
        instance: format!("work-orders-{agent}"),
    }
}

fn answer() -> Response {
    Response {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "crew 4".into(),
        replayed: false,
    }
}

fn faulty() -> Faults {
    Faults {
        unavailable: 0.1,
        lost_answer: 0.2,
        lost_request: 0.1,
        yields: 4,
        ..Faults::default()
    }
}

fn settings() -> Settings {
    Settings {
        shards: 1,
        ..Settings::default()
    }
}

/// Runs calls one after another as an agent would; returns the keys whose calls ran.
async fn run_agent(ledger: Ledger<Memory>, agent: u64, seed: u64) -> Vec<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(agent));
    let mut runs = Vec::new();
    for number in 0..CALLS {
        let key = rng.random_range(0..KEYS);
        let call = u128::from(agent) << 32 | u128::from(number);
        let claim = claim(key, call, agent);
        let mut decision = ledger.claim(&claim).await;
        if decision.is_err() && rng.random_bool(0.5) {
            decision = ledger.claim(&claim).await;
        }
        if decision != Ok(Decision::Granted) {
            continue;
        }
        if rng.random_bool(0.2) {
            // An end of the release that is not certain leaves the key claimed, which is safe.
            let _ = ledger.release(&claim).await;
            continue;
        }
        runs.push(key);
        let _ = ledger.finish(&claim, &answer()).await;
    }
    runs
}

async fn run_all(seed: u64) -> Vec<u32> {
    let store = Memory::new(seed);
    store.set_faults(faulty());
    let agents: Vec<_> = (0..AGENTS)
        .map(|agent| {
            let ledger = Ledger::new(store.clone(), settings());
            tokio::spawn(run_agent(ledger, agent, seed))
        })
        .collect();
    let mut runs = Vec::new();
    for agent in agents {
        runs.extend(agent.await.expect("agents do not panic"));
    }
    runs
}

fn paused<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("runtime starts").block_on(future)
}

#[test]
fn every_key_runs_at_most_once_while_answers_are_lost() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..400)
        .cloned()
        .for_each(|seed| {
            let runs = paused(run_all(seed));

            let mut counts = BTreeMap::new();
            for key in runs {
                *counts.entry(key).or_insert(0) += 1;
            }
            assert!(counts.values().all(|count| *count == 1), "{counts:?}");
        });
}

#[tokio::test(start_paused = true)]
async fn a_claim_fails_closed_while_the_service_is_away_and_can_be_made_later() {
    let store = Memory::new(1);
    let ledger = Ledger::new(store.clone(), settings());
    store.set_faults(Faults {
        unavailable: 1.0,
        ..Faults::default()
    });

    let during = ledger.claim(&claim(1, 1, 0)).await;
    store.set_faults(Faults::default());
    let after = ledger.claim(&claim(1, 2, 0)).await;

    assert!(during.is_err());
    assert_eq!(after, Ok(Decision::Granted));
}

#[tokio::test(start_paused = true)]
async fn a_write_whose_answer_was_lost_is_recognised() {
    let store = Memory::new(1);
    let ledger = Ledger::new(store.clone(), settings());
    store.set_faults(Faults {
        lost_answer: 1.0,
        ..Faults::default()
    });

    let decision = ledger.claim(&claim(1, 1, 0)).await;

    assert_eq!(decision, Ok(Decision::Granted));
    assert_eq!(store.counts().writes, 1);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_was_paused_is_still_the_only_one() {
    let store = Memory::new(1);
    let paused = Ledger::new(store.clone(), settings());
    let other = Ledger::new(store, settings());
    assert_eq!(paused.claim(&claim(1, 1, 0)).await, Ok(Decision::Granted));

    tokio::time::sleep(Duration::from_secs(86_400)).await;
    let others = other.claim(&claim(1, 2, 1)).await;
    let own = paused.claim(&claim(1, 1, 0)).await;

    assert_eq!(others, Ok(Decision::Held(claim(1, 1, 0))));
    assert_eq!(own, Ok(Decision::Granted));
}

#[tokio::test(start_paused = true)]
async fn a_repeated_claim_that_nobody_hears_does_not_free_a_running_call() {
    let store = Memory::new(1);
    let ledger = Ledger::new(store, settings());
    assert_eq!(ledger.claim(&claim(1, 1, 0)).await, Ok(Decision::Granted));

    let repeated = claim(1, 1, 0);
    let unheard = ledger.claim(&repeated);
    drop(tokio::time::timeout(Duration::from_millis(1), unheard).await);
    tokio::time::sleep(Duration::from_secs(1)).await;

    let resend = ledger.claim(&claim(1, 2, 0)).await;
    assert_eq!(resend, Ok(Decision::Held(claim(1, 1, 0))));
}

#[tokio::test(start_paused = true)]
async fn writes_grow_with_time_and_not_with_calls() {
    let rows = [100_u32, 1_000, 4_000];
    for calls in rows {
        let store = Memory::new(1);
        let ledger = Ledger::new(store.clone(), settings());
        let start = tokio::time::Instant::now();

        let claims = (0..calls).map(|number| {
            let ledger = ledger.clone();
            let claim = claim(number, number.into(), 0);
            tokio::spawn(async move { ledger.claim(&claim).await })
        });
        let claims: Vec<_> = claims.collect();
        for claim in claims {
            // Claims that wait too long are refused, never doubled.
            let _ = claim.await.expect("claims do not panic");
        }

        let intervals = start.elapsed().as_millis() / settings().interval.as_millis();
        let writes = u128::from(store.counts().writes);
        assert!(
            writes <= 2 * (intervals + 2),
            "{calls} calls, {writes} writes"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn fencing_numbers_only_grow_while_answers_are_lost() {
    let store = Memory::new(5);
    store.set_faults(faulty());

    let mut last = 0;
    for _ in 0..200 {
        let number = incarnation::acquire(&store, "assistant-3").await;
        assert!(number > last, "{number} after {last}");
        last = number;
    }
}
