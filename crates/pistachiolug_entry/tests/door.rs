//! Contract of the callers' interface: what each wrong request gets, and that nothing of it runs.

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

/// Longest wait for an answer; only a server that hangs reaches it.
const PATIENCE: Duration = Duration::from_secs(20);

struct Rig {
    agent: Agent,
    control: Control,
    door: Server,
    _agent_server: Server,
}

fn rig() -> Rig {
    let good = vec![started("v1"), text(0, &["a", "b", "c"]), fake::finished(3)];
    let agent = Agent::new(&vec![good; 8], &[]);
    let agent_server = agent.serve();
    let control = Control::default();
    control.advance(Phase::Running);
    let active_lists = ActiveLists::default();
    active_lists.advance(Arc::new(lists()));
    let door = PublicApi {
        active_lists,
        runner: runner(agent_server.address(), fake::nobody()),
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
        door: Server::bind(address, 1, limit, door).expect("port is free"),
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
            digest: suspect(crashes),
            crashes: (0..crashes).map(crash).collect(),
        }));
    }
    lists.advance(1);
    lists
}

/// Returns the body of a request that crashed a number of backend servers.
fn crashing(crashes: usize) -> String {
    format!(r#"{{"model":"pasta","prompt":"crash {crashes}"}}"#)
}

fn suspect(crashes: usize) -> Digest {
    let work = Work::Model(Generation {
        model: "pasta".to_owned(),
        version: String::new(),
        path: "/v1/completions".to_owned(),
        body: crashing(crashes).into(),
        reached: 0,
        prefix: String::new(),
        estimate: 0,
        cache: None,
    });
    work.content_digest("assistant")
}

/// Renders a request that states its body's length.
fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    raw(
        line,
        &format!("content-length: {length}\r\n{headers}"),
        body,
    )
}

/// Renders a request with just the given headers and a good key.
fn raw(line: &str, headers: &str, body: &str) -> String {
    let common = "host: entry\r\nauthorization: Bearer good\r\n";
    format!("{line} HTTP/1.1\r\n{common}{headers}\r\n{body}")
}

/// Sends bytes and returns the status and the whole answer; status 0 means closed without one.
async fn exchange(address: SocketAddr, bytes: &str, half_close: bool) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("entry listens");
    // The entry may refuse and close before it has read all.
    let _ = stream.write_all(bytes.as_bytes()).await;
    if half_close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = async {
        let mut piece = [0; 4096];
        while let Ok(length) = stream.read(&mut piece).await {
            answer.extend_from_slice(&piece[..length]);
            if length == 0 || is_whole(&answer) {
                break;
            }
        }
    };
    timeout(PATIENCE, read)
        .await
        .expect("the entry answers or closes");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    (status.unwrap_or(0), answer)
}

