//! Suspensions of an entry's machine, during which its timers stand still.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::{config::Kind, state::Options};
use support::{
    Action, Entry, MODEL, Server, chunk, options, parts, request, route, run, stream_head,
};

const EVENT: &str = "id: 1\ndata: ravioli\n\n";

const END: &str = "0\r\n\r\n";

/// Returns settings under which requests are withdrawn 2250 ms after a version was set.
fn with_short_grace() -> Options {
    Options {
        version_grace: Duration::from_millis(2500),
        ..options()
    }
}

/// Guards against requests that are sent to an old version after a suspension, because its age did not count the time.
#[test]
fn no_request_is_sent_to_an_old_version_after_a_suspension() {
    for suspensions in [&[2400][..], &[800, 800, 800]] {
        run(async move {
            let stream = stream_head("a1") + &chunk(EVENT) + END;
            let server = Server::start(vec![Action::Write(stream)]).await;
            let entry = Entry::start_with(
                with_short_grace(),
                parts(route(Kind::Stream, 1)),
                &[&server],
            );
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
