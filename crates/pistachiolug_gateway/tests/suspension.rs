//! Suspensions of an entry's machine, during which its timers stand still.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Kind, Route},
    pool::Pool,
    queue::Rank,
    state::Options,
};
use pistachiolug_kernel::{clock::System, suspension, timer::Timer};
use support::{
    Action, Entry, MODEL, POSITION, SERVICE, Server, answer, chunk, options, parts, read_all,
    record, request, route, run, stream_head,
};
use tokio::{task::spawn_local, time::sleep};

/// Time for which servers pause; many times the interval at which suspensions are looked for.
const PAUSE: Duration = Duration::from_secs(1);

const EVENT: &str = "id: 1\ndata: ravioli\n\n";

/// Rank behind all requests.
const LAST: Rank = Rank {
    is_late: true,
    priority: u8::MAX,
};

const END: &str = "0\r\n\r\n";

/// Starts an entry that looks for suspensions, as its process does.
fn start_entry(options: Options, route: Route, servers: &[&Server]) -> Entry {
    let entry = Entry::start_with(options, parts(route), servers);
    let timer = Timer::new(System::default());
    let ticks = timer.subscribe(Duration::from_millis(30), Duration::ZERO);
    let state = entry.state.clone();
    let handle = move || state.move_deadlines();
    let clock = entry.state.clock();
    spawn_local(suspension::watch(clock, ticks, handle));
    spawn_local(timer.run());
    entry
}

/// Returns settings under which requests are withdrawn 2250 ms after a version was set.
fn with_short_grace() -> Options {
    Options {
        version_grace: Duration::from_millis(2500),
        ..options()
    }
}

