//! Helpers of the routing tests: deployments and streamed calls.

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

/// Streamed answer as its caller received it.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamedAnswer {
    /// Text of all tokens.
    pub(crate) text: String,
    /// Whether the stream ended with the event that marks it as complete.
    pub(crate) is_complete: bool,
    /// Error event, or the body of a refusal; `None` without an error.
    pub(crate) error: Option<Value>,
    /// Versions that the events named, without repetitions in a row.
    pub(crate) versions: Vec<String>,
}

/// Starts a deployment that serves version `v1`, and waits until its entries know the lists and instances.
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

/// Sends a streamed request in the background and reads its answer.
pub(crate) fn stream(
    http: &HttpClient,
    entry: SocketAddr,
    body: &str,
) -> JoinHandle<StreamedAnswer> {
    let (http, body) = (http.clone(), body.to_owned());
    tokio::spawn(async move {
        let path = "/v1/chat/completions";
        let reply = http.send(Method::POST, entry, path, Some(PAID_KEY), body);
        parse_answer(&reply.await.expect("entry answers"))
    })
}

/// Sends a booking in the background; `order` is its path, by which the service records it.
pub(crate) fn book(
    http: &HttpClient,
    entry: SocketAddr,
    order: &str,
) -> JoinHandle<Response<Bytes>> {
    let http = http.clone();
    let path = format!("/services/booking/{order}");
    tokio::spawn(async move {
        let reply = http.send(Method::POST, entry, &path, Some(PAID_KEY), "{}");
        reply.await.expect("entry answers")
    })
}

/// Parses the events of a streamed answer.
fn parse_answer(reply: &Response<Bytes>) -> StreamedAnswer {
    let mut parser = Parser::default();
    parser.push(reply.body());
    let mut answer = StreamedAnswer::default();
    if !reply.status().is_success() {
        answer.error = serde_json::from_slice(reply.body()).ok();
    }
    while let Some(event) = parser.next_event() {
        match event {
            Event::Text(text, version) => {
                answer.text.push_str(&text);
                answer.versions.push(version);
            }
            Event::Done => answer.is_complete = true,
            Event::Error(error) => answer.error = Some(error),
        }
    }
    answer.versions.dedup();
    answer
}

/// Asserts that an answer is complete, has exactly the expected text and is of version `v1` only.
pub(crate) fn assert_complete(answer: &StreamedAnswer, expected: &str) {
    assert_eq!(answer.error, None);
    assert_eq!(answer.text, expected);
    assert!(answer.is_complete, "{answer:?}");
    assert_eq!(answer.versions, ["v1"]);
}
