//! Forwarding over loopback: what callers get and what servers receive when something fails.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{config::Kind, pool::Requirements, state::Options};
use tokio::io::AsyncReadExt;

use support::{
    Action, Entry, POSITION, SERVICE, Server, answer, chunk, parts, request, route, run,
    stream_head,
};

/// Failure at the first server of a route with two attempts, and the expected result.
struct Case {
    name: &'static str,
    kind: Kind,
    action: Action,
    /// Status that the caller gets.
    status: &'static str,
    /// Requests that arrive at both servers together.
    arrivals: usize,
}

fn case(
    name: &'static str,
    kind: Kind,
    action: Action,
    status: &'static str,
    arrivals: usize,
) -> Case {
    Case {
        name,
        kind,
        action,
        status,
        arrivals,
    }
}

fn cases() -> Vec<Case> {
    let not_run = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    let other_answer = answer("another", "200 OK", "theirs");
    let unsigned = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nno".to_owned();
    let short =
        "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nhalf"
            .to_owned();
    let garbage = "\x01\x02 no answer at all".to_owned();
    let failed = answer("a1", "500 Failed", "");
    vec![
        case(
            "full, repeatable",
            Kind::Idempotent,
            Action::Write(not_run.clone()),
            "200",
            2,
        ),
        case("full, once", Kind::Once, Action::Write(not_run), "200", 2),
        case(
            "reset, repeatable",
            Kind::Idempotent,
            Action::Reset(String::new()),
            "200",
            2,
        ),
        case(
            "reset, once",
            Kind::Once,
            Action::Reset(String::new()),
            "502",
            1,
        ),
        case(
            "answer to another request, once",
            Kind::Once,
            Action::Write(other_answer.clone()),
            "502",
            1,
        ),
        case(
            "answer to another request, repeatable",
            Kind::Idempotent,
            Action::Write(other_answer),
            "200",
            2,
        ),
        case(
            "unsigned, once",
            Kind::Once,
            Action::Write(unsigned.clone()),
            "502",
            1,
        ),
        case(
            "unsigned, repeatable",
            Kind::Idempotent,
            Action::Write(unsigned),
            "200",
            2,
        ),
        case(
            "short, once",
            Kind::Once,
            Action::Write(short.clone()),
            "502",
            1,
        ),
        case(
            "short, repeatable",
            Kind::Idempotent,
            Action::Write(short),
            "200",
            2,
        ),
        case(
            "garbage, once",
            Kind::Once,
            Action::Write(garbage),
            "502",
            1,
        ),
        case(
            "failed, repeatable",
            Kind::Idempotent,
            Action::Write(failed.clone()),
            "200",
            2,
        ),
        case("failed, once", Kind::Once, Action::Write(failed), "500", 1),
    ]
}

/// Guards against requests that run twice although they must not, and against errors for requests that could be sent
/// again. A request that may have run is repeated only where the route allows it.
#[test]
fn a_failure_at_the_first_server_is_handled_by_the_kind_of_route() {
    for case in cases() {
        run(async move {
            // The first server fails; the second one is healthy.
            let healthy = Action::Write(answer("a1", "200 OK", "yours"));
            let first = Server::start(vec![case.action.clone(), healthy.clone()]).await;
            let entry = Entry::start(parts(route(case.kind, 2)), &[&first]);
            let second = Server::start(vec![healthy]).await;
            // The second server is added once the first one has the request.
            let state = std::rc::Rc::clone(&entry.state);
            let watched = first.clone();
            let address = second.address;
            tokio::task::spawn_local(async move {
                while watched.arrivals() == 0 {
                    tokio::task::yield_now().await;
                }
                let record = support::record("i-second", address);
                state.with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));
            });

            let response = entry.call(&request("a1")).await;

            let arrivals = first.arrivals() + second.arrivals();
            assert!(
                response.starts_with(&format!("HTTP/1.1 {}", case.status)),
                "{}: {response}",
                case.name
            );
            assert_eq!(arrivals, case.arrivals, "{}", case.name);
            assert!(!response.contains("theirs"), "{}", case.name);
        });
    }
}

