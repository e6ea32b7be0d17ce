//! Servers that answer 503 and say for how long they want no requests.

#![allow(clippy::unwrap_used)]

mod support;

use std::{iter::repeat_n, rc::Rc, time::Duration};

use futures_util::future::join_all;
use pistachiolug_gateway::{
    config::{Kind, Route},
    pool::Requirements,
    upstream::{self, Failure},
};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use support::{
    Action, Entry, POSITION, SERVICE, Server, answer, chunk,
    deployment::{Answered, Deployment},
    parts, read_all, record, request, route, run, stream_head,
};

/// Number of entries.
const ENTRIES: usize = 3;

/// Time for which servers in backoff ask, as in their header.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after a server's answer from which the entry has to keep to it.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Largest number of requests from one entry that may reach a server in its backoff.
const MAX_ARRIVALS: usize = 2;

/// Interval of the requests to each entry, and the time for which they come.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
const CALL_TIME: Duration = Duration::from_secs(3);

/// Sends requests to all entries; the id of each begins with the entry's. Returns the answers.
async fn call_entries(deployment: &Deployment) -> Vec<String> {
    let calls = join_all((0..ENTRIES).map(|entry| call_entry(deployment, entry)));
    calls.await.into_iter().flatten().collect()
}

async fn call_entry(deployment: &Deployment, entry: usize) -> Vec<String> {
    let until = Instant::now() + CALL_TIME;
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("{entry}-{}", answers.len());
        answers.push(deployment.call(entry, &request(&id)).await);
        sleep(CALL_INTERVAL).await;
    }
    answers
}

/// Returns the largest number of requests from one entry that reached a server in one of its backoffs.
fn most_arrivals(answered: &[Answered]) -> usize {
    let sender = |answered: &Answered| answered.attempt.split('-').next().unwrap().to_owned();
    let arrivals = answered.iter().map(|asking| {
        let backoff = asking.at + SETTLE_TIME..asking.at + RETRY_AFTER;
        let arrived = answered.iter().filter(|arrival| {
            arrival.server == asking.server
                && sender(arrival) == sender(asking)
                && backoff.contains(&arrival.at)
        });
        arrived.count()
    });
    arrivals.max().unwrap_or(0)
}

/// Guards against requests that reach a server which has just answered that it wants none for a while.
#[test]
fn servers_that_ask_for_a_backoff_get_no_requests_in_it() {
    let not_run = "X-Not-Run: 1\r\nRetry-After: 2\r\n";
    let unmarked = "Retry-After: 2\r\n";
    let rows = [
        ("one of two", Kind::Once, 1, not_run),
        ("all", Kind::Idempotent, 2, not_run),
        ("all, streams", Kind::Stream, 2, not_run),
        ("all, not marked", Kind::Once, 2, unmarked),
    ];
    let arrivals = rows.map(|(name, kind, refusing, headers)| {
        run(async move {
            let deployment = Deployment::start(kind, 2, ENTRIES as u8, 2).await;
            for (server, headers) in repeat_n(headers, refusing).enumerate() {
                deployment.fix_answer(server as u8, "503 Busy", headers);
            }

            call_entries(&deployment).await;

            let answered = deployment.fixed_answers();
            assert!(answered.len() >= refusing * ENTRIES, "{name}");
            (name, most_arrivals(&answered))
        })
    });

    let is_kept = arrivals.iter().all(|(_, most)| *most <= MAX_ARRIVALS);
    assert!(is_kept, "requests in a backoff: {arrivals:?}");
}

/// Returns an answer with a status and header lines.
fn answer_with(id: &str, status: &str, headers: &str) -> String {
    answer(id, status, "").replacen("\r\n", &format!("\r\n{headers}"), 1)
}

/// Returns an unsigned answer of a server that did not run the request and wants none for 3 s.
fn refusal(id: &str) -> String {
    let answer = answer_with(id, "503 Busy", "X-Not-Run: 1\r\nRetry-After: 3\r\n");
    answer.replace("X-Signature: s1\r\n", "")
}

