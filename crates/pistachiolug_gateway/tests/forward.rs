//! Forwarding on loopback: what callers get and what servers see when things fail.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{config::Kind, pool::Requirements, state::Options};
use tokio::io::AsyncReadExt;

use support::{
    Act, Entry, SERVICE, Server, answer, chunk, parts, request, route, run, stream_head,
};

/// Fault of the first server of a route with two attempts, and what follows.
struct Case {
    name: &'static str,
    kind: Kind,
    act: Act,
    /// Status that the caller gets.
    status: &'static str,
    /// Arrivals at both servers together.
    arrivals: usize,
}

fn case(name: &'static str, kind: Kind, act: Act, status: &'static str, arrivals: usize) -> Case {
    Case {
        name,
        kind,
        act,
        status,
        arrivals,
    }
}

fn cases() -> Vec<Case> {
    let not_run = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    let other = answer("another", "200 OK", "theirs");
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
            Act::Write(not_run.clone()),
            "200",
            2,
        ),
        case("full, once", Kind::Once, Act::Write(not_run), "200", 2),
        case(
            "reset, repeatable",
            Kind::Idempotent,
            Act::Reset(String::new()),
            "200",
            2,
        ),
        case(
            "reset, once",
            Kind::Once,
            Act::Reset(String::new()),
            "502",
            1,
        ),
        case(
            "other's answer, once",
            Kind::Once,
            Act::Write(other.clone()),
            "502",
            1,
        ),
        case(
            "other's answer, repeatable",
            Kind::Idempotent,
            Act::Write(other),
            "200",
            2,
        ),
        case(
            "unsigned, once",
            Kind::Once,
            Act::Write(unsigned.clone()),
            "502",
            1,
        ),
        case(
            "unsigned, repeatable",
            Kind::Idempotent,
            Act::Write(unsigned),
            "200",
            2,
        ),
        case(
            "short, once",
            Kind::Once,
            Act::Write(short.clone()),
            "502",
            1,
        ),
        case(
            "short, repeatable",
            Kind::Idempotent,
            Act::Write(short),
            "200",
            2,
        ),
        case("garbage, once", Kind::Once, Act::Write(garbage), "502", 1),
        case(
            "failed, repeatable",
            Kind::Idempotent,
            Act::Write(failed.clone()),
            "200",
            2,
        ),
        case("failed, once", Kind::Once, Act::Write(failed), "500", 1),
    ]
}

#[test]
fn a_fault_of_the_first_server_is_answered_by_kind() {
    for case in cases() {
        run(async move {
            // Whichever server is asked first has the fault; the other one is sound.
            let sound = Act::Write(answer("a1", "200 OK", "yours"));
            let first = Server::start(vec![case.act.clone(), sound.clone()]).await;
            let entry = Entry::start(parts(route(case.kind, 2)), &[&first]);
            let second = Server::start(vec![sound]).await;
            // The second server joins once the first one has the request.
            let state = std::rc::Rc::clone(&entry.state);
            let watched = first.clone();
            let address = second.address;
            tokio::task::spawn_local(async move {
                while watched.arrivals() == 0 {
                    tokio::task::yield_now().await;
                }
                let record = support::record("i-second", address);
                state.with_pool(|pool| pool.put(record, 1, Duration::ZERO));
            });

            let got = entry.call(&request("a1")).await;

            let arrivals = first.arrivals() + second.arrivals();
            assert!(
                got.starts_with(&format!("HTTP/1.1 {}", case.status)),
                "{}: {got}",
                case.name
            );
            assert_eq!(arrivals, case.arrivals, "{}", case.name);
            assert!(!got.contains("theirs"), "{}", case.name);
        });
    }
}

#[test]
fn a_server_that_cannot_be_reached_is_no_attempt() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dead = listener.local_addr().unwrap();
        drop(listener);
        let sound = Server::start(vec![Act::Write(answer("a1", "200 OK", "yours"))]).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&sound]);
        for index in 0..3 {
            let record = support::record(&format!("i-dead-{index}"), dead);
            entry
                .state
                .with_pool(|pool| pool.put(record, 1, Duration::ZERO));
        }

        let got = entry.call(&request("a1")).await;

        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert_eq!(sound.arrivals(), 1);
    });
}

#[test]
fn a_server_gets_the_request_unchanged_with_the_system_headers() {
    run(async {
        let server = Server::start(vec![Act::Write(answer("a1", "200 OK", "yours"))]).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);

        let got = entry.call(&request("a1")).await;

        let arrived = server.arrived.borrow()[0].to_ascii_lowercase();
        assert!(
            got.contains("x-signature: s1") && got.ends_with("yours"),
            "{got}"
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

#[test]
fn requests_without_a_place_in_the_configuration_are_denied() {
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
            let got = entry.call(&request("a1").replace(from, to)).await;

            assert!(
                got.starts_with(&format!("HTTP/1.1 {status}")),
                "{from} as {to}: {got}"
            );
        }
        assert_eq!(server.arrivals(), 0);
    });
}

