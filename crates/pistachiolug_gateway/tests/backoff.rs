//! Servers that answer 503 and say for how long they want no requests.

#![allow(clippy::unwrap_used)]

mod support;

use std::{iter::repeat_n, time::Duration};

use futures_util::future::join_all;
use pistachiolug_gateway::config::Kind;
use tokio::time::{Instant, sleep};

use support::{
    deployment::{Answered, Deployment},
    request, run,
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