fn is_in_backoff(entry: &Entry, server: &str) -> bool {
    let now = entry.state.now();
    let left = entry.state.with_pool(|pool| {
        let server = pool.get(server).unwrap();
        server.backoff_left(now)
    });
    left.is_some()
}

/// Returns a route that waits for slots for up to 0.4 s.
fn patient_route(kind: Kind, attempts: u32) -> Route {
    Route {
        target_latency: Duration::from_secs(1),
        ..route(kind, attempts)
    }
}

/// Guards against backoffs that are ignored because of the shape of the answer, and against others' answers that count.
#[test]
fn a_backoff_is_learnt_from_a_503_that_answers_the_request() {
    let retry_after = "Retry-After: 3\r\n";
    let not_run = "X-Not-Run: 1\r\nRetry-After: 3\r\n";
    let unsigned = |answer: String| answer.replace("X-Signature: s1\r\n", "");
    let rows = [
        ("signed", answer_with("a1", "503 Busy", retry_after), true),
        ("not run", answer_with("a1", "503 Busy", not_run), true),
        ("unsigned, not run", refusal("a1"), true),
        (
            "unsigned",
            unsigned(answer_with("a1", "503 Busy", retry_after)),
            true,
        ),
        (
            "of nobody",
            unsigned(answer_with("a1", "503 Busy", retry_after)).replace("X-Attempt: a1\r\n", ""),
            false,
        ),
        ("of another", answer_with("a2", "503 Busy", not_run), false),
        (
            "other status",
            answer_with("a1", "429 Busy", not_run),
            false,
        ),
        ("success", answer_with("a1", "200 OK", retry_after), false),
        (
            "zero",
            answer_with("a1", "503 Busy", "X-Not-Run: 1\r\nRetry-After: 0\r\n"),
            false,
        ),
        (
            "date",
            answer_with(
                "a1",
                "503 Busy",
                "X-Not-Run: 1\r\nRetry-After: Fri, 04 Dec 2026 09:16:00 GMT\r\n",
            ),
            false,
        ),
    ];
    for (name, answer, is_learnt) in rows {
        run(async move {
            let server = Server::start(vec![Action::Write(answer)]).await;
            let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);

            entry.call(&request("a1")).await;

            assert_eq!(is_in_backoff(&entry, "i-0"), is_learnt, "{name}");
        });
    }
}

/// Guards against requests that wait until they are refused late, or that reach a server, while all are in a backoff.
#[test]
fn requests_are_refused_with_a_retry_delay_while_all_servers_are_in_a_backoff() {
    for kind in [Kind::Once, Kind::Idempotent, Kind::Stream] {
        run(async move {
            let servers = [
                Server::start(vec![Action::Write(refusal("a1"))]).await,
                Server::start(vec![Action::Write(refusal("a1"))]).await,
            ];
            let entry = Entry::start(parts(route(kind, 2)), &[&servers[0], &servers[1]]);
            entry.call(&request("a1")).await;

            let response = entry.call(&request("a2")).await;

            let arrivals: usize = servers.iter().map(Server::arrivals).sum();
            assert_eq!(arrivals, 2, "{kind:?}");
            assert!(response.starts_with("HTTP/1.1 503"), "{kind:?}: {response}");
            assert!(response.contains("retry-after: "), "{kind:?}: {response}");
            assert!(response.contains("backoff"), "{kind:?}: {response}");
        });
    }
}

/// Guards against requests that are refused although a server is out of its backoff before they have to be.
#[test]
fn a_request_waits_for_a_server_that_is_soon_out_of_its_backoff() {
    run(async {
        let refused = refusal("a1").replace("Retry-After: 3", "Retry-After: 0.1");
        let server = Server::start(vec![
            Action::Write(refused),
            Action::Write(answer("a2", "200 OK", "yours")),
        ])
        .await;
        let entry = Entry::start(parts(patient_route(Kind::Once, 1)), &[&server]);
        entry.call(&request("a1")).await;
        let state = Rc::clone(&entry.state);
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(30)).await;
                state.refresh();
            }
        });

        let response = entry.call(&request("a2")).await;

        assert!(response.ends_with("yours"), "{response}");
    });
}

