//! Requests during a stop: those that arrive when an entry stops to accept connections, and late ones.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::{
    config::Kind,
    stop::{Work, latest_send},
};

use support::{Action, Entry, Server, answer, parts, read_all, request, route, run};

/// Number of connections that wait to be accepted; as many as the server has slots.
const WAITING: usize = 8;

/// Guards against requests that are cut off without an answer because their connections still wait to be accepted.
#[test]
fn connections_that_wait_when_the_port_closes_are_answered() {
    run(async {
        let actions = (0..WAITING).map(|_| Action::Write(answer("a1", "200 OK", "yours")));
        let server = Server::start(actions.collect()).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);
        entry.closing.send_replace(true);
        // The task set accepts nothing before the next await.
        let connections: Vec<_> = (0..WAITING)
            .map(|_| {
                let mut stream = std::net::TcpStream::connect(entry.address).unwrap();
                std::io::Write::write_all(&mut stream, request("a1").as_bytes()).unwrap();
                stream.set_nonblocking(true).unwrap();
                tokio::net::TcpStream::from_std(stream).unwrap()
            })
            .collect();

        let address = entry.address;
        entry.close_port();

        for stream in connections {
            let response = read_all(stream).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let refused = tokio::net::TcpStream::connect(address).await;
        assert!(refused.is_err(), "the port is still open");
    });
}

/// Guards against requests that are passed on although the process ends before their answers. The load: requests of 1.2 s, and of
/// 15 ms, come late in a stop of 7.5 s.
#[test]
fn a_request_is_sent_only_if_it_is_answered_before_the_process_ends() {
    let end = Duration::from_millis(7500);
    let far = Duration::from_secs(30);
    for (name, work_ms, latest_ms) in [("short", 15, 7200..7400), ("long", 1200, 5000..6200)] {
        let work = Duration::from_millis(work_ms);

        let latest = latest_send(end, work, far);

        assert!(latest + work < end, "{name}: {latest:?}");
        assert!(
            latest_ms.contains(&latest.as_millis()),
            "{name}: {latest:?}"
        );
    }
}

/// Guards against refusals of requests whose callers don't wait for longer than the process lives.
#[test]
fn a_request_whose_deadline_passes_before_the_end_may_be_sent_until_then() {
    let end = Duration::from_millis(7500);
    let deadline = Duration::from_secs(7);

    let latest = latest_send(end, Duration::from_secs(20), deadline);

    assert_eq!(latest, deadline);
}

/// Guards against an estimate that forgets the slow requests of a route between many quick ones, and against one that a single
/// slow request spoils for good.
#[test]
fn the_time_of_work_follows_the_slower_requests() {
    let quick = Duration::from_millis(15);
    let slow = Duration::from_millis(1200);
    let mut work = Work::default();
    for number in 0..200 {
        work.record(if number % 10 == 9 { slow } else { quick });
    }

    let mixed = work.time().unwrap();
    for _ in 0..300 {
        work.record(quick);
    }

    assert!(mixed > slow / 2, "{mixed:?}");
    assert!(work.time().unwrap() < 2 * quick);
    assert_eq!(Work::default().time(), None);
}
