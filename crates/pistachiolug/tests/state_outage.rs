//! Key-value service away while calls go on, through real processes.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use pistachiolug_bench::rig::deployment::{Deployment, PAID_KEY, Size};
use pistachiolug_http::client::Client;
use pistachiolug_wire::outcome;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Looks at a condition before the test fails.
const LOOKS: u32 = 600;

/// Wait between two looks.
const LOOK: Duration = Duration::from_millis(100);

async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 1)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

async fn order(deployment: &Deployment, order: &str) {
    let path = format!("/control/{order}");
    let sent = deployment
        .http
        .send(Method::POST, deployment.kv, &path, None, "");
    assert!(sent.await.expect("stand-in answers").status().is_success());
}

async fn ask(deployment: &Deployment) -> Response<Bytes> {
    let body = json!({ "model": "pasta", "messages": [], "max_tokens": 4 }).to_string();
    let callers = deployment.entries[0].callers.expect("entries take callers");
    let path = "/v1/chat/completions";
    let sent = deployment
        .http
        .send(Method::POST, callers, path, Some(PAID_KEY), body);
    sent.await.expect("entry answers")
}

async fn book(deployment: &Deployment, key: &str) -> Response<Bytes> {
    let callers = deployment.entries[0].callers.expect("entries take callers");
    let request = Request::post(format!("http://{callers}/services/booking/orders"))
        .header("authorization", format!("Bearer {PAID_KEY}"))
        .header("idempotency-key", key)
        .body(Bytes::from_static(b"{}"));
    let request = request.expect("request is well formed");
    let client = Client::new(1);
    let sent = client.fetch(request, 1 << 20, Duration::from_secs(60));
    sent.await.expect("entry answers")
}

async fn runs(deployment: &Deployment) -> usize {
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

fn outcome_of(reply: &Response<Bytes>) -> &str {
    reply.headers()[outcome::HEADER]
        .to_str()
        .expect("outcome is text")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn model_calls_go_on_and_bookings_are_refused_as_not_run_while_the_service_is_away() {
    let deployment = deployment().await;
    wait_outcome(&deployment, "answered").await;
    order(&deployment, "down?on=1").await;

    for _ in 0..10 {
        assert_eq!(outcome_of(&ask(&deployment).await), "answered");
    }
    let before = runs(&deployment).await;
    let refused = book(&deployment, "during").await;
    assert_eq!(outcome_of(&refused), "not-run", "{:?}", refused.body());
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(runs(&deployment).await, before);

    order(&deployment, "heal").await;
    wait_outcome(&deployment, "answered").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_process_takes_its_peers_lists_while_the_service_is_away() {
    let mut deployment = deployment().await;
    order(&deployment, "down?on=1").await;
    deployment.agents[0]
        .process
        .restart()
        .expect("process starts");

    for _ in 0..LOOKS {
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
        sleep(LOOK).await;
    }
    panic!("the process never took its peers' lists");
}

/// Books under new keys until one ends with an outcome; a process may still wait for its fencing number.
async fn wait_outcome(deployment: &Deployment, expected: &str) {
    for number in 0..LOOKS {
        let reply = book(deployment, &format!("{expected}-{number}")).await;
        if outcome_of(&reply) == expected {
            return;
        }
        sleep(LOOK).await;
    }
    panic!("no booking was {expected}");
}