#[test]
fn a_refusal_says_when_to_come_back_and_is_not_sent() {
    run(async {
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[]);

        let got = entry.call(&request("a1")).await.to_ascii_lowercase();

        assert!(got.starts_with("http/1.1 503"), "{got}");
        assert!(got.contains("retry-after: "), "{got}");
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_server_without_a_gap() {
    run(async {
        let one = "id: 1\ndata: ravi\n\n";
        let two = "id: 2\ndata: oli\n\n";
        let three = "id: 3\ndata: .\n\n";
        // The first server breaks off in the middle of its third event.
        let torn = stream_head("a1") + &chunk(one) + &chunk(two) + &chunk("id: 3\nda");
        let rest = stream_head("a1") + &chunk(three) + "0\r\n\r\n";
        let first = Server::start(vec![Act::Reset(torn)]).await;
        let second = Server::start(vec![Act::Write(rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let record = support::record("i-second", second.address);
        let mut stream = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        entry
            .state
            .with_pool(|pool| pool.put(record, 1, Duration::ZERO));

        let mut got = String::new();
        let ended = stream.read_to_string(&mut got).await;

        assert!(ended.is_ok());
        let events: String = got
            .split("\r\n")
            .filter(|line| line.starts_with("id:"))
            .collect();
        assert_eq!(events, format!("{one}{two}{three}"));
        assert!(got.ends_with("0\r\n\r\n"), "{got}");
        assert!(second.arrived.borrow()[0].contains("last-event-id: 2"));
    });
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_complete() {
    run(async {
        let torn = stream_head("a1") + &chunk("id: 1\ndata: ravi\n\n");
        let server = Server::start(vec![Act::Reset(torn)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);

        let got = entry.call(&request("a1")).await;

        assert!(got.contains("data: ravi"), "{got}");
        assert!(!got.ends_with("0\r\n\r\n"), "{got}");
    });
}

#[test]
fn a_silent_server_is_left_for_another_when_the_request_may_be_repeated() {
    run(async {
        let silent = Server::start(vec![Act::Hang]).await;
        let sound = Server::start(vec![Act::Write(answer("a1", "200 OK", "yours"))]).await;
        let mut quick = route(Kind::Idempotent, 2);
        quick.target_latency = Duration::from_millis(40);
        let entry = Entry::start(parts(quick), &[&silent]);
        let mut stream = entry.open(&request("a1")).await;
        while silent.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let record = support::record("i-sound", sound.address);
        entry
            .state
            .with_pool(|pool| pool.put(record, 1, Duration::ZERO));

        let mut got = String::new();
        let _ = stream.read_to_string(&mut got).await;

        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        while *silent.left.borrow() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn a_server_learns_that_the_caller_has_left() {
    for act in [
        Act::Hang,
        Act::Stall(stream_head("a1") + &chunk("id: 1\n\n")),
    ] {
        run(async move {
            let server = Server::start(vec![act]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);
            let stream = entry.open(&request("a1")).await;
            while server.arrivals() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }

            drop(stream);

            while *server.left.borrow() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(entry.state.count_open_requests(), 0);
        });
    }
}

#[test]
fn a_closing_entry_finishes_open_requests_and_answers_new_connections() {
    run(async {
        let sound = Act::Write(answer("a2", "200 OK", "id: 1\ndata: ravi\n\n"));
        let head = stream_head("a1") + &chunk("id: 1\n\n");
        let server = Server::start(vec![Act::Stall(head), sound]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);
        let open = entry
            .open(&request("a1").replace("Connection: close\r\n", ""))
            .await;
        while server.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }

        entry.closing.send_replace(true);
        // The value's lock must stay free while connections end.
        entry.closing.send_replace(true);
        let got = entry.call(&request("a2")).await;

        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert_eq!(entry.state.count_open_requests(), 1);
        drop(open);
    });
}

/// Returns settings under which a named version is due half a second later.
fn due_soon() -> Options {
    Options {
        version_grace: Duration::from_millis(1200),
        ..support::options()
    }
}

#[test]
fn a_request_that_waits_at_an_old_version_is_taken_back_when_the_new_one_is_due() {
    run(async {
        let old = Server::start(vec![Act::Hang]).await;
        let rest = stream_head("a1") + &chunk("id: 1\n\n") + "0\r\n\r\n";
        let new = Server::start(vec![Act::Write(rest)]).await;
        let entry = Entry::start_with(due_soon(), parts(route(Kind::Stream, 2)), &[&old]);
        let state = std::rc::Rc::clone(&entry.state);
        state.set_target_version(support::MODEL, 2, true);
        let mut stream = entry.open(&request("a1")).await;
        while old.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut record = support::record("i-new", new.address);
        record.models[0].version = 2;
        state.with_pool(|pool| pool.put(record, 1, Duration::ZERO));

        let mut got = String::new();
        let _ = stream.read_to_string(&mut got).await;

        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert_eq!((old.arrivals(), new.arrivals()), (1, 1));
    });
}

#[test]
fn a_server_that_is_another_than_believed_is_passed_over_until_the_list_may_say_so() {
    let misdirected = "HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    run(async {
        let server = Server::start(vec![Act::Write(misdirected.to_owned())]).await;
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
