//! Deployments and streamed calls for the routing tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response};
use pistachiolug_bench::{
    load::sse::{Event, Parser},
    rig::{
        client::HttpClient,
        deployment::{Deployment, PAID_KEY, SLOTS, Size},
    },
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Streamed answer as its caller saw it.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Seen {
    /// Text of all tokens.
    pub(crate) text: String,
    /// Whether the stream said that it is whole.
    pub(crate) whole: bool,
    /// Error event, if there was one.
    pub(crate) error: Option<Value>,
    /// Versions that the pieces named.
    pub(crate) versions: Vec<String>,
}

/// Starts a deployment that serves version `v1` and whose entries know everything.
pub(crate) async fn deployment(models: usize, plains: usize, entries: usize) -> Deployment {
    let args = ["--first-ms", "100", "--gap-ms", "50"];
    let size = Size {
        models,
        plains,
        entries,
        engine_args: args.map(str::to_owned).to_vec(),
        origin_rate: 0,
        weights_bytes: 10_000,
        slots: SLOTS,
    };
    let deployment = Deployment::start(&size).await.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
        .wait_for_entries()
        .await
        .expect("entries know the deployment");
    deployment
}

/// Returns the body of a streamed request for a number of tokens.
pub(crate) fn body(tokens: u32) -> String {
    json!({ "model": "pasta", "messages": [], "stream": true, "max_tokens": tokens }).to_string()
}

/// Sends a streamed request in the background.
pub(crate) fn stream(http: &HttpClient, entry: SocketAddr, body: &str) -> JoinHandle<Seen> {
    let (http, body) = (http.clone(), body.to_owned());
    tokio::spawn(async move {
        let path = "/v1/chat/completions";
        let reply = http.send(Method::POST, entry, path, Some(PAID_KEY), body);
        read(&reply.await.expect("the entry answers"))
    })
}

/// Sends a booking in the background; `order` names it in the service's record.
pub(crate) fn book(
    http: &HttpClient,
    entry: SocketAddr,
    order: &str,
) -> JoinHandle<Response<Bytes>> {
    let http = http.clone();
    let path = format!("/services/booking/{order}");
    tokio::spawn(async move {
        let reply = http.send(Method::POST, entry, &path, Some(PAID_KEY), "{}");
        reply.await.expect("the entry answers")
    })
}

fn read(reply: &Response<Bytes>) -> Seen {
    let mut parser = Parser::default();
    parser.push(reply.body());
    let mut seen = Seen::default();
    if !reply.status().is_success() {
        seen.error = serde_json::from_slice(reply.body()).ok();
    }
    while let Some(event) = parser.next_event() {
        match event {
            Event::Text(text, version) => {
                seen.text.push_str(&text);
                seen.versions.push(version);
            }
            Event::Done => seen.whole = true,
            Event::Error(error) => seen.error = Some(error),
        }
    }
    seen.versions.dedup();
    seen
}

/// Asserts that an answer is whole, exact and of one version.
pub(crate) fn assert_exact(seen: &Seen, expected: &str) {
    assert_eq!(seen.error, None);
    assert_eq!(seen.text, expected);
    assert!(seen.whole, "{seen:?}");
    assert_eq!(seen.versions, ["v1"]);
}
