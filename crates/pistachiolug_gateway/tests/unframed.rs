//! Answers of servers that have neither a length nor chunks and end with their connections.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, time::Duration};

use pistachiolug_gateway::config::Kind;
use tokio::io::AsyncReadExt;

use support::{Action, Entry, Server, chunk, parts, request, route, run, stream_head};

const ONE: &str = "id: 1\ndata: ravi\n\n";
const TWO: &str = "id: 2\ndata: oli\n\n";
const THREE: &str = "id: 3\ndata: .\n\n";

/// Marks the end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns an answer with neither a length nor chunks, with further headers.
fn unframed(headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s1\r\nX-Kept: yes\r\n{headers}\r\n{body}"
    )
}

/// Returns a stream with neither a length nor chunks.
fn unframed_stream(headers: &str, events: &str) -> String {
    unframed(
        &format!("Content-Type: text/event-stream\r\n{headers}"),
        events,
    )
}

/// Returns a framed stream with the third event alone.
fn third_event() -> String {
    stream_head("a1") + &chunk(THREE) + LAST_CHUNK
}

/// Answer that a caller received.
#[derive(Debug)]
struct Received {
    head: String,
    body: String,
    /// Whether the length or the last chunk shows that the body is complete.
    is_complete: bool,
}

/// Parses the bytes of an answer; one without a length or chunks is complete if its connection ended regularly.
fn parse(response: &str, ended_regularly: bool) -> Received {
    let (head, mut rest) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    if let Some(length) = length {
        let length: usize = length.parse().unwrap();
        return Received {
            is_complete: rest.len() == length,
            body: rest.to_owned(),
            head,
        };
    }
    if !head.contains("transfer-encoding: chunked") {
        return Received {
            is_complete: ended_regularly && !response.is_empty(),
            body: rest.to_owned(),
            head,
        };
    }
    let mut body = String::new();
    while let Some((size, data)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        let Some(data) = data.get(..size + 2).filter(|_| size > 0) else {
            return Received {
                is_complete: size == 0,
                body,
                head,
            };
        };
        body.push_str(&data[..size]);
        rest = &rest[rest.find("\r\n").unwrap() + 2 + data.len()..];
    }
    Received {
        is_complete: false,
        body,
        head,
    }
}

/// Sends a request to an entry whose first server performs `action`, and adds `second` once the request is there.
async fn exchange(kind: Kind, attempts: u32, action: Action, second: Option<&Server>) -> Received {
    let first = Server::start(vec![action]).await;
    let entry = Entry::start(parts(route(kind, attempts)), &[&first]);
    let mut stream = entry.open(&request("a1")).await;
    while first.arrivals() == 0 {
        // The second server has to be there before the first one's answer is.
        tokio::task::yield_now().await;
    }
    if let Some(second) = second {
        let record = support::record("i-second", second.address);
        let state = Rc::clone(&entry.state);
        state.with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));
    }
    let mut response = Vec::new();
    let ended = stream.read_to_end(&mut response).await;
    parse(&String::from_utf8(response).unwrap(), ended.is_ok())
}

/// Guards against answers that are lost, shortened or stripped because only their connection marks the end.
#[test]
fn an_answer_without_a_length_is_returned_whole() {
    let close = "Connection: close\r\n";
    let rows = [
        (Kind::Once, unframed("", "yours"), "yours"),
        (Kind::Once, unframed(close, "yours"), "yours"),
        (Kind::Idempotent, unframed("", "yours"), "yours"),
        (Kind::Idempotent, unframed(close, "yours"), "yours"),
        (Kind::Once, unframed("", ""), ""),
    ];
    for (kind, answer, body) in rows {
        let received = run(exchange(kind, 1, Action::Write(answer.clone()), None));

        let Received { head, .. } = &received;
        assert!(head.starts_with("http/1.1 200"), "{answer}: {received:?}");
        assert!(head.contains("x-signature: s1"), "{answer}: {received:?}");
        assert!(head.contains("x-kept: yes"), "{answer}: {received:?}");
        assert_eq!(received.body, body, "{answer}");
        assert!(received.is_complete, "{answer}: {received:?}");
    }
}

