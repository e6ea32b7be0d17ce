//! Parts of prompts that crash each server that answers a request with them, before several entries.

#![allow(clippy::unwrap_used)]

mod support;

use std::{cell::Cell, time::Duration};

use pistachiolug_gateway::config::Kind;
use tokio::time::{sleep, timeout};

use support::{
    deployment::{CRASHING_PART, Deployment, SLOW_BODY},
    request, run,
};

/// Number of entries that callers reach.
const ENTRIES: u8 = 3;

/// Number of servers of the service.
const SERVERS: u8 = 8;

/// Crashes after which the sends are counted.
const FIRST_CRASHES: usize = 5;

/// Time after these crashes in which entries may still send.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Longest wait for a row.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(250);

/// Largest number of rounds until the first crashes have happened.
const MAX_ROUNDS: usize = 40;

/// Rounds of requests, three each, after the first crashes.
const LATER_ROUNDS: usize = 12;

/// Largest number of sends after that time.
const MAX_LATER_SENDS: usize = 3;

/// First part of all prompts.
const FIRST_PART: &str = "5c1e07a2";

/// Part that many sound prompts share.
const COMMON_PART: &str = "91bd3f06";

/// Numbers requests, so that no two are alike.
#[derive(Default)]
struct Numbers {
    next: Cell<usize>,
}

impl Numbers {
    /// Returns a request with shared parts, and with an id, a body and a last part of its own.
    fn request(&self, parts: &[&str]) -> String {
        self.request_with(parts, "p")
    }

    /// Returns a request whose body begins with a letter.
    fn request_with(&self, parts: &[&str], letter: &str) -> String {
        let number = self.next.replace(self.next.get() + 1);
        self.build(parts, &format!("{letter}{number:04}"))
    }

    /// Returns a sound request that takes a while; only its id and last part are its own.
    fn slow_request(&self, parts: &[&str]) -> String {
        self.next.set(self.next.get() + 1);
        self.build(parts, SLOW_BODY)
    }

    fn build(&self, parts: &[&str], body: &str) -> String {
        let number = self.next.get();
        let shared: Vec<String> = parts.iter().map(|part| format!("{part}:400")).collect();
        let prefix = format!("X-Prefix: {},{number:x}e:250\r\n", shared.join(","));
        request(&format!("a{number}"))
            .replace("Connection:", &(prefix + "Connection:"))
            .replace("plate", body)
    }

    /// Returns a request with the crashing part, whose other parts and position of that part vary.
    fn crashing_request(&self) -> String {
        let number = self.next.get();
        let own = format!("ab{number:x}");
        match number % 3 {
            0 => self.request(&[FIRST_PART, COMMON_PART, CRASHING_PART]),
            1 => self.request(&[FIRST_PART, CRASHING_PART, &own]),
            _ => self.request(&[CRASHING_PART, &own]),
        }
    }
}

/// Sends three different requests with the crashing part at once, one of them to each of three entries.
async fn send_crashing_round(deployment: &Deployment, numbers: &Numbers) -> [String; 3] {
    let requests = [(); 3].map(|()| numbers.crashing_request());
    let [first, second, third] = &requests;
    let answers = tokio::join!(
        deployment.call(0, first),
        deployment.call(1, second),
        deployment.call(2, third),
    );
    answers.into()
}

/// Sends requests with the crashing part until enough servers have crashed and the entries could have learnt of it.
async fn crash_servers(deployment: &Deployment, numbers: &Numbers) {
    for _ in 0..MAX_ROUNDS {
        if deployment.crashes() >= FIRST_CRASHES {
            break;
        }
        send_crashing_round(deployment, numbers).await;
        sleep(PAUSE).await;
    }
    assert!(deployment.crashes() >= FIRST_CRASHES);
    sleep(CONTACT_TIME).await;
}

/// Sends more such requests to all entries and returns the number that reached servers.
async fn count_later_sends(deployment: &Deployment, numbers: &Numbers) -> usize {
    let before = deployment.part_arrivals();
    for _ in 0..LATER_ROUNDS {
        send_crashing_round(deployment, numbers).await;
        sleep(PAUSE).await;
    }
    deployment.part_arrivals() - before
}