/// Guards against failed requests on routes with one attempt when listed servers are gone: nothing was sent to them.
#[test]
fn a_server_that_cannot_be_reached_does_not_count_as_an_attempt() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let unreachable = listener.local_addr().unwrap();
        drop(listener);
        let healthy = Server::start(vec![Action::Write(answer("a1", "200 OK", "yours"))]).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&healthy]);
        for index in 0..3 {
            let record = support::record(&format!("i-dead-{index}"), unreachable);
            entry
                .state
                .with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));
        }

        let response = entry.call(&request("a1")).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(healthy.arrivals(), 1);
    });
}

/// Guards against changed requests, missing system headers, and keys or hop-by-hop headers that reach servers.
#[test]
fn a_server_gets_the_request_unchanged_with_the_system_headers() {
    run(async {
        let server = Server::start(vec![Action::Write(answer("a1", "200 OK", "yours"))]).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);

        let response = entry.call(&request("a1")).await;

        let arrived = server.requests.borrow()[0].to_ascii_lowercase();
        assert!(
            response.contains("x-signature: s1") && response.ends_with("yours"),
            "{response}"
        );
        assert!(
            arrived.starts_with("post /book/1?day=2 http/1.1\r\n"),
            "{arrived}"
        );
        assert!(arrived.ends_with("\r\n\r\nplate"), "{arrived}");
        for header in [
            "x-attempt: a1",
            "x-workspace: delis",
            "x-server: i-0",
            "x-deadline: 2",
        ] {
            assert!(arrived.contains(header), "{header} in {arrived}");
        }
        for header in ["x-key", "connection"] {
            assert!(!arrived.contains(header), "{header} in {arrived}");
        }
    });
}

/// Guards against requests that reach a server without a route or a valid key.
#[test]
fn requests_without_a_route_or_a_valid_key_are_denied() {
    run(async {
        let server = Server::start(Vec::new()).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);
        let rows = [
            ("/book/", "/other/", "404"),
            ("desk.example", "elsewhere.example", "404"),
            ("key-1", "key-9", "401"),
            ("X-Key: key-1\r\n", "", "401"),
        ];
        for (from, to, status) in rows {
            let response = entry.call(&request("a1").replace(from, to)).await;

            assert!(
                response.starts_with(&format!("HTTP/1.1 {status}")),
                "{from} as {to}: {response}"
            );
        }
        assert_eq!(server.arrivals(), 0);
    });
}

/// Guards against callers that retry at once because a refusal does not carry a delay.
#[test]
fn a_refusal_without_servers_says_when_to_retry() {
    run(async {
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[]);

        let response = entry.call(&request("a1")).await.to_ascii_lowercase();

        assert!(response.starts_with("http/1.1 503"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
    });
}

/// Guards against lost, repeated or partial events when a server fails inside an event.
#[test]
fn an_interrupted_stream_resumes_at_another_server_without_a_gap() {
    run(async {
        let one = "id: 1\ndata: ravi\n\n";
        let two = "id: 2\ndata: oli\n\n";
        let three = "id: 3\ndata: .\n\n";
        // The first server resets the connection inside its third event.
        let interrupted = stream_head("a1") + &chunk(one) + &chunk(two) + &chunk("id: 3\nda");
        let rest = stream_head("a1") + &chunk(three) + "0\r\n\r\n";
        let first = Server::start(vec![Action::Reset(interrupted)]).await;
        let second = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let record = support::record("i-second", second.address);
        let mut stream = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        entry
            .state
            .with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));

        let mut response = String::new();
        let ended = stream.read_to_string(&mut response).await;

        assert!(ended.is_ok());
        let events: String = response
            .split("\r\n")
            .filter(|line| line.starts_with("id:"))
            .collect();
        assert_eq!(events, format!("{one}{two}{three}"));
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert!(second.requests.borrow()[0].contains("last-event-id: 2"));
    });
}

