//! Tests of the HTTP interface for callers: replies to invalid and malformed requests, none of which may run.

#[allow(dead_code)]
mod fake;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fake::{Agent, runner, started, text};
use pistachiolug_entry::public_api::PublicApi;
use pistachiolug_http::{limit::Limit, server::Server};
use pistachiolug_kernel::phase::{Control, Phase};
use pistachiolug_lists::{
    active::ActiveLists,
    customer::Customer,
    key,
    lists::Lists,
    plan::{Model, Plan, Replicas, Service},
    row::Row,
    suspect::{Crash, Suspect},
};
use pistachiolug_wire::{
    call::{Generation, Work},
    digest::Digest,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const BODY_BYTES: usize = 4096;

/// Longest wait for an answer; only reached by a server that hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

struct Rig {
    agent: Agent,
    control: Control,
    public_server: Server,
    _agent_server: Server,
}

fn rig() -> Rig {
    let script = vec![started("v1"), text(0, &["a", "b", "c"]), fake::finished(3)];
    let agent = Agent::new(&vec![script; 8], &[]);
    let agent_server = agent.serve();
    let control = Control::default();
    control.advance(Phase::Running);
    let active_lists = ActiveLists::default();
    active_lists.advance(Arc::new(lists()));
    let public_api = PublicApi {
        active_lists,
        runner: runner(agent_server.address(), fake::unused_address()),
        control: control.clone(),
        deadline_ms: 10_000,
    };
    let limit = Limit {
        body_bytes: BODY_BYTES,
        head_timeout: Duration::from_millis(500),
        body_timeout: Duration::from_millis(500),
        ..Limit::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Rig {
        agent,
        control,
        public_server: Server::bind(address, 1, limit, public_api).expect("port is free"),
        _agent_server: agent_server,
    }
}

fn lists() -> Lists {
    let mut lists = Lists::default();
    for name in ["pasta", "secret"] {
        lists.insert(Row::Model(Model {
            name: name.to_owned(),
            service: "assistant".to_owned(),
            version: "v1".to_owned(),
            manifest: Digest::of(b""),
            replicas: Replicas { least: 1, most: 1 },
            adapters: Vec::new(),
        }));
    }
    for name in ["booking", "billing"] {
        lists.insert(Row::Service(Service {
            name: name.to_owned(),
            idempotent: Vec::new(),
        }));
    }
    lists.insert(Row::Plan(Plan {
        name: "paid".to_owned(),
        share: 1,
        priority: 0,
        models: vec!["pasta".to_owned()],
        services: vec!["booking".to_owned()],
        tokens_per_minute: 0,
        trial: false,
    }));
    lists.insert(Row::Customer(Customer {
        name: "hotel".to_owned(),
        plan: "paid".to_owned(),
        keys: vec![key::digest("good")],
        tokens_per_minute: 0,
    }));
    for crashes in 1..=2_usize {
        let crash = |number| Crash {
            instance: format!("assistant-{number}"),
            call: format!("{number}"),
        };
        lists.insert(Row::Suspect(Suspect {
            digest: suspect_digest(crashes),
            crashes: (0..crashes).map(crash).collect(),
        }));
    }
    lists.advance(1);
    lists
}

/// Returns a request body that the lists name as the suspect of `crashes` crashes.
fn crash_request(crashes: usize) -> String {
    format!(r#"{{"model":"pasta","prompt":"crash {crashes}"}}"#)
}

fn suspect_digest(crashes: usize) -> Digest {
    let work = Work::Model(Generation {
        model: "pasta".to_owned(),
        version: String::new(),
        path: "/v1/completions".to_owned(),
        body: crash_request(crashes).into(),
        reached: 0,
        prefix: String::new(),
        estimate: 0,
        cache: None,
    });
    work.content_digest("assistant")
}

/// Renders a request with a valid key and the content length of its body.
fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    raw_request(
        line,
        &format!("content-length: {length}\r\n{headers}"),
        body,
    )
}

/// Renders a request with a valid key and no headers but the given ones.
fn raw_request(line: &str, headers: &str, body: &str) -> String {
    let common = "host: entry\r\nauthorization: Bearer good\r\n";
    format!("{line} HTTP/1.1\r\n{common}{headers}\r\n{body}")
}

/// Sends bytes and returns the status and the text of the answer; status 0 means that there was none.
async fn send(address: SocketAddr, bytes: &str, half_close: bool) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("entry listens");
    // The entry may refuse the request and close the connection before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    if half_close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = async {
        let mut buffer = [0; 4096];
        while let Ok(length) = stream.read(&mut buffer).await {
            answer.extend_from_slice(&buffer[..length]);
            if length == 0 || is_complete(&answer) {
                break;
            }
        }
    };
    timeout(ANSWER_TIMEOUT, read)
        .await
        .expect("the entry answers or closes");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    (status.unwrap_or(0), answer)
}

