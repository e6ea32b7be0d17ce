//! Calls through real processes that are killed, frozen or stopped, and through engines that crash.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use pistachiolug_bench::rig::{
    deployment::{Deployment, PAID_KEY, Size},
    operator::weights,
};
use pistachiolug_http::client::Client;
use pistachiolug_standin::{engine::answer, plain::Run};
use pistachiolug_wire::{digest::Digest, outcome};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of checks of a condition before the test fails.
const MAX_CHECKS: u32 = 600;

/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum accepted size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Size of the model's weights.
const WEIGHTS_BYTES: usize = 100_000;

/// Starts a deployment and waits until each entry answers calls.
async fn deployment(models: usize, plains: usize, entries: usize) -> Deployment {
    let size = Size {
        models,
        plains,
        entries,
        slots: 16,
        engine_args: ["--gap-ms", "20"].map(str::to_owned).to_vec(),
        origin_rate: 0,
        weights_bytes: WEIGHTS_BYTES,
    };
    let deployment = Deployment::start(&size).await.expect("deployment starts");
    deployment.prepare("v1").await.expect("lists are in force");
    for entry in callers(&deployment) {
        warm_up(&deployment, entry, models > 0).await;
    }
    deployment
}

/// Returns the addresses of the entries for callers.
fn callers(deployment: &Deployment) -> Vec<SocketAddr> {
    let entries = deployment.entries.iter();
    entries.filter_map(|entry| entry.callers).collect()
}

/// Sends calls until one is answered, because the entry and its agents have read the lists.
async fn warm_up(deployment: &Deployment, entry: SocketAddr, has_models: bool) {
    for _ in 0..MAX_CHECKS {
        let reply = if has_models {
            generate(entry, &prompt("warm", 1)).await
        } else {
            send(
                entry,
                Method::GET,
                "/services/booking/stock",
                None,
                Bytes::new(),
            )
            .await
        };
        if reply.status() == StatusCode::OK {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!(
        "no call was answered, logs in {}",
        deployment.folder().display()
    );
}

/// Sends a request of a paying customer, with an idempotency key if one is given.
async fn send(
    entry: SocketAddr,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: Bytes,
) -> Response<Bytes> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {PAID_KEY}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(body).expect("request is well formed");
    let sent = Client::new(0)
        .fetch(request, MAX_ANSWER_BYTES, CALL_TIMEOUT)
        .await;
    sent.expect("entry answers")
}

/// Sends a booking, which is not idempotent, with an idempotency key.
async fn book(entry: SocketAddr, key: &str) -> Response<Bytes> {
    let path = "/services/booking/orders";
    send(
        entry,
        Method::POST,
        path,
        Some(key),
        Bytes::from_static(b"{}"),
    )
    .await
}

/// Sends a generation.
async fn generate(entry: SocketAddr, body: &str) -> Response<Bytes> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    send(entry, Method::POST, "/v1/chat/completions", None, body).await
}

/// Returns the body of a generation with a prompt and a number of tokens.
fn prompt(text: &str, tokens: u32) -> String {
    json!({ "model": "pasta", "messages": [{ "content": text }], "max_tokens": tokens }).to_string()
}

/// Returns the outcome that the answer states, or `none`.
fn outcome_of(reply: &Response<Bytes>) -> &str {
    let outcome = reply.headers().get(outcome::HEADER);
    outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}

/// Asserts that the answer of a generation is complete and correct.
fn assert_complete(reply: &Response<Bytes>, body: &str) {
    assert_eq!(reply.status(), StatusCode::OK, "{:?}", reply.body());
    let parsed: Value = serde_json::from_slice(reply.body()).expect("answer is JSON");
    let weights = Digest::of(&weights("v1", WEIGHTS_BYTES));
    let expected = answer::full_text(&weights, body.as_bytes());
    assert_eq!(parsed["choices"][0]["message"]["content"], expected);
}

/// Sets the duration of each call at all plain services.
async fn set_delay(deployment: &Deployment, delay_ms: u32) {
    for agent in &deployment.agents {
        let backend = agent.backend.expect("agents have backend servers");
        let path = format!("/control/delay?ms={delay_ms}");
        let sent = deployment.http.send(Method::POST, backend, &path, None, "");
        sent.await.expect("plain service answers");
    }
}

/// Returns the number of runs of an idempotency key at each agent.
async fn count_runs(deployment: &Deployment, key: &str) -> Vec<usize> {
    let mut counts = Vec::new();
    for agent in &deployment.agents {
        let backend = agent.backend.expect("agents have backend servers");
        let sent = deployment
            .http
            .send(Method::GET, backend, "/control/record", None, "");
        let reply = sent.await.expect("plain service answers");
        let runs: Vec<Run> = serde_json::from_slice(reply.body()).expect("record is JSON");
        let matching = runs.iter().filter(|run| run.key.as_deref() == Some(key));
        counts.push(matching.count());
    }
    counts
}