/// Guards against whole streams that look broken, or lose events, because only their connection marks the end.
#[test]
fn a_stream_without_chunks_is_returned_whole() {
    let events = format!("{ONE}{TWO}{THREE}");
    for headers in ["", "Connection: close\r\n"] {
        let action = Action::Write(unframed_stream(headers, &events));

        let received = run(exchange(Kind::Stream, 2, action, None));

        let Received { head, .. } = &received;
        assert!(head.starts_with("http/1.1 200"), "{received:?}");
        assert!(head.contains("x-signature: s1"), "{received:?}");
        assert!(head.contains("x-kept: yes"), "{received:?}");
        assert_eq!(received.body, events);
        assert!(received.is_complete, "{received:?}");
    }
}

/// Guards against halves of answers that are returned as success because a reset is taken for the end.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_a_success() {
    for body in ["", "hal"] {
        for headers in ["", "Connection: close\r\n"] {
            for kind in [Kind::Once, Kind::Idempotent] {
                let action = Action::Reset(unframed(headers, body));

                let received = run(exchange(kind, 1, action, None));

                let is_success = received.head.starts_with("http/1.1 2");
                assert!(
                    !is_success || !received.is_complete,
                    "{kind:?} {body:?}: {received:?}"
                );
            }
        }
    }
}

/// Guards against halves of answers where the request may be sent to another server.
#[test]
fn an_answer_without_a_length_that_is_reset_is_replaced_where_allowed() {
    run(async {
        let whole = Action::Write(unframed("", "yours"));
        let second = Server::start(vec![whole]).await;
        let action = Action::Reset(unframed("", "hal"));

        let received = exchange(Kind::Idempotent, 2, action, Some(&second)).await;

        assert!(received.head.starts_with("http/1.1 200"), "{received:?}");
        assert_eq!(received.body, "yours");
        assert!(received.is_complete, "{received:?}");
    });
}

/// Returns the ways in which a stream without chunks breaks off after its second event.
fn breaks() -> Vec<(&'static str, Action)> {
    let events = format!("{ONE}{TWO}");
    let inside = |tail: &str| unframed_stream("", &format!("{events}{tail}"));
    vec![
        ("reset between events", Action::Reset(inside(""))),
        ("reset inside an event", Action::Reset(inside("id: 3\nda"))),
        ("end inside a name", Action::Write(inside("id: 3\nda"))),
        ("end after an id", Action::Write(inside("id: 3\n"))),
        (
            "end before the blank line",
            Action::Write(inside("id: 3\ndata: .\n")),
        ),
        (
            "end inside an event, closing",
            Action::Write(unframed_stream(
                "Connection: close\r\n",
                &format!("{events}id: 3\nda"),
            )),
        ),
    ]
}

/// Guards against streams that look complete although their server broke them off.
#[test]
fn a_broken_off_stream_without_chunks_does_not_look_complete() {
    for (name, action) in breaks() {
        let received = run(exchange(Kind::Stream, 1, action, None));

        assert!(!received.is_complete, "{name}: {received:?}");
        let whole = format!("{ONE}{TWO}{THREE}");
        assert!(whole.starts_with(&received.body), "{name}: {received:?}");
    }
}

/// Guards against gaps, repeated events and joined halves of events when a broken-off stream goes on elsewhere.
#[test]
fn a_broken_off_stream_without_chunks_resumes_after_its_last_whole_event() {
    for (name, action) in breaks() {
        run(async move {
            let second = Server::start(vec![Action::Write(third_event())]).await;

            let received = exchange(Kind::Stream, 2, action, Some(&second)).await;

            assert_eq!(received.body, format!("{ONE}{TWO}{THREE}"), "{name}");
            assert!(received.is_complete, "{name}: {received:?}");
            assert!(received.head.contains("x-kept: yes"), "{name}");
            let resumed = second.requests.borrow()[0].to_ascii_lowercase();
            assert!(resumed.contains("last-event-id: 2"), "{name}: {resumed}");
        });
    }
}

/// Guards against a server's protocol version in the answer to the caller, which then has no chunks to mark its end.
#[test]
fn a_broken_off_stream_of_an_older_protocol_version_does_not_look_complete() {
    for (name, action) in breaks() {
        let old = |bytes: String| bytes.replace("HTTP/1.1", "HTTP/1.0");
        let action = match action {
            Action::Write(bytes) => Action::Write(old(bytes)),
            Action::Reset(bytes) => Action::Reset(old(bytes)),
            action => action,
        };

        let received = run(exchange(Kind::Stream, 1, action, None));

        assert!(!received.is_complete, "{name}: {received:?}");
    }
}
