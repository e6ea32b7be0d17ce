//! Servers that fall silent and go on, and servers that are asked beside them.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, time::Duration};

use pistachiolug_gateway::{
    config::{Kind, Route},
    permit::Permit,
    pool::Requirements,
    prober,
    state::Options,
};
use tokio::time::sleep;

use support::{
    Action, Entry, MODEL, SERVICE, Server, answer, chunk,
    deployment::{Deployment, PAUSE_TIME, PAUSING_BODY},
    parts, read_all, request, route, run, stream_head, unframed_head,
};

/// Pause of a sound server; longer than all bounds after which another server is asked.
const PAUSE: Duration = Duration::from_millis(1500);

/// Time from a server's silence to an entry's request to another one, at most.
const ASK_TIME: Duration = Duration::from_millis(1300);

const ONE: &str = "id: 1\ndata: ravi\n\n";
const TWO: &str = "id: 2\ndata: oli\n\n";
const THREE: &str = "id: 3\ndata: .\n\n";
const END: &str = "0\r\n\r\n";

/// Returns the answer of a server that pauses between two events.
fn paused_stream(pause: Duration) -> Action {
    let begun = stream_head("a1") + &chunk(ONE);
    Action::Pause(begun, pause, chunk(TWO) + END)
}

fn stream_route() -> Route {
    route(Kind::Stream, 2)
}

/// Returns settings without any retry budget.
fn without_retries() -> Options {
    Options {
        retry_share: 0.0,
        retry_slack: 0.0,
        ..support::options()
    }
}

fn events(response: &str) -> String {
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let lines = body.split("\r\n");
    lines.filter(|line| line.starts_with("id:")).collect()
}

/// Lists another server once the first one has a request.
async fn list_second(entry: &Entry, first: &Server, second: &Server) {
    while first.arrivals() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let record = support::record("i-second", second.address);
    let state = &entry.state;
    state.with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));
}

/// Checks the servers that may have crashed, and returns the number of requests that were lost in crashes.
async fn count_crashes(entry: &Entry) -> usize {
    let mut crashes = 0;
    for check in entry.state.start_checks() {
        let verdict = prober::probe(check.address).await;
        crashes += entry.state.finish_check(&check, verdict);
    }
    crashes
}

/// Takes all free slots.
fn take_slots(entry: &Entry) -> Vec<Permit> {
    let requirements = Requirements {
        service: SERVICE.into(),
        model: Some(MODEL.into()),
        ..Requirements::default()
    };
    std::iter::from_fn(|| entry.state.reserve(&requirements)).collect()
}

/// Guards against streams that are cut because their only server pauses between two events.
#[test]
fn a_stream_goes_on_after_a_pause_of_its_only_server() {
    let chunked = paused_stream(PAUSE);
    let begun = unframed_head("a1") + ONE;
    let unframed = Action::Pause(begun, PAUSE, TWO.to_owned());
    for (name, action) in [("chunked", chunked), ("unframed", unframed)] {
        run(async move {
            let server = Server::start(vec![action]).await;
            let entry = Entry::start(parts(stream_route()), &[&server]);

            let response = entry.call(&request("a1")).await;

            assert_eq!(events(&response), format!("{ONE}{TWO}"), "{name}");
            assert!(response.ends_with(END), "{name}: {response}");
            assert_eq!(server.arrivals(), 1, "{name}");
        });
    }
}

