//! Servers that say in their answers that they drain.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::Kind,
    pool::{Pool, Requirements},
    server::Record,
};
use pistachiolug_wire::{
    datagram::{Change, Notice},
    position::Position,
};
use tokio::time::sleep;

use support::{
    Action, Entry, MODEL, POSITION, SERVICE, Server, answer, chunk, deployment::Deployment, parts,
    read_all, record, request, route, run, stream_head,
};

/// Number of entries.
const ENTRIES: usize = 3;

/// Time after an answer of a draining server from which its entry has to keep to it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Number of requests to each entry.
const REQUESTS: usize = 10;

/// Sends a request to an entry until its draining server, which is the first one, has answered one.
async fn call_until_told(deployment: &Deployment, entry: usize) {
    for number in 0.. {
        let id = format!("{entry}-{number}");
        deployment.call(entry, &request(&id)).await;
        let answered = deployment.fixed_answers();
        if answered.iter().any(|answered| answered.attempt == id) {
            return;
        }
    }
}

/// Guards against requests to a server that has said in an answer that it drains, while the list says that it is ready.
#[test]
fn servers_that_say_that_they_drain_get_no_requests() {
    let not_run = "X-Draining: 1\r\nX-Not-Run: 1\r\n";
    let rows = [
        ("answer", "200 OK", "X-Draining: 1\r\n"),
        ("failure", "500 Failed", "X-Draining: 1\r\n"),
        ("refusal", "503 Busy", not_run),
    ];
    let arrivals = rows.map(|(name, status, headers)| {
        run(async move {
            let deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES as u8, 2).await;
            deployment.fix_answer(0, status, headers);
            for entry in 0..ENTRIES {
                call_until_told(&deployment, entry).await;
            }
            sleep(DRAIN_TIME).await;
            deployment.write_server_row(0).await;
            let before = deployment.fixed_answers().len();

            let mut answers = BTreeSet::new();
            for number in 0..REQUESTS * ENTRIES {
                let id = format!("late-{number}");
                let answer = deployment.call(number, &request(&id)).await;
                answers.insert(answer.lines().next().unwrap_or_default().to_owned());
            }

            let arrivals = deployment.fixed_answers().len() - before;
            (name, arrivals, answers)
        })
    });

    let is_kept = arrivals.iter().all(|(_, arrivals, answers)| {
        *arrivals == 0 && answers.iter().all(|answer| answer.contains(" 200 "))
    });
    assert!(is_kept, "requests to a draining server: {arrivals:?}");
}

/// Returns an answer with a status and header lines.
fn answer_with(id: &str, status: &str, headers: &str) -> String {
    answer(id, status, "").replacen("\r\n", &format!("\r\n{headers}"), 1)
}

fn is_leaving(entry: &Entry, server: &str) -> bool {
    let state = &entry.state;
    state.with_pool(|pool| pool.get(server).unwrap().is_leaving())
}

/// Guards against servers that are not known to drain because of the shape of the answer, and against others' answers
/// that count.
#[test]
fn draining_is_learnt_from_any_answer_to_the_request() {
    let draining = "X-Draining: 1\r\n";
    let not_run = "X-Draining: 1\r\nX-Not-Run: 1\r\n";
    let rows = [
        ("success", answer_with("a1", "200 OK", draining), true),
        ("failure", answer_with("a1", "500 Failed", draining), true),
        ("busy", answer_with("a1", "503 Busy", draining), true),
        ("not run", answer_with("a1", "503 Busy", not_run), true),
        (
            "not signed",
            answer_with("a1", "503 Busy", not_run).replace("X-Signature: s1\r\n", ""),
            true,
        ),
        ("without the header", answer_with("a1", "200 OK", ""), false),
        (
            "not draining",
            answer_with("a1", "200 OK", "X-Draining: 0\r\n"),
            false,
        ),
        (
            "another server",
            answer_with("a1", "421 Misdirected", not_run),
            false,
        ),
        (
            "another request",
            answer_with("a2", "200 OK", draining),
            false,
        ),
    ];
    for (name, answer, is_learnt) in rows {
        run(async move {
            let server = Server::start(vec![Action::Write(answer)]).await;
            let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);

            entry.call(&request("a1")).await;

            assert_eq!(is_leaving(&entry, "i-0"), is_learnt, "{name}");
        });
    }
}

