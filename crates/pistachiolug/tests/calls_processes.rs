//! Promises about calls through real processes that are killed, frozen and told to stop.

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

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// Looks at a condition before it counts as failed.
const LOOKS: u32 = 600;

/// Wait between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Length of the model's weights in bytes.
const WEIGHTS_BYTES: usize = 100_000;

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
        warm(&deployment, entry, models > 0).await;
    }
    deployment
}

fn callers(deployment: &Deployment) -> Vec<SocketAddr> {
    let entries = deployment.entries.iter();
    entries.filter_map(|entry| entry.callers).collect()
}

/// Calls until the entry and its agents have read the lists.
async fn warm(deployment: &Deployment, entry: SocketAddr, model: bool) {
    for _ in 0..LOOKS {
        let reply = if model {
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
        sleep(LOOK).await;
    }
    panic!("not ready, logs in {}", deployment.folder().display());
}

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
    let sent = Client::new(0).fetch(request, ANSWER_BYTES, PATIENCE).await;
    sent.expect("entry answers")
}

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

async fn generate(entry: SocketAddr, body: &str) -> Response<Bytes> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    send(entry, Method::POST, "/v1/chat/completions", None, body).await
}

fn prompt(text: &str, tokens: u32) -> String {
    json!({ "model": "pasta", "messages": [{ "content": text }], "max_tokens": tokens }).to_string()
}

fn outcome_of(reply: &Response<Bytes>) -> &str {
    let outcome = reply.headers().get(outcome::HEADER);
    outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}

/// Checks that a generation's answer is whole and the right one.
fn assert_whole(reply: &Response<Bytes>, body: &str) {
    assert_eq!(reply.status(), StatusCode::OK, "{:?}", reply.body());
    let parsed: Value = serde_json::from_slice(reply.body()).expect("answer is JSON");
    let weights = Digest::of(&weights("v1", WEIGHTS_BYTES));
    let expected = answer::full_text(&weights, body.as_bytes());
    assert_eq!(parsed["choices"][0]["message"]["content"], expected);
}

/// Orders all plain services to take a time for each call.
async fn delay(deployment: &Deployment, milliseconds: u32) {
    for agent in &deployment.agents {
        let backend = agent.backend.expect("agents have backend servers");
        let path = format!("/control/delay?ms={milliseconds}");
        let sent = deployment.http.send(Method::POST, backend, &path, None, "");
        sent.await.expect("plain service answers");
    }
}

/// Runs of a key by agent.
async fn runs(deployment: &Deployment, key: &str) -> Vec<usize> {
    let mut counts = Vec::new();
    for agent in &deployment.agents {
        let backend = agent.backend.expect("agents have backend servers");
        let sent = deployment
            .http
            .send(Method::GET, backend, "/control/record", None, "");
        let reply = sent.await.expect("plain service answers");
        let runs: Vec<Run> = serde_json::from_slice(reply.body()).expect("record is JSON");
        let own = runs.iter().filter(|run| run.key.as_deref() == Some(key));
        counts.push(own.count());
    }
    counts
}

/// Waits until a key runs and returns the agent's index.
async fn wait_run(deployment: &Deployment, key: &str) -> usize {
    for _ in 0..LOOKS {
        let runs = runs(deployment, key).await;
        if let Some(index) = runs.iter().position(|count| *count > 0) {
            return index;
        }
        sleep(LOOK).await;
    }
    panic!("never ran, logs in {}", deployment.folder().display());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_agent_was_killed_is_unknown_to_each_send_and_runs_once() {
    let mut deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    delay(&deployment, 3_000).await;
    let first = tokio::spawn(book(entries[0], "k"));
    let index = wait_run(&deployment, "k").await;

    deployment.agents[index].process.kill().expect("agent ends");
    let first = first.await.expect("entry answers");
    delay(&deployment, 1).await;
    let again = [book(entries[0], "k").await, book(entries[1], "k").await];
    let other = book(entries[1], "other").await;

    assert_eq!(outcome_of(&first), "unknown");
    for reply in &again {
        assert_eq!(outcome_of(reply), "unknown", "{:?}", reply.body());
    }
    assert_eq!(outcome_of(&other), "answered", "{:?}", other.body());
    assert_eq!(runs(&deployment, "k").await.iter().sum::<usize>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_sends_of_one_key_through_two_entries_get_one_runs_answer() {
    let deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    delay(&deployment, 100).await;
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();

    for key in &keys {
        let (one, two) = tokio::join!(book(entries[0], key), book(entries[1], key));

        assert_eq!(outcome_of(&one), "answered", "{key}: {:?}", one.body());
        assert_eq!(outcome_of(&two), "answered", "{key}: {:?}", two.body());
        assert_eq!(one.body(), two.body(), "{key}");
        let runs = runs(&deployment, key).await;
        assert_eq!(runs.iter().sum::<usize>(), 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_at_a_frozen_agent_runs_at_most_once() {
    let deployment = deployment(0, 2, 2).await;
    let entries = callers(&deployment);
    delay(&deployment, 500).await;
    let first = tokio::spawn(book(entries[0], "k"));
    let index = wait_run(&deployment, "k").await;
    let frozen = &deployment.agents[index].process;

    frozen.signal("STOP").expect("signal is sent");
    let first = first.await.expect("entry answers");
    let meanwhile = book(entries[1], "k").await;
    frozen.signal("CONT").expect("signal is sent");
    let later = book(entries[1], "k").await;

    assert_ne!(outcome_of(&first), "not-run", "it ran");
    assert_ne!(outcome_of(&meanwhile), "not-run", "it ran");
    assert_ne!(outcome_of(&later), "not-run", "it ran");
    assert_eq!(runs(&deployment, "k").await.iter().sum::<usize>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_cuts_no_answer_and_ends_in_order() {
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

    assert_whole(&after_reply, &after);
    for (call, body) in calls.into_iter().zip(&bodies) {
        assert_whole(&call.await.expect("entry answers"), body);
    }
    let mut ended = None;
    for _ in 0..LOOKS {
        ended = deployment.agents[0]
            .process
            .try_wait()
            .expect("child is known");
        if ended.is_some() {
            break;
        }
        sleep(LOOK).await;
    }
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadly_request_ends_at_most_two_servers_and_its_neighbours_are_answered() {
    let mut deployment = deployment(3, 0, 2).await;
    let entries = callers(&deployment);
    let bodies: Vec<String> = (0..6)
        .map(|call| prompt(&format!("call {call}"), 150))
        .collect();
    let neighbours: Vec<_> = bodies
        .iter()
        .zip(entries.iter().copied().cycle())
        .map(|(body, entry)| {
            let body = body.clone();
            tokio::spawn(async move { generate(entry, &body).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    let deadly = prompt("crash-the-server", 5);

    for round in 0..2 {
        for entry in &entries {
            let reply = generate(*entry, &deadly).await;
            assert_ne!(outcome_of(&reply), "answered", "round {round}");
        }
    }

    for (call, body) in neighbours.into_iter().zip(&bodies) {
        assert_whole(&call.await.expect("entry answers"), body);
    }
    let mut died = 0;
    for agent in &mut deployment.agents {
        let engine = agent.backend_process.as_mut().expect("agents have engines");
        died += usize::from(engine.try_wait().expect("child is known").is_some());
    }
    assert!((1..=2).contains(&died), "{died} servers died");
}
