//! Answers that end with their connection, as they do if their server crashes.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, thread, time::Duration};

use http::{HeaderMap, HeaderValue};
use pistachiolug_gateway::{
    config::Kind,
    fingerprint::Fingerprint,
    losses::{Loss, Verdict},
    prefix::Prefix,
    state::State,
};
use pistachiolug_wire::digest::Digest;

use support::{
    Action, Entry, Server, answer, chunk, metrics, names, options, parts, record, request, route,
    run, stream_head,
};

/// Time after which a crash counts as another moment.
const MOMENT: Duration = Duration::from_millis(250);

/// Returns the fingerprint of a request whose prompt shares one part.
fn fingerprint(content: &str) -> Fingerprint {
    let mut headers = HeaderMap::new();
    headers.insert(names().prefix, HeaderValue::from_static("bad:1,own:2"));
    let prefix = Prefix::from_headers(&headers, &names());
    Fingerprint::new(Digest::of(content.as_bytes()), "daka", &prefix)
}

/// Records that a request was lost at a server, and ends the check of the server.
fn check_server(state: &State, id: &str, is_answered: bool, verdict: Verdict) {
    let loss = Loss {
        fingerprint: fingerprint(id),
        heard_at: state.now(),
        lost_at: state.now(),
        is_answered,
    };
    state.record_loss(&record(id, "127.0.0.1:9".parse().unwrap()), loss);
    for check in state.start_checks() {
        state.finish_check(&check, verdict);
    }
}

/// Returns a state in which three servers have crashed under a part, at separate moments.
fn state_with_named_part() -> Rc<State> {
    let state = State::new(options(), metrics());
    for number in 0..3 {
        thread::sleep(MOMENT);
        let is_answered = number == 1;
        check_server(
            &state,
            &format!("i-{number}"),
            is_answered,
            Verdict::Refused,
        );
    }
    state
}

/// Guards against answers cut off by a crash that pass for whole ones, and against checks after each whole one.
#[test]
fn only_an_answer_that_ends_with_its_connection_has_its_server_checked() {
    let unframed = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s1\r\n\r\n";
    let event = "id: 1\ndata: ravioli\n\n";
    let chunked = stream_head("1") + &chunk(event) + "0\r\n\r\n";
    let rows = [
        (Kind::Once, answer("1", "200 OK", "ravioli"), 0),
        (Kind::Once, answer("1", "200 OK", ""), 0),
        (Kind::Once, format!("{unframed}ravioli"), 1),
        (Kind::Stream, chunked, 0),
        (Kind::Stream, format!("{unframed}{event}"), 1),
    ];
    for (kind, bytes, expected) in rows {
        run(async move {
            let server = Server::start(vec![Action::Write(bytes.clone())]).await;
            let entry = Entry::start(parts(route(kind, 1)), &[&server]);

            let response = entry.call(&request("1")).await;

            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert_eq!(entry.state.start_checks().len(), expected, "{bytes}");
        });
    }
}

/// Guards against an answer cut off by a crash that clears the part which caused it.
#[test]
fn an_answer_whose_server_has_crashed_counts_as_a_crash() {
    let state = state_with_named_part();

    let named = state.find_named_part(&fingerprint("other"));

    assert!(named.is_some());
    assert!(state.suspect_delay(&fingerprint("other")).is_some());
    assert!(!state.try_run(&fingerprint("other")));
}

/// Guards against sound parts that are never cleared because their servers frame no answer.
#[test]
fn an_answer_whose_server_is_alive_after_it_clears_its_parts() {
    let state = state_with_named_part();

    check_server(&state, "i-9", true, Verdict::Accepted);

    assert_eq!(state.find_named_part(&fingerprint("other")), None);
    assert!(state.try_run(&fingerprint("other")));
}

/// Guards against lost answers of servers that go on, which say nothing of a part.
#[test]
fn a_lost_answer_of_a_server_that_is_alive_clears_nothing() {
    let state = state_with_named_part();

    check_server(&state, "i-9", false, Verdict::Accepted);

    assert!(state.find_named_part(&fingerprint("other")).is_some());
}

/// Guards against named parts that the state dump does not show.
#[test]
fn named_parts_are_in_the_state_dump() {
    let state = state_with_named_part();

    let dump = state.dump();

    assert_eq!(dump["parts"][0]["moments"], 3, "{dump}");
    assert_eq!(dump["parts"][0]["reruns"], 0, "{dump}");
    assert_eq!(dump["crashes"], 3, "{dump}");
}
