//! Heads of answers that are none: statuses that end no request, and heads that break off.

#![allow(clippy::unwrap_used)]

mod support;

use pistachiolug_gateway::config::Kind;

use support::{
    Action, Entry, Server, answer, chunk, parts, read_all, request, route, run, stream_head,
    unframed_head,
};

const EVENT: &str = "id: 1\ndata: ravi\n\n";
const END: &str = "0\r\n\r\n";

/// Returns signed answers whose statuses are no final ones of HTTP.
fn answers_without_final_status() -> Vec<String> {
    let statuses = [
        "000 OK",
        "000",
        "00 OK",
        "099 OK",
        "101 Switching Protocols",
        "199 OK",
        "600 OK",
        "999 OK",
        "1000 OK",
        "20 OK",
        "-1 OK",
        "2OO OK",
    ];
    let whole = statuses.map(|status| answer("a1", status, "ravioli"));
    let streams =
        statuses.map(|status| stream_head("a1").replace("200 OK", status) + &chunk(EVENT) + END);
    let unframed = statuses.map(|status| unframed_head("a1").replace("200 OK", status) + EVENT);
    let upgrade = answer("a1", "101 Switching Protocols", "").replace(
        "X-Signature",
        "Connection: upgrade\r\nUpgrade: chat\r\nX-Signature",
    );
    let not_run = answer("a1", "600 OK", "ravioli").replace("X-Signature: s1", "X-Not-Run: 1");
    let mut answers = [whole, streams, unframed].concat();
    answers.extend([upgrade, not_run]);
    answers
}

/// Returns the beginnings of signed answers that break off at each byte of their heads.
fn answers_without_whole_head() -> Vec<String> {
    let answers = [
        answer("a1", "200 OK", "ravioli"),
        stream_head("a1"),
        unframed_head("a1"),
    ];
    let heads = answers
        .iter()
        .map(|answer| answer.split_once("\r\n\r\n").unwrap().0);
    heads
        .flat_map(|head| {
            let head = format!("{head}\r\n\r");
            (0..=head.len()).map(move |end| head[..end].to_owned())
        })
        .collect()
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// Guards against callers that get what is no answer as one: with a status that HTTP doesn't know, as a change of the protocol, or
/// whole although its head broke off.
#[test]
fn a_caller_gets_no_answer_that_is_none() {
    let answers = [answers_without_final_status(), answers_without_whole_head()].concat();
    for kind in [Kind::Once, Kind::Stream] {
        for bytes in &answers {
            run(async {
                let server = Server::start(vec![Action::Write(bytes.clone())]).await;
                let entry = Entry::start(parts(route(kind, 1)), &[&server]);

                let response = entry.call(&request("a1")).await;

                assert_eq!(status(&response), "502", "{kind:?} {bytes:?}: {response}");
                assert!(!response.contains("ravi"), "{kind:?} {bytes:?}: {response}");
            });
        }
    }
}

/// Guards against requests that fail at a faulty server although they may run at another one.
#[test]
fn a_request_that_may_be_repeated_is_answered_by_another_server() {
    for bytes in answers_without_final_status() {
        run(async {
            let faulty = Server::start(vec![Action::Write(bytes.clone())]).await;
            let sound = answer("a1", "200 OK", "gnocchi");
            let sound = Server::start(vec![Action::Write(sound)]).await;
            let entry = Entry::start(parts(route(Kind::Idempotent, 2)), &[&faulty, &sound]);

            let response = entry.call(&request("a1")).await;

            assert!(response.ends_with("gnocchi"), "{bytes:?}: {response}");
        });
    }
}

/// Guards against a stream that goes on with what a faulty server sends, or passes for whole.
#[test]
fn a_stream_is_not_resumed_by_an_answer_that_is_none() {
    let mut answers = answers_without_final_status();
    answers.extend([
        "HTTP/1.1 200 O".to_owned(),
        stream_head("a1").trim_end().to_owned(),
    ]);
    for bytes in answers {
        run(async {
            let begun = stream_head("a1") + &chunk(EVENT);
            let first = Server::start(vec![Action::Reset(begun)]).await;
            let second = Server::start(vec![Action::Write(bytes.clone())]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
            let stream = entry.open(&request("a1")).await;
            while first.arrivals() == 0 {
                tokio::task::yield_now().await;
            }
            let record = support::record("i-2", second.address);
            entry
                .state
                .with_pool(|pool| pool.put(record, support::POSITION, std::time::Duration::ZERO));

            let response = read_all(stream).await;

            assert_eq!(status(&response), "200", "{bytes:?}: {response}");
            assert_eq!(response.matches("ravi").count(), 1, "{bytes:?}: {response}");
            assert!(!response.ends_with(END), "{bytes:?}: {response}");
        });
    }
}