/// Tells whether an answer with a content length has arrived whole.
fn is_whole(answer: &[u8]) -> bool {
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

fn error_of(answer: &str) -> Value {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str::<Value>(body).map_or(Value::Null, |body| body["error"].clone())
}

const CHAT: &str = "POST /v1/chat/completions";
const BOOK: &str = "POST /services/booking/orders";
const GOOD: &str = r#"{"model":"pasta"}"#;
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Wrong request: name, bytes, status.
type Wrong = (&'static str, String, u16);

fn wrong_bodies() -> Vec<Wrong> {
    let rows = [
        ("no JSON", "{", 400),
        ("empty body", "", 400),
        ("no object", "[]", 400),
        ("no model", r#"{"messages":[]}"#, 400),
        ("empty model", r#"{"model":""}"#, 400),
        ("no tokens", r#"{"model":"pasta","max_tokens":0}"#, 400),
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
        ("half a surrogate", r#"{"model":"\ud800"}"#, 400),
        ("unknown model", r#"{"model":"soup"}"#, 404),
        ("model of another plan", r#"{"model":"secret"}"#, 403),
    ];
    let rows = rows.into_iter();
    rows.map(|(name, body, status)| (name, request(CHAT, "", body), status))
        .collect()
}

fn wrong_heads() -> Vec<Wrong> {
    let keyed = |value: &str| request(BOOK, &format!("idempotency-key: {value}\r\n"), "");
    let late = |value: &str| {
        request(
            CHAT,
            &format!("x-pistachiolug-deadline-ms: {value}\r\n"),
            GOOD,
        )
    };
    let known = |value: &str| request(CHAT, "", GOOD).replace("Bearer good", value);
    let two = "idempotency-key: a\r\nidempotency-key: b\r\n";
    vec![
        (
            "no key",
            request(CHAT, "", GOOD).replace("authorization", "x-other"),
            401,
        ),
        ("unknown key", known("Bearer bad"), 401),
        ("other scheme", known("Basic good"), 401),
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
        ("no service", request("POST /services/", "", ""), 404),
        (
            "service of another plan",
            request("POST /services/billing/x", "", ""),
            403,
        ),
        ("key with a space", keyed("a b"), 400),
        ("empty key", keyed(""), 400),
        ("long key", keyed(&"k".repeat(256)), 400),
        ("two keys", request(BOOK, two, ""), 400),
        ("no deadline", late("0"), 400),
        ("deadline as text", late("soon"), 400),
    ]
}

fn wrong_uploads() -> Vec<Wrong> {
    let large = "x".repeat(BODY_BYTES + 1);
    let chunks = format!("1001\r\n{large}\r\n0\r\n\r\n");
    vec![
        ("large body", request(CHAT, "", &large), 413),
        ("large chunked body", raw(CHAT, CHUNKED, &chunks), 413),
        ("slow body", raw(CHAT, "content-length: 50\r\n", "{"), 408),
        ("slow chunk", raw(CHAT, CHUNKED, "5\r\nab"), 408),
        (
            "chunked text for a service",
            raw(BOOK, CHUNKED, "3\r\nabc\r\n0\r\n\r\n"),
            411,
        ),
    ]
}

/// Bytes that break the protocol: each gets a 4xx or a closed connection.
fn broken_requests() -> Vec<(&'static str, String)> {
    let sized = |headers: &str| raw(CHAT, headers, GOOD);
    let chunked = |chunks: &str| raw(CHAT, CHUNKED, chunks);
    let both = format!("content-length: 5\r\n{CHUNKED}");
    let wide = format!("content-length: 17\r\nx-wide: {}\r\n", "x".repeat(1 << 21));
    vec![
        ("upload cut", sized("content-length: 50\r\n")),
        (
            "two lengths",
            sized("content-length: 17\r\ncontent-length: 5\r\n"),
        ),
        ("length as text", sized("content-length: many\r\n")),
        ("negative length", sized("content-length: -1\r\n")),
        ("unknown coding", sized("transfer-encoding: zip\r\n")),
        ("space in a header's name", sized("content-length : 17\r\n")),
        ("large head", sized(&wide)),
        ("chunked upload cut", chunked("11\r\n{\"model\"")),
        (
            "chunked order cut",
            raw(BOOK, CHUNKED, "8\r\n{\"a\":[1,\r\n"),
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
            raw(CHAT, &both, &format!("11\r\n{GOOD}\r\n0\r\n\r\n")),
        ),
        ("head cut", format!("{CHAT} HTTP/1.1\r\nhost")),
        ("no HTTP", "\u{16}\u{3}\u{1} hello\r\n\r\n".to_owned()),
    ]
}

/// Returns the error code that belongs to a status.
fn code(status: u16) -> &'static str {
    match status {
        401 => "invalid_key",
        403 => "not_in_plan",
        404 => "not_found",
        _ => "invalid_request",
    }
}

async fn assert_healthy(rig: &Rig, after: &str) {
    let good = request("POST /v1/chat/completions", "", r#"{"model":"pasta"}"#);
    let opens = rig.agent.record().opens.len();

    let (status, answer) = exchange(rig.door.address(), &good, false).await;

    assert_eq!(status, 200, "after {after}: {answer}");
    assert!(
        answer.contains("abc") && answer.contains("x-pistachiolug-outcome: answered"),
        "{answer}"
    );
    assert_eq!(rig.agent.record().opens.len(), opens + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_get_their_error_and_run_nothing() {
    let rig = rig();
    let rows = [wrong_bodies(), wrong_heads(), wrong_uploads()].concat();
    for (name, bytes, status) in rows {
        let (seen, answer) = exchange(rig.door.address(), &bytes, false).await;

        assert_eq!(seen, status, "{name}: {answer}");
        assert!(
            answer.contains("x-pistachiolug-outcome: not-run"),
            "{name}: {answer}"
        );
        let error = error_of(&answer);
        assert_eq!(error["code"], code(status), "{name}: {answer}");
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
    assert_healthy(&rig, "wrong requests").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_requests_run_nothing_and_harm_nobody() {
    let rig = rig();
    for (name, bytes) in broken_requests() {
        let (status, answer) = exchange(rig.door.address(), &bytes, true).await;

        assert!(
            status == 0 || (400..500).contains(&status),
            "{name}: {answer}"
        );
        assert!(rig.agent.record().opens.is_empty(), "{name}: {answer}");
    }
    assert_healthy(&rig, "broken requests").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_are_read_whole() {
    let rig = rig();
    let chunks = "8\r\n{\"model\"\r\n9\r\n:\"pasta\"}\r\n0\r\n\r\n";
    let bytes = raw(
        "POST /v1/completions",
        "transfer-encoding: chunked\r\n",
        chunks,
    );

    let (status, answer) = exchange(rig.door.address(), &bytes, false).await;

    assert_eq!(status, 200, "{answer}");
    assert_healthy(&rig, "a chunked body").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_suspects_are_tried_once_more_and_then_refused() {
    let rig = rig();
    let send = |crashes| request("POST /v1/completions", "", &crashing(crashes));

    let (once, answer) = exchange(rig.door.address(), &send(1), false).await;
    let opens: Vec<u8> = rig
        .agent
        .record()
        .opens
        .iter()
        .map(|open| open.crashes)
        .collect();
    let (twice, refusal) = exchange(rig.door.address(), &send(2), false).await;

    assert_eq!(once, 200, "{answer}");
    assert_eq!(opens, [1]);
    assert_eq!(twice, 422, "{refusal}");
    assert_eq!(error_of(&refusal)["code"], "crash_suspect");
    assert_eq!(rig.agent.record().opens.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_those_of_the_plan() {
    let rig = rig();

    let (status, answer) = exchange(
        rig.door.address(),
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

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_states_its_outcome_in_its_last_event() {
    let rig = rig();
    let body = r#"{"model":"pasta","stream":true}"#;
    let bytes = request("POST /v1/chat/completions", "connection: close\r\n", body);

    let (status, answer) = exchange(rig.door.address(), &bytes, false).await;

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

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_answers_and_ends_its_connections() {
    let rig = rig();
    rig.control.advance(Phase::Draining);
    let bytes = request("POST /v1/chat/completions", "", r#"{"model":"pasta"}"#);

    let (status, answer) = exchange(rig.door.address(), &bytes, false).await;

    assert_eq!(status, 200, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_does_not_hold_others_up() {
    let rig = rig();
    let mut slow = TcpStream::connect(rig.door.address())
        .await
        .expect("entry listens");
    slow.write_all(b"POST /v1/chat").await.expect("entry reads");

    assert_healthy(&rig, "a slow head").await;

    let mut rest = Vec::new();
    let closed = timeout(PATIENCE, slow.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "a head that never ends is dropped");
    sleep(Duration::ZERO).await;
    assert!(rig.agent.record().opens.len() == 1);
}
