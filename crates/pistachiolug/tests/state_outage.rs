//! Outages of the key-value service while real processes serve calls.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use pistachiolug_bench::rig::deployment::{Deployment, PAID_KEY, Size};
use pistachiolug_http::client::Client;
use pistachiolug_wire::outcome;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Maximum number of checks of a condition before the test fails.
const MAX_CHECKS: u32 = 600;

/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a deployment with two model agents, one plain agent and one entry, which serves version `v1`.
async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 1)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

/// Sends a command such as `heal` to the key-value stand-in.
async fn control_store(deployment: &Deployment, command: &str) {
    let path = format!("/control/{command}");
    let sent = deployment
        .http
        .send(Method::POST, deployment.kv, &path, None, "");
    assert!(sent.await.expect("stand-in answers").status().is_success());
}

/// Sends a generation.
async fn generate(deployment: &Deployment) -> Response<Bytes> {
    let body = json!({ "model": "pasta", "messages": [], "max_tokens": 4 }).to_string();
    let callers = deployment.entries[0].callers.expect("entry serves callers");
    let path = "/v1/chat/completions";
    let sent = deployment
        .http
        .send(Method::POST, callers, path, Some(PAID_KEY), body);
    sent.await.expect("entry answers")
}

/// Sends a booking with an idempotency key.
async fn book(deployment: &Deployment, key: &str) -> Response<Bytes> {
    let callers = deployment.entries[0].callers.expect("entry serves callers");
    let request = Request::post(format!("http://{callers}/services/booking/orders"))
        .header("authorization", format!("Bearer {PAID_KEY}"))
        .header("idempotency-key", key)
        .body(Bytes::from_static(b"{}"));
    let request = request.expect("request is well formed");
    let client = Client::new(1);
    let sent = client.fetch(request, 1 << 20, Duration::from_secs(60));
    sent.await.expect("entry answers")
}

/// Returns the number of bookings that ran at the plain service.
async fn count_runs(deployment: &Deployment) -> usize {
    let mut agents = deployment.agents.iter();
    let plain = agents.find_map(|agent| agent.backend.filter(|_| agent.service == "booking"));
    let plain = plain.expect("there is a plain service");
    let sent = deployment
        .http
        .send(Method::GET, plain, "/control/record", None, "");
    let runs: Vec<Value> =
        serde_json::from_slice(sent.await.expect("record").body()).expect("JSON");
    runs.len()
}

/// Returns the outcome that the answer states.
fn outcome_of(reply: &Response<Bytes>) -> &str {
    reply.headers()[outcome::HEADER]
        .to_str()
        .expect("outcome is text")
}

/// Without the key-value service a booking can't claim its key, so it must be refused before it runs. Generations need
/// no claim and must go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn during_an_outage_model_calls_are_answered_and_bookings_are_not_run() {
    let deployment = deployment().await;
    wait_for_outcome(&deployment, "answered").await;
    control_store(&deployment, "down?on=1").await;

    for _ in 0..10 {
        assert_eq!(outcome_of(&generate(&deployment).await), "answered");
    }
    let before = count_runs(&deployment).await;
    let refused = book(&deployment, "during").await;
    assert_eq!(outcome_of(&refused), "not-run", "{:?}", refused.body());
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(count_runs(&deployment).await, before);

    control_store(&deployment, "heal").await;
    wait_for_outcome(&deployment, "answered").await;
}

/// A process that starts during an outage would have no lists unless it got them from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_restarts_during_an_outage_gets_the_lists_of_its_peers() {
    let mut deployment = deployment().await;
    control_store(&deployment, "down?on=1").await;
    deployment.agents[0]
        .process
        .restart()
        .expect("process starts");

    for _ in 0..MAX_CHECKS {
        let internal = deployment.agents[0].internal;
        let path = "/internal/lists/revision";
        let sent = deployment.http.send(Method::GET, internal, path, None, "");
        if let Ok(reply) = sent.await {
            let report: Value = serde_json::from_slice(reply.body()).expect("JSON");
            if report["ready"] == true {
                assert_eq!(report["source"], "peers");
                return;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!("the process never got the lists of its peers");
}

/// Sends bookings with new keys until one has an outcome. Earlier ones may fail while a process has no fencing token
/// yet.
async fn wait_for_outcome(deployment: &Deployment, expected: &str) {
    for number in 0..MAX_CHECKS {
        let reply = book(deployment, &format!("{expected}-{number}")).await;
        if outcome_of(&reply) == expected {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!("no booking had the outcome {expected}");
}