/// Waits until a call with the key runs, and returns the index of its agent.
async fn wait_for_run(deployment: &Deployment, key: &str) -> usize {
    for _ in 0..MAX_CHECKS {
        let runs = count_runs(deployment, key).await;
        if let Some(index) = runs.iter().position(|count| *count > 0) {
            return index;
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!(
        "the call never ran, logs in {}",
        deployment.folder().display()
    );
}

/// Nobody knows whether the booking of a killed agent was carried out. A send of the same key must not run it again,
/// also through another entry, and another key must not be affected.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_agent_was_killed_stays_unknown_and_runs_once() {
    let mut deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    set_delay(&deployment, 3_000).await;
    let first = tokio::spawn(book(entries[0], "k"));
    let index = wait_for_run(&deployment, "k").await;

    deployment.agents[index].process.kill().expect("agent ends");
    let first = first.await.expect("entry answers");
    set_delay(&deployment, 1).await;
    let again = [book(entries[0], "k").await, book(entries[1], "k").await];
    let other = book(entries[1], "other").await;

    assert_eq!(outcome_of(&first), "unknown");
    for reply in &again {
        assert_eq!(outcome_of(reply), "unknown", "{:?}", reply.body());
    }
    assert_eq!(outcome_of(&other), "answered", "{:?}", other.body());
    assert_eq!(count_runs(&deployment, "k").await.iter().sum::<usize>(), 1);
}

/// A caller that retries through another entry while its first call runs must not book twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_through_two_entries_at_once_runs_once() {
    let deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    set_delay(&deployment, 100).await;
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();

    for key in &keys {
        let (one, two) = tokio::join!(book(entries[0], key), book(entries[1], key));

        assert_eq!(outcome_of(&one), "answered", "{key}: {:?}", one.body());
        assert_eq!(outcome_of(&two), "answered", "{key}: {:?}", two.body());
        assert_eq!(one.body(), two.body(), "{key}");
        let runs = count_runs(&deployment, key).await;
        assert_eq!(runs.iter().sum::<usize>(), 1, "{key}");
    }
}

/// Another agent must not run the booking while its agent is frozen, and the agent must not run it again when it
/// continues.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_at_a_frozen_agent_runs_at_most_once() {
    let deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    set_delay(&deployment, 500).await;
    let first = tokio::spawn(book(entries[0], "k"));
    let index = wait_for_run(&deployment, "k").await;
    let frozen_agent = &deployment.agents[index].process;

    frozen_agent.signal("STOP").expect("signal is sent");
    let first = first.await.expect("entry answers");
    let meanwhile = book(entries[1], "k").await;
    frozen_agent.signal("CONT").expect("signal is sent");
    let later = book(entries[1], "k").await;

    assert_ne!(outcome_of(&first), "not-run", "the booking ran");
    assert_ne!(outcome_of(&meanwhile), "not-run", "the booking ran");
    assert_ne!(outcome_of(&later), "not-run", "the booking ran");
    assert_eq!(count_runs(&deployment, "k").await.iter().sum::<usize>(), 1);
}

/// A planned stop of an agent must not be visible to callers: running calls end at it or continue elsewhere, and new
/// calls go to another agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_completes_its_answers_and_exits_with_success() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = callers(&deployment)[0];
    let bodies: Vec<String> = (0..6)
        .map(|call| prompt(&format!("call {call}"), 100))
        .collect();
    let calls: Vec<_> = bodies
        .iter()
        .map(|body| {
            let body = body.clone();
            tokio::spawn(async move { generate(entry, &body).await })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;

    let stopping = &mut deployment.agents[0].process;
    stopping.signal("TERM").expect("signal is sent");
    let after = prompt("after", 5);
    let after_reply = generate(entry, &after).await;

    assert_complete(&after_reply, &after);
    for (call, body) in calls.into_iter().zip(&bodies) {
        assert_complete(&call.await.expect("entry answers"), body);
    }
    let mut ended = None;
    for _ in 0..MAX_CHECKS {
        ended = deployment.agents[0]
            .process
            .try_wait()
            .expect("process is a child of the test");
        if ended.is_some() {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

/// A request that crashes each engine that runs it would otherwise end all of them one after the other through retries.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_ends_at_most_two_engines_and_other_calls_are_answered() {
    let mut deployment = deployment(3, 0, 2).await;
    let entries = callers(&deployment);
    let bodies: Vec<String> = (0..6)
        .map(|call| prompt(&format!("call {call}"), 150))
        .collect();
    let other_calls: Vec<_> = bodies
        .iter()
        .zip(entries.iter().copied().cycle())
        .map(|(body, entry)| {
            let body = body.clone();
            tokio::spawn(async move { generate(entry, &body).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    let crashing = prompt("crash-the-server", 5);

    for round in 0..2 {
        for entry in &entries {
            let reply = generate(*entry, &crashing).await;
            assert_ne!(outcome_of(&reply), "answered", "round {round}");
        }
    }

    for (call, body) in other_calls.into_iter().zip(&bodies) {
        assert_complete(&call.await.expect("entry answers"), body);
    }
    let mut crashed_count = 0;
    for agent in &mut deployment.agents {
        let engine = agent.backend_process.as_mut().expect("agents have engines");
        crashed_count += usize::from(
            engine
                .try_wait()
                .expect("process is a child of the test")
                .is_some(),
        );
    }
    assert!(
        (1..=2).contains(&crashed_count),
        "{crashed_count} engines crashed"
    );
}
