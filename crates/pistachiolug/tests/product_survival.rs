//! Real processes: one of each kind is killed in turn, and calls go on or are answered definitely.

use std::{fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use pistachiolug_bench::{
    experiment::record,
    rig::deployment::{Deployment, PAID_KEY, Size},
};
use pistachiolug_http::client::Client;
use pistachiolug_wire::outcome;
use serde_json::{Value, json};

/// Longest wait until calls go on after a kill.
const PATIENCE: Duration = Duration::from_secs(60);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Calls sent right after each kill.
const CALLS: u32 = 10;

async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 2)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

/// Callers of one entry.
struct Callers {
    client: Client,
    entry: SocketAddr,
}

impl Callers {
    fn of(deployment: &Deployment, entry: usize) -> Self {
        let entry = deployment.entries[entry].callers;
        Self {
            client: Client::new(4),
            entry: entry.expect("entries take callers"),
        }
    }

    async fn send(&self, path: &str, body: &Value) -> Response<Bytes> {
        let request = Request::post(format!("http://{}{path}", self.entry))
            .header(header::AUTHORIZATION, format!("Bearer {PAID_KEY}"))
            .header("idempotency-key", "brunch")
            .body(body.to_string().into())
            .expect("request is well formed");
        let sent = self.client.fetch(request, ANSWER_BYTES, PATIENCE).await;
        sent.expect("the entry answers every call")
    }

    async fn chat(&self, number: u32) -> Response<Bytes> {
        let body = json!({
            "model": "pasta", "max_tokens": 4,
            "messages": [{ "role": "user", "content": format!("call {number}") }],
        });
        self.send("/v1/chat/completions", &body).await
    }

    /// Sends calls and checks that each has a definite answer, then waits until one is answered.
    async fn go_on(&self, after: &str) {
        for number in 0..CALLS {
            assert_definite(&self.chat(number).await, after);
        }
        let answered = async {
            while self.chat(CALLS).await.status() != StatusCode::OK {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let answered = tokio::time::timeout(PATIENCE, answered).await;
        answered.unwrap_or_else(|_| panic!("no call is answered after the kill of {after}"));
    }
}

/// Checks that a reply says what is certain, and a refusal when to come back.
fn assert_definite(reply: &Response<Bytes>, after: &str) {
    let stated = reply.headers().get(outcome::HEADER);
    let stated = stated.and_then(|value| value.to_str().ok());
    let body = String::from_utf8_lossy(reply.body());
    match stated {
        Some("answered") => assert_eq!(reply.status(), StatusCode::OK, "{after}: {body}"),
        Some("not-run") => {
            let told = reply.headers().contains_key(header::RETRY_AFTER);
            assert!(told, "{after}: no Retry-After in {body}");
        }
        Some("unknown") => {}
        other => panic!("{after}: outcome {other:?} in {body}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_on_when_one_of_each_kind_is_killed() {
    let mut deployment = deployment().await;
    let callers = Callers::of(&deployment, 1);
    callers.go_on("nothing").await;

    deployment.entries[0]
        .process
        .kill()
        .expect("entry is killed");
    callers.go_on("an entry").await;

    deployment.platform[2].kill().expect("origin is killed");
    callers.go_on("the origin").await;

    deployment.platform[1].kill().expect("list is killed");
    callers.go_on("the instance list").await;

    let engine = deployment.agents[0].backend_process.as_mut();
    engine
        .expect("agents have one")
        .kill()
        .expect("engine is killed");
    callers.go_on("an engine").await;

    deployment.agents[0]
        .process
        .kill()
        .expect("agent is killed");
    callers.go_on("an agent").await;

    deployment.platform[0].kill().expect("service is killed");
    callers.go_on("the key-value service").await;
    let booking = callers
        .send("/services/booking/orders", &json!({ "kilos": 40 }))
        .await;
    assert_definite(&booking, "the key-value service");
    let record = record::read(&deployment).await.expect("stand-ins answer");
    assert!(
        record.bookings.values().all(|runs| *runs <= 1),
        "{record:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn every_process_dumps_its_state_and_uses_no_io_uring() {
    let deployment = deployment().await;

    for daemon in deployment.agents.iter().chain(&deployment.entries) {
        let sent = deployment
            .http
            .send(Method::GET, daemon.internal, "/debug/state", None, "");
        let reply = sent.await.expect("process answers");
        let state: Value = serde_json::from_slice(reply.body()).expect("state is JSON");
        assert_eq!(state["instance"], daemon.name);
        assert_eq!(state["phase"], "running");
        assert_eq!(state["failure"], Value::Null);

        let folder = format!("/proc/{}/fd", daemon.process.id());
        let files = fs::read_dir(folder).expect("processes of one's own can be read");
        let targets = files.filter_map(|file| fs::read_link(file.ok()?.path()).ok());
        let targets: Vec<String> = targets.map(|path| path.display().to_string()).collect();
        assert!(
            targets.iter().any(|target| target.contains("eventpoll")),
            "{targets:?}"
        );
        assert!(
            !targets.iter().any(|target| target.contains("io_uring")),
            "{targets:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_its_calls_and_ends_with_code_zero() {
    let mut deployment = deployment().await;
    Callers::of(&deployment, 0).go_on("nothing").await;
    let signalled = deployment.entries[0].process.signal("TERM");
    signalled.expect("signal is sent");

    let ended = async {
        loop {
            if let Some(status) = deployment.entries[0]
                .process
                .try_wait()
                .expect("child is ours")
            {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let status = tokio::time::timeout(PATIENCE, ended).await;

    assert_eq!(status.expect("the process ends").code(), Some(0));
}