/// Guards against streams that are cut because their server drains, and against callers that don't get the header.
#[test]
fn a_stream_of_a_server_that_drains_goes_on() {
    run(async {
        let head = stream_head("a1").replacen("\r\n", "\r\nX-Draining: 1\r\n", 1);
        let begun = head + &chunk("id: 1\ndata: ravi\n\n");
        let rest = chunk("id: 2\ndata: oli\n\n") + "0\r\n\r\n";
        let pause = Duration::from_millis(300);
        let server = Server::start(vec![Action::Pause(begun, pause, rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&server]);

        let response = entry.call(&request("a1")).await;

        assert!(response.contains("x-draining: 1"), "{response}");
        assert!(response.contains("data: oli"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert!(is_leaving(&entry, "i-0"));
    });
}

/// Guards against draining that is missed because the server resumes a stream, where callers don't see its head.
#[test]
fn draining_is_learnt_from_a_server_that_resumes_a_stream() {
    run(async {
        let begun = stream_head("a1") + &chunk("id: 1\ndata: ravi\n\n");
        let first = Server::start(vec![Action::Break(begun, Duration::from_millis(100))]).await;
        let head = stream_head("a1").replacen("\r\n", "\r\nX-Draining: 1\r\n", 1);
        let rest = head + &chunk("id: 2\ndata: oli\n\n") + "0\r\n\r\n";
        let second = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let caller = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        entry.state.with_pool(|pool| {
            pool.put(record("i-1", second.address), POSITION, Duration::ZERO);
        });

        let response = read_all(caller).await;

        assert!(response.contains("data: oli"), "{response}");
        assert!(is_leaving(&entry, "i-1"));
        assert!(!is_leaving(&entry, "i-0"));
    });
}

const NOW: Duration = Duration::from_secs(100);

fn server() -> Record {
    record("i-1", "10.0.0.1:80".parse().unwrap())
}

fn can_serve(pool: &Pool) -> bool {
    let requirements = Requirements {
        service: Arc::from(SERVICE),
        ..Requirements::default()
    };
    pool.can_serve(&requirements, NOW + Duration::from_secs(10))
}

/// Guards against draining that is forgotten with the next row that says ready, or with whatever else is learnt.
#[test]
fn a_draining_server_stays_draining_until_it_restarts() {
    type Event = fn(&mut Pool);
    let rows: [(&str, Event, bool); 8] = [
        ("nothing", |_| {}, false),
        (
            "row",
            |pool| {
                pool.put(server(), Position::without_era(2), NOW);
            },
            false,
        ),
        (
            "restored row",
            |pool| {
                pool.put_restored(server(), Position::without_era(2), NOW);
            },
            false,
        ),
        ("failure", |pool| pool.record_failure("i-1", NOW), false),
        (
            "agent's notice",
            |pool| {
                let notice = Notice {
                    server: server().address,
                    started: 1,
                    model: MODEL.to_owned(),
                    change: Change::Holds { version: 2 },
                };
                assert!(pool.apply_notice(&notice, NOW));
            },
            false,
        ),
        (
            "missing and listed again",
            |pool| {
                pool.schedule_removal("i-1", NOW);
                pool.remove_expired(NOW);
                pool.put(server(), Position::without_era(2), NOW);
            },
            false,
        ),
        (
            "restart",
            |pool| {
                let mut restarted = server();
                restarted.started_ms = 2;
                pool.put(restarted, Position::without_era(2), NOW);
            },
            true,
        ),
        (
            "another server at the address",
            |pool| {
                let other = record("i-2", server().address);
                pool.put(other, Position::without_era(2), NOW);
            },
            true,
        ),
    ];
    for (name, event, expected) in rows {
        let mut pool = Pool::default();
        pool.put(server(), POSITION, Duration::ZERO);

        let is_new = pool.record_draining(&server());
        let is_new_again = pool.record_draining(&server());
        event(&mut pool);
        // A late answer of the former incarnation.
        pool.record_draining(&server());

        assert!(is_new && !is_new_again, "{name}");
        // Nor is a request sent that was assigned before.
        assert!(!pool.may_send(&server(), NOW), "{name}");
        assert_eq!(can_serve(&pool), expected, "{name}");
    }
}

/// Guards against review/13: an earlier write of a server's row that is carried out late and lists it as ready again.
#[test]
fn an_earlier_row_does_not_take_back_that_a_server_leaves() {
    let rows: [(&str, u64, [u64; 2], bool); 5] = [
        ("earlier row", 4, [1, 1], false),
        ("the same row", 5, [1, 1], false),
        ("later row", 6, [1, 1], true),
        ("row of a new start", 1, [1, 2], true),
        ("row of a server that states no start", 1, [0, 0], true),
    ];
    for (name, writes, [first_start, started_ms], expected) in rows {
        let mut pool = Pool::default();
        let leaving = Record {
            leaving: true,
            writes: 5,
            started_ms: first_start,
            ..server()
        };
        pool.put(leaving, Position::without_era(1), NOW);

        let row = Record {
            leaving: name == "the same row",
            writes,
            started_ms,
            ..server()
        };
        pool.put(row.clone(), Position::without_era(2), NOW);
        let first = can_serve(&pool);
        // A second row of the same kind says nothing new.
        pool.put(row, Position::without_era(3), NOW);

        assert_eq!((first, can_serve(&pool)), (expected, expected), "{name}");
    }
}