/// Guards against streams that are cut in a pause because the budget allows no other server.
#[test]
fn a_stream_goes_on_after_a_pause_without_a_retry_budget() {
    run(async {
        let first = Server::start(vec![paused_stream(PAUSE)]).await;
        let second = Server::start(Vec::new()).await;
        let entry = Entry::start_with(without_retries(), parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(events(&response), format!("{ONE}{TWO}"));
        assert!(response.ends_with(END), "{response}");
        assert_eq!(second.arrivals(), 0);
    });
}

/// Guards against streams that are cut in a pause because the other servers are full.
#[test]
fn a_stream_goes_on_after_a_pause_while_other_servers_are_full() {
    run(async {
        let first = Server::start(vec![paused_stream(PAUSE + Duration::from_millis(700))]).await;
        let second = Server::start(Vec::new()).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;
        let permits = take_slots(&entry);

        let response = read_all(stream).await;

        assert!(!permits.is_empty());
        assert_eq!(events(&response), format!("{ONE}{TWO}"));
        assert!(response.ends_with(END), "{response}");
        assert_eq!(second.arrivals(), 0);
    });
}

/// Guards against streams that are cut or refused because their only server pauses before the first event.
#[test]
fn a_stream_that_begins_after_a_pause_is_relayed() {
    let first = chunk(ONE) + END;
    let rows = [
        ("with head", stream_head("a1"), first.clone()),
        ("without head", String::new(), stream_head("a1") + &first),
    ];
    for (name, before, after) in rows {
        run(async move {
            let server = Server::start(vec![Action::Pause(before, PAUSE, after)]).await;
            let entry = Entry::start(parts(stream_route()), &[&server]);

            let response = entry.call(&request("a1")).await;

            assert!(response.starts_with("HTTP/1.1 200"), "{name}: {response}");
            assert_eq!(events(&response), ONE, "{name}");
            assert!(response.ends_with(END), "{name}: {response}");
        });
    }
}

/// Guards against requests that fail because their only server pauses, and against sending once requests twice.
#[test]
fn a_plain_request_is_answered_after_a_pause_of_its_server() {
    for kind in [Kind::Idempotent, Kind::Once] {
        run(async move {
            let whole = answer("a1", "200 OK", "yours");
            let server = Server::start(vec![Action::Pause(String::new(), PAUSE, whole)]).await;
            let entry = Entry::start(parts(route(kind, 2)), &[&server]);

            let response = entry.call(&request("a1")).await;

            assert!(response.starts_with("HTTP/1.1 200"), "{kind:?}: {response}");
            assert!(response.ends_with("yours"), "{kind:?}: {response}");
            assert_eq!(server.arrivals(), 1, "{kind:?}");
        });
    }
}

/// Guards against streams that are cut in a pause when the configuration changes meanwhile.
#[test]
fn a_stream_goes_on_after_a_pause_beside_a_configuration_change() {
    run(async {
        let deployment = Deployment::start(Kind::Stream, 2, 3, 1).await;
        let [first, second, third] = ["p1", "p2", "p3"].map(|id| {
            let request = request(id);
            request.replace("plate", PAUSING_BODY)
        });

        let (first, second, third, ()) = tokio::join!(
            deployment.call(0, &first),
            deployment.call(1, &second),
            deployment.call(2, &third),
            async {
                sleep(PAUSE_TIME / 2).await;
                deployment.configure(2);
            },
        );

        for response in [first, second, third] {
            assert!(response.contains("data: ioli"), "{response}");
            assert!(response.ends_with(END), "{response}");
        }
    });
}

/// Guards against a server that is withdrawn although it goes on before the one that was asked beside it.
#[test]
fn a_stream_stays_with_a_paused_server_that_goes_on_first() {
    run(async {
        let first = Server::start(vec![paused_stream(PAUSE)]).await;
        let partial = stream_head("a1") + &chunk("id: 2\ndata: o");
        let second = Server::start(vec![Action::Stall(partial)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(events(&response), format!("{ONE}{TWO}"));
        assert!(response.ends_with(END), "{response}");
        assert!(second.requests.borrow()[0].contains("last-event-id: 1"));
        second.wait_for_disconnects(1).await;
        assert!(entry.state.start_checks().is_empty());
    });
}

/// Guards against streams that wait for a server that is silent for good, and against work that goes on there.
#[test]
fn a_stream_goes_on_at_another_server_when_the_first_stays_silent() {
    run(async {
        let partial = stream_head("a1") + &chunk(ONE) + &chunk("id: 2\ndata: o");
        let first = Server::start(vec![Action::Stall(partial)]).await;
        let rest = stream_head("a1") + &chunk(TWO) + &chunk(THREE) + END;
        let second = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(events(&response), format!("{ONE}{TWO}{THREE}"));
        assert!(response.ends_with(END), "{response}");
        assert!(second.requests.borrow()[0].contains("last-event-id: 1"));
        first.wait_for_disconnects(1).await;
    });
}

/// Guards against a sound server that counts as crashed because it is withdrawn.
#[test]
fn a_sound_server_that_is_withdrawn_for_another_has_not_crashed() {
    run(async {
        let first = Server::start(vec![Action::Stall(stream_head("a1") + &chunk(ONE))]).await;
        let rest = stream_head("a1") + &chunk(TWO) + END;
        let second = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(events(&response), format!("{ONE}{TWO}"));
        assert_eq!(count_crashes(&entry).await, 0);
    });
}

/// Guards against streams that are cut when the silent server breaks off while another one was already asked.
#[test]
fn a_stream_goes_on_at_the_server_asked_beside_when_the_first_breaks() {
    run(async {
        let begun = stream_head("a1") + &chunk(ONE) + &chunk("id: 2\nda");
        let first = Server::start(vec![Action::Break(begun, PAUSE)]).await;
        let rest = chunk(TWO) + END;
        let pause = Duration::from_millis(600);
        let second = Server::start(vec![Action::Pause(stream_head("a1"), pause, rest)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(events(&response), format!("{ONE}{TWO}"));
        assert!(response.ends_with(END), "{response}");
    });
}

/// Guards against streams that end because the server asked beside a silent one fails or ends without an event.
#[test]
fn a_stream_stays_with_a_paused_server_when_the_other_one_fails() {
    let empty = unframed_head("a1");
    let full = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    let rows = [
        ("full", Action::Write(full)),
        ("reset", Action::Reset(String::new())),
        ("reset after the head", Action::Reset(stream_head("a1"))),
        ("empty", Action::Write(empty)),
    ];
    for (name, action) in rows {
        run(async move {
            let first = Server::start(vec![paused_stream(PAUSE)]).await;
            let second = Server::start(vec![action]).await;
            let entry = Entry::start(parts(stream_route()), &[&first]);
            let stream = entry.open(&request("a1")).await;
            list_second(&entry, &first, &second).await;

            let response = read_all(stream).await;

            assert_eq!(events(&response), format!("{ONE}{TWO}"), "{name}");
            assert!(response.ends_with(END), "{name}: {response}");
            assert_eq!(second.arrivals(), 1, "{name}");
        });
    }
}

/// Guards against a stream whose head and events come from two servers although nothing was relayed before.
#[test]
fn a_stream_that_begins_at_the_other_server_has_the_head_of_that_server() {
    run(async {
        let first = Server::start(vec![Action::Stall(stream_head("a1"))]).await;
        let whole = stream_head("a1").replace("s1", "s2") + &chunk(ONE) + END;
        let second = Server::start(vec![Action::Write(whole)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert!(response.contains("x-signature: s2"), "{response}");
        assert_eq!(events(&response), ONE);
        first.wait_for_disconnects(1).await;
    });
}

/// Guards against plain requests that are cut at a paused server, or sent to more servers than the route allows.
#[test]
fn the_first_answer_of_two_servers_is_used_and_the_other_withdrawn() {
    let rows = [
        ("first", Action::Hang, "from first"),
        (
            "second",
            Action::Write(answer("a1", "200 OK", "from second")),
            "from second",
        ),
    ];
    for (name, second, body) in rows {
        run(async move {
            let whole = answer("a1", "200 OK", "from first");
            let late = Action::Pause(String::new(), ASK_TIME, whole);
            let first = Server::start(vec![late]).await;
            let second = Server::start(vec![second]).await;
            let entry = Entry::start(parts(route(Kind::Idempotent, 2)), &[&first]);
            let stream = entry.open(&request("a1")).await;
            list_second(&entry, &first, &second).await;

            let response = read_all(stream).await;

            assert!(response.ends_with(body), "{name}: {response}");
            assert_eq!((first.arrivals(), second.arrivals()), (1, 1), "{name}");
            let withdrawn = if name == "first" { &second } else { &first };
            withdrawn.wait_for_disconnects(1).await;
            assert_eq!(count_crashes(&entry).await, 0, "{name}");
        });
    }
}

/// Guards against callers that get a cut answer, or a promise that is not certain, for a stream that may not begin.
#[test]
fn a_stream_that_is_withdrawn_before_its_first_event_is_refused() {
    run(async {
        let options = Options {
            version_grace: Duration::from_millis(2400),
            ..support::options()
        };
        let server = Server::start(vec![Action::Stall(stream_head("a1"))]).await;
        let entry = Entry::start_with(options, parts(route(Kind::Stream, 1)), &[&server]);
        let state = Rc::clone(&entry.state);
        state.set_target_version(MODEL, 2, Some(state.now()));

        let response = entry.call(&request("a1")).await;

        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert!(state.start_checks().is_empty());
        server.wait_for_disconnects(1).await;
    });
}

/// Guards against requests that end without any trace because their caller left before the answer.
#[test]
fn a_caller_that_leaves_before_the_answer_is_counted() {
    for action in [Action::Hang, Action::Stall(stream_head("a1"))] {
        run(async move {
            let server = Server::start(vec![action]).await;
            let entry = Entry::start(parts(stream_route()), &[&server]);
            let stream = entry.open(&request("a1")).await;
            while server.arrivals() == 0 {
                sleep(Duration::from_millis(1)).await;
            }

            drop(stream);

            server.wait_for_disconnects(1).await;
            let outcomes = &entry.state.metrics.outcomes;
            assert_eq!(outcomes.get("caller-left").get(), 1);
            assert_eq!(entry.state.count_open_requests(), 0);
        });
    }
}

/// Guards against requests that begin on an old version because the new one was set after they had been sent.
#[test]
fn a_stream_is_withdrawn_when_a_version_that_is_set_later_is_due() {
    let event = chunk(ONE) + END;
    let rows = [
        ("with head", stream_head("a1"), event.clone()),
        ("without head", String::new(), stream_head("a1") + &event),
    ];
    for (name, before, after) in rows {
        run(async move {
            let options = Options {
                version_grace: Duration::from_millis(1200),
                ..support::options()
            };
            let late = Action::Pause(before, PAUSE, after);
            let server = Server::start(vec![late]).await;
            let entry = Entry::start_with(options, parts(route(Kind::Stream, 1)), &[&server]);
            let stream = entry.open(&request("a1")).await;
            while server.arrivals() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            entry
                .state
                .set_target_version(MODEL, 2, Some(entry.state.now()));

            let response = read_all(stream).await;

            assert!(response.starts_with("HTTP/1.1 502"), "{name}: {response}");
            server.wait_for_disconnects(1).await;
        });
    }
}

/// Guards against requests that are sent to more servers than the route allows while all of them are silent.
#[test]
fn no_more_servers_are_asked_than_the_route_allows() {
    for kind in [Kind::Stream, Kind::Idempotent] {
        run(async move {
            let first = Server::start(Vec::new()).await;
            let second = Server::start(Vec::new()).await;
            let third = Server::start(Vec::new()).await;
            let mut route = route(kind, 2);
            route.target_latency = Duration::from_millis(200);
            let entry = Entry::start(parts(route), &[&first, &second, &third]);

            let response = entry.call(&request("a1")).await;

            let arrivals = first.arrivals() + second.arrivals() + third.arrivals();
            let retries = &entry.state.metrics.retries;
            assert!(response.starts_with("HTTP/1.1 504"), "{kind:?}: {response}");
            assert_eq!(arrivals, 2, "{kind:?}");
            assert_eq!(retries.get("silent").get(), 1, "{kind:?}");
        });
    }
}

/// Guards against work that goes on at one of two servers after the caller has gone.
#[test]
fn both_servers_see_a_disconnect_when_the_caller_disconnects() {
    for action in [Action::Hang, Action::Stall(stream_head("a1") + &chunk(ONE))] {
        run(async move {
            let first = Server::start(vec![action]).await;
            let second = Server::start(vec![Action::Hang]).await;
            let entry = Entry::start(parts(stream_route()), &[&first]);
            let stream = entry.open(&request("a1")).await;
            list_second(&entry, &first, &second).await;
            while second.arrivals() == 0 {
                sleep(Duration::from_millis(1)).await;
            }

            drop(stream);

            first.wait_for_disconnects(1).await;
            second.wait_for_disconnects(1).await;
            assert_eq!(entry.state.count_open_requests(), 0);
        });
    }
}

/// Guards against events that come twice because a stream without event ids can only be resumed from its start.
#[test]
fn a_stream_without_event_ids_is_not_resumed() {
    run(async {
        let begun = stream_head("a1") + &chunk("data: ravi\n\n");
        let first = Server::start(vec![Action::Reset(begun)]).await;
        let whole = stream_head("a1") + &chunk("data: ravi\n\n") + &chunk("data: oli\n\n") + END;
        let second = Server::start(vec![Action::Write(whole)]).await;
        let entry = Entry::start(parts(stream_route()), &[&first]);
        let stream = entry.open(&request("a1")).await;
        list_second(&entry, &first, &second).await;

        let response = read_all(stream).await;

        assert_eq!(response.matches("data: ravi").count(), 1, "{response}");
        assert!(!response.ends_with(END), "{response}");
        assert_eq!(second.arrivals(), 0);
    });
}
