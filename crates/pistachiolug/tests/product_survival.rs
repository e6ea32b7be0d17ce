//! Real processes that are killed or stopped: calls continue, and each gets a definite answer.

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

/// Timeout of a call, and of the wait until calls are answered again after a kill.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum accepted size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Number of calls that are sent right after each kill.
const CALL_COUNT: u32 = 10;

/// Starts a deployment with two model agents, one plain agent and two entries, which serves version `v1`.
async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 2)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

/// Client that calls one entry.
struct Caller {
    client: Client,
    entry: SocketAddr,
}

impl Caller {
    fn new(deployment: &Deployment, entry: usize) -> Self {
        let entry = deployment.entries[entry].callers;
        Self {
            client: Client::new(4),
            entry: entry.expect("entry serves callers"),
        }
    }

    /// Sends a request with an idempotency key.
    async fn send(&self, path: &str, body: &Value) -> Response<Bytes> {
        let request = Request::post(format!("http://{}{path}", self.entry))
            .header(header::AUTHORIZATION, format!("Bearer {PAID_KEY}"))
            .header("idempotency-key", "brunch")
            .body(body.to_string().into())
            .expect("request is well formed");
        let sent = self.client.fetch(request, MAX_ANSWER_BYTES, TIMEOUT).await;
        sent.expect("the entry answers every call")
    }

    /// Sends a generation.
    async fn chat(&self, number: u32) -> Response<Bytes> {
        let body = json!({
            "model": "pasta", "max_tokens": 4,
            "messages": [{ "role": "user", "content": format!("call {number}") }],
        });
        self.send("/v1/chat/completions", &body).await
    }

    /// Sends calls and asserts that each has a definite outcome, then waits until one is answered. `killed` is for
    /// messages.
    async fn assert_calls_continue(&self, killed: &str) {
        for number in 0..CALL_COUNT {
            assert_definite(&self.chat(number).await, killed);
        }
        let answered = async {
            while self.chat(CALL_COUNT).await.status() != StatusCode::OK {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let answered = tokio::time::timeout(TIMEOUT, answered).await;
        answered.unwrap_or_else(|_| panic!("no call is answered after the kill of {killed}"));
    }
}

/// Asserts that a reply states a valid outcome, and that a refusal says when to retry.
fn assert_definite(reply: &Response<Bytes>, killed: &str) {
    let outcome = reply.headers().get(outcome::HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok());
    let body = String::from_utf8_lossy(reply.body());
    match outcome {
        Some("answered") => assert_eq!(reply.status(), StatusCode::OK, "{killed}: {body}"),
        Some("not-run") => {
            let has_retry_time = reply.headers().contains_key(header::RETRY_AFTER);
            assert!(has_retry_time, "{killed}: no Retry-After in {body}");
        }
        Some("unknown") => {}
        other => panic!("{killed}: outcome {other:?} in {body}"),
    }
}

/// The loss of any one process must not end service, and no booking may run twice. The processes are killed one after
/// the other without being replaced.
#[tokio::test(flavor = "multi_thread")]
async fn calls_continue_when_a_process_of_each_kind_is_killed() {
    let mut deployment = deployment().await;
    let caller = Caller::new(&deployment, 1);
    caller.assert_calls_continue("nothing").await;

    deployment.entries[0]
        .process
        .kill()
        .expect("entry is killed");
    caller.assert_calls_continue("an entry").await;

    deployment.platform[2].kill().expect("origin is killed");
    caller.assert_calls_continue("the origin").await;

    deployment.platform[1]
        .kill()
        .expect("instance list is killed");
    caller.assert_calls_continue("the instance list").await;

    let engine = deployment.agents[0].backend_process.as_mut();
    engine
        .expect("agent has an engine")
        .kill()
        .expect("engine is killed");
    caller.assert_calls_continue("an engine").await;

    deployment.agents[0]
        .process
        .kill()
        .expect("agent is killed");
    caller.assert_calls_continue("an agent").await;

    deployment.platform[0]
        .kill()
        .expect("key-value service is killed");
    caller.assert_calls_continue("the key-value service").await;
    let booking = caller
        .send("/services/booking/orders", &json!({ "kilos": 40 }))
        .await;
    assert_definite(&booking, "the key-value service");
    let record = record::read(&deployment).await.expect("stand-ins answer");
    assert!(
        record.bookings.values().all(|runs| *runs <= 1),
        "{record:?}"
    );
}

/// Operators depend on the state dumps. The server library can use `io_uring`; the daemons must use `epoll` instead.
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
        let files = fs::read_dir(folder).expect("own child process is readable");
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

/// A process supervisor treats any other exit code as a crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_ends_with_exit_code_zero() {
    let mut deployment = deployment().await;
    Caller::new(&deployment, 0)
        .assert_calls_continue("nothing")
        .await;
    let signalled = deployment.entries[0].process.signal("TERM");
    signalled.expect("signal is sent");

    let ended = async {
        loop {
            if let Some(status) = deployment.entries[0]
                .process
                .try_wait()
                .expect("process is a child of the test")
            {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let status = tokio::time::timeout(TIMEOUT, ended).await;

    assert_eq!(status.expect("the process ends").code(), Some(0));
}
