//! Requests that crash each server that runs them, before several entries.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::config::Kind;
use tokio::time::sleep;

use support::{
    deployment::{CRASHING_BODY, Deployment, LOSING_BODY, SLOW_BODY},
    request, run,
};

/// Number of entries that callers reach.
const ENTRIES: u8 = 3;

/// Number of servers of the service.
const SERVERS: u8 = 6;

/// Pause of a caller before it comes again to the next entry.
const PAUSE: Duration = Duration::from_millis(250);

/// Number of times that the caller of a crashing request comes.
const ATTEMPTS: usize = 9;

/// Largest number of sends of one crashing request: three that crash servers, and three retries after that.
const MAX_SENDS: usize = 6;

/// Largest number of times that a refused request is tried again.
const MAX_RERUNS: usize = 2;

/// Returns a request with a body; each attempt of a caller has another id and the same content.
fn attempt_with(body: &str, attempt: usize) -> String {
    request(&format!("{body}{attempt}")).replace("plate", body)
}

/// Sends a crashing request again and again, to each entry in turn, and returns the last answer.
async fn send_crashing_requests(deployment: &Deployment) -> String {
    let mut response = String::new();
    for attempt in 0..ATTEMPTS {
        let request = attempt_with(CRASHING_BODY, attempt);
        response = deployment.call(attempt, &request).await;
        sleep(PAUSE).await;
    }
    response
}

/// Sends a sound request to an entry, again after each failure or refusal, until it is answered.
async fn call_until_answered(deployment: &Deployment, body: &str, entry: usize) {
    for attempt in 0.. {
        let request = attempt_with(body, entry * 1000 + attempt);
        let response = deployment.call(entry, &request).await;
        if response.starts_with("HTTP/1.1 200") {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a request that crashes one server after another because each entry and attempt starts counting anew.
#[test]
fn a_request_that_crashes_servers_is_not_sent_on_after_the_third_crash() {
    let rows = [(Kind::Idempotent, 2), (Kind::Stream, 2), (Kind::Once, 1)];

    let sends = rows.map(|(kind, attempts)| {
        run(async move {
            let deployment = Deployment::start(kind, attempts, ENTRIES, SERVERS).await;
            send_crashing_requests(&deployment).await;
            (kind, deployment.arrivals(CRASHING_BODY))
        })
    });

    let is_bounded = |(_, sends): &(Kind, usize)| (3..=MAX_SENDS).contains(sends);
    assert!(sends.iter().all(is_bounded), "{sends:?}");
}

/// Guards against callers of a refused request that take it for one that may have run, or come back at once.
#[test]
fn a_refused_suspect_has_not_run_and_its_caller_is_told_when_to_come_back() {
    run(async {
        let deployment = Deployment::start(Kind::Once, 1, ENTRIES, SERVERS).await;

        let response = send_crashing_requests(&deployment).await;

        let response = response.to_ascii_lowercase();
        assert!(response.starts_with("http/1.1 503"), "{response}");
        assert!(response.contains("crash-suspect"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
    });
}

/// Guards against crashes that are forgotten when all entries are lost at once.
#[test]
fn a_suspect_is_refused_after_all_entries_have_started_anew() {
    run(async {
        let mut deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES, SERVERS).await;
        send_crashing_requests(&deployment).await;
        assert!(deployment.wait_for_suspect_row().await);
        let sends = deployment.arrivals(CRASHING_BODY);

        deployment.restart_entries().await;
        send_crashing_requests(&deployment).await;

        let sends_after = deployment.arrivals(CRASHING_BODY) - sends;
        assert!(sends_after <= MAX_RERUNS, "{sends_after} sends");
    });
}

/// Guards against a sound request that is refused because it was running beside one that crashes servers.
#[test]
fn a_sound_request_beside_a_crashing_one_is_served() {
    run(async {
        let deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES, SERVERS).await;
        for attempt in 0..ATTEMPTS {
            let crashing = attempt_with(CRASHING_BODY, attempt);
            tokio::join!(
                call_until_answered(&deployment, SLOW_BODY, 0),
                call_until_answered(&deployment, SLOW_BODY, 1),
                call_until_answered(&deployment, SLOW_BODY, 2),
                deployment.call(attempt, &crashing),
            );
        }

        for entry in 0..usize::from(ENTRIES) {
            let request = attempt_with(SLOW_BODY, 100_000 + entry);
            let response = deployment.call(entry, &request).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let sends = deployment.arrivals(CRASHING_BODY);
        assert!(sends <= MAX_SENDS, "{sends} sends");
    });
}

/// Guards against sound requests that are refused because their answers were lost by servers that go on.
#[test]
fn lost_answers_of_servers_that_go_on_are_no_crashes() {
    run(async {
        let deployment = Deployment::start(Kind::Once, 1, ENTRIES, SERVERS).await;

        for attempt in 0..ATTEMPTS {
            let request = attempt_with(LOSING_BODY, attempt);
            let response = deployment.call(attempt, &request).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            sleep(PAUSE).await;
        }

        assert_eq!(deployment.arrivals(LOSING_BODY), ATTEMPTS);
    });
}