/// Guards against callers that take an interrupted stream for a whole one because its body is ended regularly.
#[test]
fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    run(async {
        let interrupted = stream_head("a1") + &chunk("id: 1\ndata: ravi\n\n");
        let server = Server::start(vec![Action::Reset(interrupted)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);

        let response = entry.call(&request("a1")).await;

        assert!(response.contains("data: ravi"), "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Guards against requests that wait for a hanging server until their deadline, and against work that goes on there
/// after it was given up.
#[test]
fn a_silent_server_is_given_up_when_the_request_may_be_repeated() {
    run(async {
        let silent = Server::start(vec![Action::Hang]).await;
        let healthy = Server::start(vec![Action::Write(answer("a1", "200 OK", "yours"))]).await;
        let mut fast_route = route(Kind::Idempotent, 2);
        fast_route.target_latency = Duration::from_millis(40);
        let entry = Entry::start(parts(fast_route), &[&silent]);
        let mut stream = entry.open(&request("a1")).await;
        while silent.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let record = support::record("i-sound", healthy.address);
        entry
            .state
            .with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));

        let mut response = String::new();
        let _ = stream.read_to_string(&mut response).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        while *silent.disconnects.borrow() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Guards against servers that work on, and requests that stay counted as open, after the caller has gone.
#[test]
fn a_server_sees_a_disconnect_when_its_caller_disconnects() {
    for action in [
        Action::Hang,
        Action::Stall(stream_head("a1") + &chunk("id: 1\n\n")),
    ] {
        run(async move {
            let server = Server::start(vec![action]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);
            let stream = entry.open(&request("a1")).await;
            while server.arrivals() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }

            drop(stream);

            while *server.disconnects.borrow() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(entry.state.count_open_requests(), 0);
        });
    }
}

/// Guards against requests that are cut off or refused in a restart while the load balancer still sends to the entry.
#[test]
fn a_closing_entry_finishes_open_requests_and_answers_new_connections() {
    run(async {
        let healthy = Action::Write(answer("a2", "200 OK", "id: 1\ndata: ravi\n\n"));
        let head = stream_head("a1") + &chunk("id: 1\n\n");
        let server = Server::start(vec![Action::Stall(head), healthy]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);
        let open = entry
            .open(&request("a1").replace("Connection: close\r\n", ""))
            .await;
        while server.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }

        entry.closing.send_replace(true);
        // Would block if connections that end held the lock of the watched value.
        entry.closing.send_replace(true);
        let response = entry.call(&request("a2")).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(entry.state.count_open_requests(), 1);
        drop(open);
    });
}

/// Returns settings under which a new target version is enforced about half a second after it is set.
fn with_short_grace() -> Options {
    Options {
        version_grace: Duration::from_millis(2400),
        ..support::options()
    }
}

/// Guards against requests that wait at an engine and begin on an old version too late.
#[test]
fn a_request_that_waits_at_an_old_version_is_withdrawn_when_the_new_one_is_due() {
    run(async {
        let old = Server::start(vec![Action::Hang]).await;
        let rest = stream_head("a1") + &chunk("id: 1\n\n") + "0\r\n\r\n";
        let new = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start_with(with_short_grace(), parts(route(Kind::Stream, 2)), &[&old]);
        let state = std::rc::Rc::clone(&entry.state);
        state.set_target_version(support::MODEL, 2, Some(state.now()));
        let mut stream = entry.open(&request("a1")).await;
        while old.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut record = support::record("i-new", new.address);
        record.models[0].version = 2;
        state.with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));

        let mut response = String::new();
        let _ = stream.read_to_string(&mut response).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!((old.arrivals(), new.arrivals()), (1, 1));
    });
}

/// Guards against repeated requests to an address that another server has taken over, before the list says so.
#[test]
fn a_server_that_is_not_the_expected_one_is_avoided_until_the_list_is_updated() {
    let misdirected = "HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    run(async {
        let server = Server::start(vec![Action::Write(misdirected.to_owned())]).await;
        let entry = Entry::start(parts(route(Kind::Idempotent, 1)), &[&server]);
        let before = entry.state.now();

        let answer = entry.call(&request("a1")).await;

        let requirements = Requirements {
            service: Arc::from(SERVICE),
            ..Requirements::default()
        };
        let soon = before + Duration::from_millis(400);
        let serves = entry
            .state
            .with_pool(|pool| pool.can_serve(&requirements, soon));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(!serves);
    });
}

/// Guards against a crash that doesn't count because the server was lost while a stream was resumed there.
#[test]
fn a_stream_that_is_lost_again_on_resume_counts_at_both_servers() {
    run(async {
        let interrupted = stream_head("a1") + &chunk("id: 1\ndata: ravi\n\n");
        let first = Server::start(vec![Action::Reset(interrupted)]).await;
        let second = Server::start(vec![Action::Reset(String::new())]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let mut stream = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let record = support::record("i-second", second.address);
        entry
            .state
            .with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));

        let mut response = String::new();
        let _ = stream.read_to_string(&mut response).await;

        assert_eq!(second.arrivals(), 1);
        assert_eq!(entry.state.start_checks().len(), 2);
    });
}
