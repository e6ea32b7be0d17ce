//! Suspensions of an entry's machine, during which its timers stand still.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::{config::Kind, state::Options};
use pistachiolug_kernel::{clock::System, suspension, timer::Timer};
use support::{
    Action, Entry, MODEL, Server, chunk, options, parts, read_all, request, route, run, stream_head,
};
use tokio::{task::spawn_local, time::sleep};

/// Time for which servers pause; many times the interval at which suspensions are looked for.
const PAUSE: Duration = Duration::from_secs(1);

const EVENT: &str = "id: 1\ndata: ravioli\n\n";

const END: &str = "0\r\n\r\n";

/// Starts an entry that looks for suspensions, as its process does.
fn start_entry(options: Options, kind: Kind, attempts: u32, servers: &[&Server]) -> Entry {
    let entry = Entry::start_with(options, parts(route(kind, attempts)), servers);
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
            let entry = start_entry(with_short_grace(), Kind::Stream, 1, &[&server]);
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
            let entry = start_entry(with_short_grace(), Kind::Stream, 1, &[&server]);
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
