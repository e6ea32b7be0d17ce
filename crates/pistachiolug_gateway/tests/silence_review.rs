//! Failures around servers that fall silent and requests that wait for another server meanwhile.

#![allow(clippy::unwrap_used)]

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pistachiolug_gateway::{
    config::{Kind, Route},
    permit::Permit,
    pool::Requirements,
    prober,
    state::Options,
    stop::{self, Stage},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{Instant, sleep},
};

use support::{
    Action, Entry, MODEL, SERVICE, Server, answer, chunk, parts, read_all, request, route, run,
    stream_head,
};

/// Pause of a sound server; longer than all bounds after which another server is asked.
const PAUSE: Duration = Duration::from_secs(2);

/// Time after the start of a silence at which another server has been asked.
const ASKED_AFTER: Duration = Duration::from_millis(1300);

const ONE: &str = "id: 1\ndata: ravi\n\n";
const TWO: &str = "id: 2\ndata: oli\n\n";
const END: &str = "0\r\n\r\n";

/// Returns settings whose budget allows one retry.
fn with_one_retry() -> Options {
    Options {
        retry_share: 0.0,
        retry_slack: 1.2,
        ..support::options()
    }
}

fn short_target_route(kind: Kind, attempts: u32) -> Route {
    Route {
        target_latency: Duration::from_millis(200),
        ..route(kind, attempts)
    }
}

async fn wait_for_arrival(server: &Server) {
    while server.arrivals() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

fn list(entry: &Entry, id: &str, address: SocketAddr) {
    let record = support::record(id, address);
    let state = &entry.state;
    state.with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));
    state.refresh();
}

/// Takes all free slots of the servers that are listed.
fn take_slots(entry: &Entry) -> Vec<Permit> {
    let requirements = Requirements {
        service: SERVICE.into(),
        model: Some(MODEL.into()),
        ..Requirements::default()
    };
    std::iter::from_fn(|| entry.state.reserve(&requirements)).collect()
}

/// Guards against requests that are refused although there are free slots, because a silent stream looks for another server.
#[test]
fn other_requests_are_served_while_a_silent_stream_looks_for_a_server() {
    let rows = [
        ("after an event", stream_head("a1") + &chunk(ONE)),
        ("after the head", stream_head("a1")),
    ];
    for (name, begun) in rows {
        run(async move {
            let silent = Action::Pause(begun, PAUSE, chunk(TWO) + END);
            let whole = stream_head("a2") + &chunk(ONE) + END;
            let server = Server::start(vec![silent, Action::Write(whole)]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&server]);
            let _silent_stream = entry.open(&request("a1")).await;
            wait_for_arrival(&server).await;
            sleep(ASKED_AFTER).await;

            let sent_at = Instant::now();
            let response = entry.call(&request("a2")).await;

            assert!(response.ends_with(END), "{name}: {response}");
            let elapsed = sent_at.elapsed();
            assert!(elapsed < Duration::from_millis(100), "{name}: {elapsed:?}");
        });
    }
}

/// Guards against requests that are refused although there are free slots, because a silent stream waits for others.
#[test]
fn other_requests_are_served_while_a_silent_stream_waits_for_a_full_server() {
    run(async {
        let begun = stream_head("a1") + &chunk(ONE);
        let silent = Action::Pause(begun, PAUSE, chunk(TWO) + END);
        let whole = stream_head("a2") + &chunk(ONE) + END;
        let first = Server::start(vec![silent, Action::Write(whole)]).await;
        let second = Server::start(Vec::new()).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let _silent_stream = entry.open(&request("a1")).await;
        wait_for_arrival(&first).await;
        list(&entry, "i-second", second.address);
        let mut permits = take_slots(&entry);
        permits.retain(|permit| &*permit.choice.record.id == "i-second");
        sleep(ASKED_AFTER).await;

        let sent_at = Instant::now();
        let response = entry.call(&request("a2")).await;

        assert!(response.ends_with(END), "{response}");
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_millis(100), "{elapsed:?}");
    });
}