/// Guards against backoffs that are missed because the request goes on at another server.
#[test]
fn a_backoff_is_learnt_from_a_server_that_another_one_is_asked_beside() {
    run(async {
        let pause = Duration::from_millis(1200);
        let first = Server::start(vec![Action::Pause(String::new(), pause, refusal("a1"))]).await;
        let second = Server::start(vec![Action::Pause(
            String::new(),
            Duration::from_millis(700),
            answer("a1", "200 OK", "yours"),
        )])
        .await;
        let entry = Entry::start(parts(route(Kind::Idempotent, 2)), &[&first]);
        let caller = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        entry.state.with_pool(|pool| {
            pool.put(record("i-1", second.address), POSITION, Duration::ZERO);
        });

        let response = read_all(caller).await;

        assert!(response.ends_with("yours"), "{response}");
        assert!(is_in_backoff(&entry, "i-0"));
        assert!(!is_in_backoff(&entry, "i-1"));
    });
}

/// Guards against backoffs that are missed because the request is withdrawn when another server goes on.
#[test]
fn a_backoff_is_learnt_from_a_refusal_that_crosses_the_withdrawal_of_its_request() {
    run(async {
        let silent_for = Duration::from_millis(1700);
        let (event, end) = (chunk("id: 1\ndata: ravi\n\n"), "0\r\n\r\n");
        let goes_on = Action::Pause(stream_head("a1"), silent_for, event + end);
        let refuses = Action::Pause(String::new(), Duration::from_millis(540), refusal("a1"));
        let first = Server::start(vec![goes_on]).await;
        let second = Server::start(vec![refuses]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let caller = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        entry.state.with_pool(|pool| {
            pool.put(record("i-1", second.address), POSITION, Duration::ZERO);
        });

        let response = read_all(caller).await;
        sleep(Duration::from_millis(300)).await;

        assert!(response.ends_with(end), "{response}");
        assert_eq!(second.arrivals(), 1);
        assert!(is_in_backoff(&entry, "i-1"));
    });
}

/// Guards against backoffs that are missed because the server was asked to resume a stream.
#[test]
fn a_backoff_is_learnt_from_a_server_that_does_not_resume_a_stream() {
    run(async {
        let begun = stream_head("a1") + &chunk("id: 1\ndata: ravi\n\n");
        let first = Server::start(vec![Action::Break(begun, Duration::from_millis(100))]).await;
        let second = Server::start(vec![Action::Write(refusal("a1"))]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let caller = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        entry.state.with_pool(|pool| {
            pool.put(record("i-1", second.address), POSITION, Duration::ZERO);
        });

        read_all(caller).await;

        assert_eq!(second.arrivals(), 1);
        assert!(is_in_backoff(&entry, "i-1"));
    });
}

/// Guards against a server that counts as failed, or as crashed, because it asked for a backoff.
#[test]
fn a_backoff_is_no_failure_and_no_loss() {
    run(async {
        let signed = answer_with("a1", "503 Busy", "Retry-After: 0.1\r\n");
        for refused in [
            refusal("a1").replace("Retry-After: 3", "Retry-After: 0.1"),
            signed,
        ] {
            let server = Server::start(vec![Action::Write(refused)]).await;
            let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);

            entry.call(&request("a1")).await;
            sleep(Duration::from_millis(150)).await;

            assert!(entry.state.start_checks().is_empty());
            let can_serve = entry.state.with_pool(|pool| {
                let requirements = Requirements {
                    service: SERVICE.into(),
                    ..Requirements::default()
                };
                pool.can_serve(&requirements, entry.state.now())
            });
            assert!(can_serve);
        }
    });
}

/// Guards against requests that are sent on a connection which was being opened when the server asked for a backoff.
#[test]
fn nothing_is_sent_if_a_backoff_begins_while_the_connection_is_opened() {
    run(async {
        let server = Server::start(Vec::new()).await;
        let result = upstream::exchange(server.address, |_| None, |_| {}).await;
        sleep(Duration::from_millis(50)).await;

        assert!(matches!(result, Err(Failure::Withheld)), "{result:?}");
        assert!(server.requests.borrow().iter().all(String::is_empty));
    });
}