async fn wait_for_arrival(server: &Server) {
    while server.arrivals() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against requests that begin on an old version because timers stood still in a suspension.
#[test]
fn a_waiting_request_is_withdrawn_when_a_suspension_ends_after_its_deadline_to_begin() {
    let event = chunk(EVENT) + END;
    let rows = [
        ("with head", stream_head("a1"), event.clone()),
        ("without head", String::new(), stream_head("a1") + &event),
    ];
    for (name, before, after) in rows {
        run(async move {
            let server = Server::start(vec![Action::Pause(before, PAUSE, after)]).await;
            let entry = start_entry(with_short_grace(), route(Kind::Stream, 1), &[&server]);
            entry
                .state
                .set_target_version(MODEL, 2, Some(entry.state.now()));
            let stream = entry.open(&request("a1")).await;
            wait_for_arrival(&server).await;

            entry.state.clock().suspend(Duration::from_millis(2400));
            let response = read_all(stream).await;

            assert!(response.starts_with("HTTP/1.1 502"), "{name}: {response}");
            server.wait_for_disconnects(1).await;
        });
    }
}

/// Guards against requests that are sent to an old version after a suspension, because its age did not count the time.
#[test]
fn no_request_is_sent_to_an_old_version_after_a_suspension() {
    for suspensions in [&[2400][..], &[800, 800, 800]] {
        run(async move {
            let stream = stream_head("a1") + &chunk(EVENT) + END;
            let server = Server::start(vec![Action::Write(stream)]).await;
            let entry = start_entry(with_short_grace(), route(Kind::Stream, 1), &[&server]);
            entry
                .state
                .set_target_version(MODEL, 2, Some(entry.state.now()));
            let clock = entry.state.clock();

            for ms in suspensions {
                clock.suspend(Duration::from_millis(*ms));
            }
            let response = entry.call(&request("a1")).await;

            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert_eq!(server.arrivals(), 0);
        });
    }
}

/// Guards against servers that are handed more time than the caller has left, after a suspension of the entry.
#[test]
fn a_server_is_handed_the_time_that_is_left_after_a_suspension() {
    let suspension = Duration::from_millis(1200);
    let not_run = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let rows = [
        ("not run", Kind::Idempotent, not_run.to_owned()),
        ("no answer", Kind::Idempotent, String::new()),
        ("stream not run", Kind::Stream, not_run.to_owned()),
    ];
    for (name, kind, failure) in rows {
        run(async move {
            let first = Action::Pause(String::new(), Duration::from_millis(200), failure);
            let first = Server::start(vec![first]).await;
            let second = Server::start(vec![Action::Write(answer("a1", "200 OK", ""))]).await;
            let mut route = route(kind, 2);
            // No server is asked beside the first one.
            route.target_latency = route.timeout;
            let entry = start_entry(options(), route, &[&first]);
            let stream = entry.open(&request("a1")).await;
            wait_for_arrival(&first).await;
            let record = record("i-second", second.address);
            let add = |pool: &mut Pool| pool.put(record, POSITION, Duration::ZERO);
            entry.state.with_pool(add);

            entry.state.clock().suspend(suspension);
            let response = read_all(stream).await;

            let sent: Vec<u64> = [&first, &second].map(time_left_ms).into();
            assert!(response.starts_with("HTTP/1.1 200"), "{name}: {response}");
            assert!(sent[0] <= 3000 && sent[1] <= 1800, "{name}: {sent:?}");
        });
    }
}

/// Guards against callers that get no answer at their deadline because timers stood still in a suspension.
#[test]
fn a_request_is_answered_when_a_suspension_ends_after_its_deadline() {
    let body = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s1\r\nContent-Length: 7\r\n\r\n";
    let event = chunk(EVENT) + END;
    let (idempotent, stream) = (Kind::Idempotent, Kind::Stream);
    let rows = [
        ("no answer", idempotent, "", answer("a1", "200 OK", "")),
        ("no body", idempotent, body, "ravioli".to_owned()),
        ("no head", stream, "", stream_head("a1") + &event),
        ("no event", stream, &stream_head("a1"), event),
    ];
    for (name, kind, before, after) in rows {
        let before = before.to_owned();
        run(async move {
            let server = Server::start(vec![Action::Pause(before, PAUSE, after)]).await;
            let entry = start_entry(options(), route(kind, 1), &[&server]);
            let stream = entry.open(&request("a1")).await;
            wait_for_arrival(&server).await;

            entry.state.clock().suspend(Duration::from_secs(3));
            let response = read_all(stream).await;

            assert!(response.starts_with("HTTP/1.1 504"), "{name}: {response}");
            server.wait_for_disconnects(1).await;
        });
    }
}

/// Guards against callers that wait in the queue beyond their deadline because timers stood still in a suspension.
#[test]
fn a_queued_request_is_refused_when_a_suspension_ends_after_its_wait() {
    for suspension in [2000, 3000].map(Duration::from_millis) {
        run(async move {
            let first = Action::Pause(String::new(), PAUSE, answer("a0", "200 OK", ""));
            let server = Server::start(vec![first]).await;
            let mut route = route(Kind::Idempotent, 1);
            // The first attempt of a caller may wait for 1.6 s.
            route.target_latency = route.timeout;
            let entry = start_entry(options(), route, &[&server]);
            let mut streams = Vec::new();
            while entry.state.count_ahead(&Arc::from(SERVICE), LAST) == 0 {
                streams.push(entry.open(&request(&format!("a{}", streams.len()))).await);
                sleep(Duration::from_millis(5)).await;
            }
            let queued = format!("X-Attempt: a{}\r\n", streams.len() - 1).to_lowercase();

            entry.state.clock().suspend(suspension);
            let response = read_all(streams.pop().unwrap()).await;

            assert!(
                response.starts_with("HTTP/1.1 503"),
                "{suspension:?}: {response}"
            );
            let requests = server.requests.borrow();
            assert!(!requests.iter().any(|request| request.contains(&queued)));
        });
    }
}

/// Returns the time that the first request to a server states, in milliseconds.
fn time_left_ms(server: &Server) -> u64 {
    let requests = server.requests.borrow();
    let mut lines = requests[0].lines();
    let time = lines.find_map(|line| line.strip_prefix("x-deadline: "));
    time.unwrap().parse().unwrap()
}