/// Guards against streams that are cut when the server that should resume them fails too, with attempts left.
#[test]
fn a_stream_is_resumed_elsewhere_when_the_second_server_fails() {
    let full = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    let rows = [
        ("reset", Action::Reset(String::new())),
        ("full", Action::Write(full)),
    ];
    for (name, action) in rows {
        run(async move {
            let begun = stream_head("a1") + &chunk(ONE);
            let pause = Duration::from_millis(200);
            let first = Server::start(vec![Action::Break(begun, pause)]).await;
            let second = Server::start(vec![action]).await;
            let rest = stream_head("a1") + &chunk(TWO) + END;
            let third = Server::start(vec![Action::Write(rest)]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 3)), &[&first]);
            let stream = entry.open(&request("a1")).await;
            wait_for_arrival(&first).await;
            list(&entry, "i-second", second.address);
            wait_for_arrival(&second).await;
            list(&entry, "i-third", third.address);

            let response = read_all(stream).await;

            assert!(response.ends_with(END), "{name}: {response}");
        });
    }
}

/// Guards against streams that are cut because nothing listens at the server that should resume them.
#[test]
fn a_stream_is_resumed_elsewhere_when_the_second_server_refuses_connections() {
    run(async {
        let begun = stream_head("a1") + &chunk(ONE);
        let pause = Duration::from_millis(200);
        let first = Server::start(vec![Action::Break(begun, pause)]).await;
        let rest = stream_head("a1") + &chunk(TWO) + END;
        let third = Server::start(vec![Action::Write(rest)]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let stream = entry.open(&request("a1")).await;
        wait_for_arrival(&first).await;
        list(&entry, "i-closed", closed);
        sleep(pause * 2).await;
        list(&entry, "i-third", third.address);

        let response = read_all(stream).await;

        assert!(response.ends_with(END), "{response}");
    });
}

/// Guards against requests that fail because a silent server is withdrawn for an answer that then breaks off.
#[test]
fn a_silent_server_is_kept_until_the_answer_of_the_other_one_is_whole() {
    run(async {
        let whole = answer("a1", "200 OK", "yours");
        let late = Action::Pause(String::new(), PAUSE, whole.clone());
        let first = Server::start(vec![late]).await;
        let cut = whole[..whole.len() - 2].to_owned();
        let second = Server::start(vec![Action::Reset(cut)]).await;
        let entry = Entry::start(parts(short_target_route(Kind::Idempotent, 2)), &[&first]);
        let stream = entry.open(&request("a1")).await;
        wait_for_arrival(&first).await;
        list(&entry, "i-second", second.address);

        let response = read_all(stream).await;

        assert!(response.ends_with("yours"), "{response}");
    });
}

/// Guards against requests that take two retries from the budget for one further send, as the first ask found no slot.
#[test]
fn an_ask_without_a_free_slot_takes_no_retry() {
    run(async {
        let pause = Duration::from_millis(700);
        let first = Server::start(vec![Action::Break(String::new(), pause)]).await;
        let whole = answer("a1", "200 OK", "yours");
        let second = Server::start(vec![Action::Write(whole)]).await;
        let route = short_target_route(Kind::Idempotent, 2);
        let entry = Entry::start_with(with_one_retry(), parts(route), &[&first]);
        let stream = entry.open(&request("a1")).await;
        wait_for_arrival(&first).await;
        list(&entry, "i-second", second.address);
        let permits = take_slots(&entry);
        sleep(Duration::from_millis(600)).await;
        drop(permits);

        let response = read_all(stream).await;

        assert!(response.ends_with("yours"), "{response}");
        assert_eq!(second.arrivals(), 1);
    });
}

/// Guards against streams that can't be resumed because retries were spent on asks that sent nothing.
#[test]
fn an_ask_without_a_free_server_takes_no_retry() {
    run(async {
        let begun = stream_head("a1") + &chunk(ONE);
        let first = Server::start(vec![Action::Break(begun, PAUSE)]).await;
        let rest = stream_head("a1") + &chunk(TWO) + END;
        let second = Server::start(vec![Action::Write(rest)]).await;
        let parts = parts(route(Kind::Stream, 2));
        let entry = Entry::start_with(with_one_retry(), parts, &[&first]);
        let stream = entry.open(&request("a1")).await;
        wait_for_arrival(&first).await;
        sleep(PAUSE.saturating_sub(Duration::from_millis(100))).await;
        list(&entry, "i-second", second.address);

        let response = read_all(stream).await;

        assert!(response.ends_with(END), "{response}");
    });
}

/// Guards against contents that crash servers without a reset and are not recognized as suspects.
#[test]
fn a_silent_server_that_has_crashed_is_counted_after_another_one_went_on() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let rest = stream_head("a1") + &chunk(TWO) + END;
        let second = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[]);
        let state = Rc::clone(&entry.state);
        spawn_local(prober::run(Rc::clone(&state)));
        list(&entry, "i-first", address);
        let stream = entry.open(&request("a1")).await;
        let (mut crashed, _) = listener.accept().await.unwrap();
        let begun = stream_head("a1") + &chunk(ONE);
        crashed.write_all(begun.as_bytes()).await.unwrap();
        drop(listener);
        list(&entry, "i-second", second.address);

        let response = read_all(stream).await;
        sleep(Duration::from_millis(300)).await;

        assert!(response.ends_with(END), "{response}");
        assert_eq!(state.metrics.crashes.get("allowed").get(), 1);
    });
}