/// Returns whether an answer with a content length has arrived completely.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let mut lengths = head
        .lines()
        .filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.next().and_then(|length| length.trim().parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

fn parse_error(answer: &str) -> Value {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str::<Value>(body).map_or(Value::Null, |body| body["error"].clone())
}

const CHAT: &str = "POST /v1/chat/completions";
const BOOK: &str = "POST /services/booking/orders";
const GOOD: &str = r#"{"model":"pasta"}"#;
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Invalid request: name, text and expected status.
type InvalidRequest = (&'static str, String, u16);

fn invalid_bodies() -> Vec<InvalidRequest> {
    let cases = [
        ("not JSON", "{", 400),
        ("empty body", "", 400),
        ("not an object", "[]", 400),
        ("no model", r#"{"messages":[]}"#, 400),
        ("empty model", r#"{"model":""}"#, 400),
        ("zero tokens", r#"{"model":"pasta","max_tokens":0}"#, 400),
        (
            "negative tokens",
            r#"{"model":"pasta","max_tokens":-1}"#,
            400,
        ),
        (
            "tokens as text",
            r#"{"model":"pasta","max_tokens":"9"}"#,
            400,
        ),
        (
            "too many tokens",
            r#"{"model":"pasta","max_tokens":4000000}"#,
            400,
        ),
        ("lone surrogate", r#"{"model":"\ud800"}"#, 400),
        ("unknown model", r#"{"model":"soup"}"#, 404),
        ("model of another plan", r#"{"model":"secret"}"#, 403),
    ];
    let cases = cases.into_iter();
    cases
        .map(|(name, body, status)| (name, request(CHAT, "", body), status))
        .collect()
}

fn invalid_heads() -> Vec<InvalidRequest> {
    let with_idempotency_key =
        |value: &str| request(BOOK, &format!("idempotency-key: {value}\r\n"), "");
    let with_deadline = |value: &str| {
        request(
            CHAT,
            &format!("x-pistachiolug-deadline-ms: {value}\r\n"),
            GOOD,
        )
    };
    let with_authorization = |value: &str| request(CHAT, "", GOOD).replace("Bearer good", value);
    let two_keys = "idempotency-key: a\r\nidempotency-key: b\r\n";
    vec![
        (
            "missing key",
            request(CHAT, "", GOOD).replace("authorization", "x-other"),
            401,
        ),
        ("unknown key", with_authorization("Bearer bad"), 401),
        ("other scheme", with_authorization("Basic good"), 401),
        ("unknown path", request("POST /v2/chat", "", GOOD), 404),
        (
            "wrong method",
            request("GET /v1/chat/completions", "", ""),
            405,
        ),
        (
            "wrong method for models",
            request("POST /v1/models", "", GOOD),
            405,
        ),
        (
            "unknown service",
            request("POST /services/soup/x", "", ""),
            404,
        ),
        ("missing service", request("POST /services/", "", ""), 404),
        (
            "service of another plan",
            request("POST /services/billing/x", "", ""),
            403,
        ),
        ("key with a space", with_idempotency_key("a b"), 400),
        ("empty key", with_idempotency_key(""), 400),
        ("long key", with_idempotency_key(&"k".repeat(256)), 400),
        ("two keys", request(BOOK, two_keys, ""), 400),
        ("zero deadline", with_deadline("0"), 400),
        ("deadline as text", with_deadline("soon"), 400),
    ]
}

fn invalid_uploads() -> Vec<InvalidRequest> {
    let large = "x".repeat(BODY_BYTES + 1);
    let chunks = format!("1001\r\n{large}\r\n0\r\n\r\n");
    vec![
        ("large body", request(CHAT, "", &large), 413),
        (
            "large chunked body",
            raw_request(CHAT, CHUNKED, &chunks),
            413,
        ),
        (
            "slow body",
            raw_request(CHAT, "content-length: 50\r\n", "{"),
            408,
        ),
        ("slow chunk", raw_request(CHAT, CHUNKED, "5\r\nab"), 408),
        (
            "chunked text for a service",
            raw_request(BOOK, CHUNKED, "3\r\nabc\r\n0\r\n\r\n"),
            411,
        ),
    ]
}

/// Returns requests that violate HTTP; each must get a 4xx status or a closed connection.
fn malformed_requests() -> Vec<(&'static str, String)> {
    let with_headers = |headers: &str| raw_request(CHAT, headers, GOOD);
    let chunked = |chunks: &str| raw_request(CHAT, CHUNKED, chunks);
    let length_and_chunks = format!("content-length: 5\r\n{CHUNKED}");
    let large_head = format!("content-length: 17\r\nx-wide: {}\r\n", "x".repeat(1 << 21));
    vec![
        ("truncated body", with_headers("content-length: 50\r\n")),
        (
            "two lengths",
            with_headers("content-length: 17\r\ncontent-length: 5\r\n"),
        ),
        ("length as text", with_headers("content-length: many\r\n")),
        ("negative length", with_headers("content-length: -1\r\n")),
        ("unknown coding", with_headers("transfer-encoding: zip\r\n")),
        (
            "space in a header's name",
            with_headers("content-length : 17\r\n"),
        ),
        ("large head", with_headers(&large_head)),
        ("truncated chunk", chunked("11\r\n{\"model\"")),
        (
            "missing last chunk",
            raw_request(BOOK, CHUNKED, "8\r\n{\"a\":[1,\r\n"),
        ),
        (
            "bad chunk size",
            chunked(&format!("zz\r\n{GOOD}\r\n0\r\n\r\n")),
        ),
        (
            "huge chunk size",
            chunked(&format!("fffffffffffffffff\r\n{GOOD}")),
        ),
        (
            "length and chunks",
            raw_request(
                CHAT,
                &length_and_chunks,
                &format!("11\r\n{GOOD}\r\n0\r\n\r\n"),
            ),
        ),
        ("truncated head", format!("{CHAT} HTTP/1.1\r\nhost")),
        ("not HTTP", "\u{16}\u{3}\u{1} hello\r\n\r\n".to_owned()),
    ]
}

/// Returns the error code that belongs to the status of an invalid request.
fn expected_code(status: u16) -> &'static str {
    match status {
        401 => "invalid_key",
        403 => "not_in_plan",
        404 => "not_found",
        _ => "invalid_request",
    }
}

/// Checks that the entry answers a valid request.
async fn assert_healthy(rig: &Rig, after: &str) {
    let good = request("POST /v1/chat/completions", "", r#"{"model":"pasta"}"#);
    let opens = rig.agent.record().opens.len();

    let (status, answer) = send(rig.public_server.address(), &good, false).await;

    assert_eq!(status, 200, "after {after}: {answer}");
    assert!(
        answer.contains("abc") && answer.contains("x-pistachiolug-outcome: answered"),
        "{answer}"
    );
    assert_eq!(rig.agent.record().opens.len(), opens + 1);
}

/// A caller must be able to tell from status, code and outcome that its request is at fault and did not run.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_the_matching_error_and_do_not_run() {
    let rig = rig();
    let cases = [invalid_bodies(), invalid_heads(), invalid_uploads()].concat();
    for (name, bytes, status) in cases {
        let (received, answer) = send(rig.public_server.address(), &bytes, false).await;

        assert_eq!(received, status, "{name}: {answer}");
        assert!(
            answer.contains("x-pistachiolug-outcome: not-run"),
            "{name}: {answer}"
        );
        let error = parse_error(&answer);
        assert_eq!(error["code"], expected_code(status), "{name}: {answer}");
        assert_eq!(error["outcome"], "not-run", "{name}: {answer}");
        assert!(
            error["message"].is_string() && error["type"].is_string(),
            "{name}: {answer}"
        );
        assert_eq!(
            answer.contains("allow: "),
            status == 405,
            "{name}: {answer}"
        );
    }
    assert!(rig.agent.record().opens.is_empty());
    assert_healthy(&rig, "invalid requests").await;
}

/// Neither a truncated body that the server library passes on as complete nor contradictory lengths may start a call.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_does_not_run_and_leaves_the_entry_healthy() {
    let rig = rig();
    for (name, bytes) in malformed_requests() {
        let (status, answer) = send(rig.public_server.address(), &bytes, true).await;

        assert!(
            status == 0 || (400..500).contains(&status),
            "{name}: {answer}"
        );
        assert!(rig.agent.record().opens.is_empty(), "{name}: {answer}");
    }
    assert_healthy(&rig, "malformed requests").await;
}

/// Refusing truncated chunked bodies must not refuse complete ones.
#[tokio::test(flavor = "multi_thread")]
async fn complete_chunked_bodies_are_accepted() {
    let rig = rig();
    let chunks = "8\r\n{\"model\"\r\n9\r\n:\"pasta\"}\r\n0\r\n\r\n";
    let bytes = raw_request(
        "POST /v1/completions",
        "transfer-encoding: chunked\r\n",
        chunks,
    );

    let (status, answer) = send(rig.public_server.address(), &bytes, false).await;

    assert_eq!(status, 200, "{answer}");
    assert_healthy(&rig, "a chunked body").await;
}

/// One crash may be a coincidence, so the content runs once more, with the crash count for the agent. After two crashes
/// it must not reach another server.
#[tokio::test(flavor = "multi_thread")]
async fn crash_suspects_are_run_once_more_and_then_refused() {
    let rig = rig();
    let request_for = |crashes| request("POST /v1/completions", "", &crash_request(crashes));

    let (first_status, answer) = send(rig.public_server.address(), &request_for(1), false).await;
    let opens: Vec<u8> = rig
        .agent
        .record()
        .opens
        .iter()
        .map(|open| open.crashes)
        .collect();
    let (second_status, refusal) = send(rig.public_server.address(), &request_for(2), false).await;

    assert_eq!(first_status, 200, "{answer}");
    assert_eq!(opens, [1]);
    assert_eq!(second_status, 422, "{refusal}");
    assert_eq!(parse_error(&refusal)["code"], "crash_suspect");
    assert_eq!(rig.agent.record().opens.len(), 1);
}

/// A customer must not see the models of other plans.
#[tokio::test(flavor = "multi_thread")]
async fn the_model_list_holds_only_models_of_the_plan() {
    let rig = rig();

    let (status, answer) = send(
        rig.public_server.address(),
        &request("GET /v1/models", "", ""),
        false,
    )
    .await;

    assert_eq!(status, 200);
    assert!(
        answer.contains("pasta") && !answer.contains("secret"),
        "{answer}"
    );
}

/// The header of a stream is sent before the outcome is known, so only the last event can hold it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_reports_its_outcome_in_its_last_event() {
    let rig = rig();
    let body = r#"{"model":"pasta","stream":true}"#;
    let bytes = request("POST /v1/chat/completions", "connection: close\r\n", body);

    let (status, answer) = send(rig.public_server.address(), &bytes, false).await;

    assert_eq!(status, 200);
    assert!(
        answer.contains("x-pistachiolug-outcome: streaming"),
        "{answer}"
    );
    assert!(
        answer.contains("\"outcome\":\"answered\"") && answer.contains("data: [DONE]"),
        "{answer}"
    );
}

/// Calls that the load balancer still sends to a draining entry must be answered, but idle connections would delay the
/// shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_answers_and_closes_its_connections() {
    let rig = rig();
    rig.control.advance(Phase::Draining);
    let bytes = request("POST /v1/chat/completions", "", r#"{"model":"pasta"}"#);

    let (status, answer) = send(rig.public_server.address(), &bytes, false).await;

    assert_eq!(status, 200, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// A client that sends half a request head must not occupy a worker, and its connection must be closed in the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_head_does_not_delay_other_requests() {
    let rig = rig();
    let mut slow = TcpStream::connect(rig.public_server.address())
        .await
        .expect("entry listens");
    slow.write_all(b"POST /v1/chat").await.expect("entry reads");

    assert_healthy(&rig, "a slow head").await;

    let mut rest = Vec::new();
    let result = timeout(ANSWER_TIMEOUT, slow.read_to_end(&mut rest)).await;
    assert!(
        result.is_ok(),
        "the connection of an unfinished head was not closed"
    );
    sleep(Duration::ZERO).await;
    assert!(rig.agent.record().opens.len() == 1);
}