/// Sends a sound request to each entry and asserts that each is answered at the first attempt.
async fn assert_served(deployment: &Deployment, numbers: &Numbers, parts: &[&str]) {
    for entry in 0..usize::from(ENTRIES) {
        let response = deployment.call(entry, &numbers.request(parts)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Sends a sound request that takes a while to an entry, again after each failure or refusal, until it is answered.
async fn call_until_answered(deployment: &Deployment, numbers: &Numbers, entry: usize) {
    loop {
        let request = numbers.slow_request(&[FIRST_PART, COMMON_PART]);
        let response = deployment.call(entry, &request).await;
        if response.starts_with("HTTP/1.1 200") {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a part that crashes one server after another because each of its requests starts counting anew.
#[test]
fn requests_with_a_part_that_crashes_servers_are_not_sent_on_after_the_fifth_crash() {
    let rows = [(Kind::Idempotent, 2), (Kind::Stream, 2), (Kind::Once, 1)];

    let sends = rows.map(|(kind, attempts)| {
        run(async move {
            let deployment = Deployment::start(kind, attempts, ENTRIES, SERVERS).await;
            let numbers = Numbers::default();
            crash_servers(&deployment, &numbers).await;
            (kind, count_later_sends(&deployment, &numbers).await)
        })
    });

    let is_bounded = |(_, sends): &(Kind, usize)| *sends <= MAX_LATER_SENDS;
    assert!(sends.iter().all(is_bounded), "{sends:?}");
}

/// Guards against a refusal that may have run, or whose caller comes back at once.
#[test]
fn a_request_refused_for_its_part_has_not_run_and_its_caller_is_told_when_to_come_back() {
    run(async {
        let deployment = Deployment::start(Kind::Once, 1, ENTRIES, SERVERS).await;
        let numbers = Numbers::default();
        crash_servers(&deployment, &numbers).await;

        let responses = send_crashing_round(&deployment, &numbers).await;

        for response in responses.map(|response| response.to_ascii_lowercase()) {
            assert!(response.starts_with("http/1.1 503"), "{response}");
            assert!(response.contains("crash-suspect"), "{response}");
            assert!(response.contains("retry-after: "), "{response}");
        }
    });
}

/// Guards against crashes of a part that are forgotten when all entries are lost at once.
#[test]
fn a_part_that_crashes_servers_is_refused_after_all_entries_have_started_anew() {
    run(async {
        let mut deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES, SERVERS).await;
        let numbers = Numbers::default();
        crash_servers(&deployment, &numbers).await;

        deployment.restart_entries().await;

        let sends = count_later_sends(&deployment, &numbers).await;
        assert!(sends <= MAX_LATER_SENDS, "{sends} sends");
        assert_served(&deployment, &numbers, &[FIRST_PART, COMMON_PART]).await;
    });
}

/// Guards against sound requests that are refused because they share parts with those that crash servers.
#[test]
fn sound_requests_that_share_the_other_parts_are_served_at_all_entries() {
    for kind in [Kind::Idempotent, Kind::Stream] {
        run(async move {
            let deployment = Deployment::start(kind, 2, ENTRIES, SERVERS).await;
            let numbers = Numbers::default();
            assert_served(&deployment, &numbers, &[FIRST_PART, COMMON_PART]).await;

            while deployment.crashes() < FIRST_CRASHES {
                tokio::join!(
                    call_until_answered(&deployment, &numbers, 0),
                    call_until_answered(&deployment, &numbers, 1),
                    call_until_answered(&deployment, &numbers, 2),
                    send_crashing_round(&deployment, &numbers),
                );
            }
            sleep(CONTACT_TIME).await;
            for _ in 0..LATER_ROUNDS {
                tokio::join!(
                    assert_served(&deployment, &numbers, &[FIRST_PART, COMMON_PART]),
                    send_crashing_round(&deployment, &numbers),
                );
            }

            assert_served(&deployment, &numbers, &[FIRST_PART]).await;
            assert_served(&deployment, &numbers, &["ab1"]).await;
        });
    }
}

/// Guards against an entry that sends such requests on, or refuses sound ones, since it saw no crash itself.
#[test]
fn an_entry_that_only_heard_of_the_crashes_refuses_the_part_and_serves_others() {
    run(async {
        let deployment = Deployment::start(Kind::Once, 1, ENTRIES, SERVERS).await;
        let numbers = Numbers::default();
        for round in 0..MAX_ROUNDS {
            if deployment.crashes() >= FIRST_CRASHES {
                break;
            }
            deployment
                .call(round % 2, &numbers.crashing_request())
                .await;
            sleep(PAUSE).await;
        }
        sleep(CONTACT_TIME).await;
        let before = deployment.part_arrivals();

        for _ in 0..LATER_ROUNDS {
            deployment.call(2, &numbers.crashing_request()).await;
        }

        let sends = deployment.part_arrivals() - before;
        assert!(sends <= MAX_LATER_SENDS, "{sends} sends");
        assert_served(&deployment, &numbers, &[FIRST_PART, COMMON_PART]).await;
    });
}

/// Guards against a common part that becomes suspect because servers are killed while they run its requests.
#[test]
fn servers_that_end_again_and_again_do_not_make_a_common_part_a_suspect() {
    run(async {
        let deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES, SERVERS).await;
        let numbers = Numbers::default();

        for round in 0..3 * SERVERS {
            tokio::join!(
                call_until_answered(&deployment, &numbers, 0),
                call_until_answered(&deployment, &numbers, 1),
                call_until_answered(&deployment, &numbers, 2),
                async {
                    sleep(Duration::from_millis(60)).await;
                    deployment.crash_server(round % SERVERS);
                },
            );
        }

        assert_served(&deployment, &numbers, &[FIRST_PART, COMMON_PART]).await;
    });
}

/// Guards against a part that is forgotten with all entries, since its row has lapsed or was lost before.
#[test]
fn the_row_of_a_part_is_written_again_when_it_is_gone() {
    run(async {
        let deployment = Deployment::start(Kind::Once, 1, ENTRIES, SERVERS).await;
        crash_servers(&deployment, &Numbers::default()).await;
        timeout(MAX_WAIT, deployment.wait_for_culprit_row())
            .await
            .unwrap();

        deployment.delete_culprit_rows().await;

        timeout(MAX_WAIT, deployment.wait_for_culprit_row())
            .await
            .unwrap();
    });
}