/// Guards against a server that is silent at the deadline and is not checked, because another one was silent as well.
#[test]
fn both_servers_are_checked_when_both_are_silent_at_the_deadline() {
    for action in [Action::Hang, Action::Stall(stream_head("a1"))] {
        run(async move {
            let begun = stream_head("a1") + &chunk(ONE);
            let first = Server::start(vec![Action::Stall(begun)]).await;
            let second = Server::start(vec![action]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
            let stream = entry.open(&request("a1")).await;
            wait_for_arrival(&first).await;
            list(&entry, "i-second", second.address);

            let response = read_all(stream).await;

            assert!(!response.ends_with(END), "{response}");
            assert_eq!(second.arrivals(), 1);
            assert_eq!(entry.state.start_checks().len(), 2);
        });
    }
}

/// Guards against callers whose connection is reset while they send the body of a denied request.
#[test]
fn a_denied_request_is_read_whole_before_its_answer() {
    run(async {
        let server = Server::start(Vec::new()).await;
        let entry = Entry::start(parts(route(Kind::Idempotent, 2)), &[&server]);
        let head = request("a1").replace("/book/", "/other/");
        let head = head.replace("Length: 5", "Length: 300000");
        let body = "a".repeat(100_000);
        let mut stream = entry.open(head.trim_end_matches("plate")).await;

        for _ in 0..3 {
            sleep(Duration::from_millis(30)).await;
            stream.write_all(body.as_bytes()).await.unwrap();
        }
        let response = read_all(stream).await;

        assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    });
}

/// Guards against a stop that cuts an answer which the caller has not read yet.
#[test]
fn a_stop_waits_until_an_answer_is_written() {
    run(async {
        let whole = answer("a1", "200 OK", &"a".repeat(16 << 20));
        let server = Server::start(vec![Action::Write(whole)]).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);
        let idle = TcpStream::connect(entry.address).await.unwrap();
        let stream = entry.open(&request("a1")).await;
        sleep(Duration::from_millis(500)).await;

        entry.closing.send_replace(true);
        let while_unread = stage(&entry);
        let response = read_all(stream).await;
        let after = stage(&entry);

        assert_eq!(entry.state.metrics.outcomes.get("answered").get(), 1);
        assert_eq!(while_unread, Stage::Finishing);
        assert!(response.len() > 16 << 20);
        assert_eq!(after, Stage::Done);
        drop(idle);
    });
}

/// Returns the stage of an entry that got its stop signal a minute ago.
fn stage(entry: &Entry) -> Stage {
    let open = entry.state.count_open_requests() + entry.used.count();
    stop::stage(Duration::from_secs(60), open)
}
