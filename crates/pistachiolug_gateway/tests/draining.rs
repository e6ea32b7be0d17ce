//! Servers that say in their answers that they drain.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeSet, time::Duration};

use pistachiolug_gateway::config::Kind;
use tokio::time::sleep;

use support::{deployment::Deployment, request, run};

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
