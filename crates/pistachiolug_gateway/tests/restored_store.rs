//! Entries before and after the store has come back from an earlier copy.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::config::Kind;
use tokio::time::sleep;

use support::{
    deployment::{CRASHING_BODY, Deployment},
    request, run,
};

/// Number of entries; two of them follow the store, the others read their rows.
const ENTRIES: u8 = 4;

/// Writes by which the entries are ahead of the copy.
const LOST_WRITES: u64 = 200;

/// Time in which the first rows after the store's return reach all entries.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Largest number of writes and calls for leases after the store's return: a row of each entry, and at both followers a
/// lease and a row for the suspect, which one of them may try twice.
const MAX_WRITES: u64 = ENTRIES as u64 + 2 * 2 + 2;

/// Number of requests to each entry.
const REQUESTS: usize = 20;

/// Version of the configuration that the copy lacks.
const LOST_VERSION: u64 = 5;

/// Starts a deployment whose entries know writes that the first copy lacks, and returns it with the last revision.
async fn start_ahead_of_the_copy(servers: u8) -> (Deployment, u64) {
    let deployment = Deployment::start(Kind::Idempotent, 2, ENTRIES, servers).await;
    deployment.advance_store(LOST_WRITES);
    let revision = deployment.configure(LOST_VERSION);
    assert!(deployment.wait_for_version(LOST_VERSION).await);
    (deployment, revision)
}

async fn call_all_entries(deployment: &Deployment) {
    for number in 0..REQUESTS * usize::from(ENTRIES) {
        let request = request(&format!("r{number}"));
        let response = deployment.call(number, &request).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Guards against entries that ignore all changes until the revisions have caught up with those that are gone.
#[test]
fn servers_that_change_after_a_restore_are_noticed_by_all_entries() {
    run(async {
        let (deployment, _) = start_ahead_of_the_copy(1).await;
        deployment.lose_store();
        deployment.recover_store().await;

        deployment.start_server(1);
        sleep(SETTLE_TIME).await;
        deployment.unregister_server(0);
        sleep(SETTLE_TIME).await;
        let before = deployment.arrivals_at(0);
        call_all_entries(&deployment).await;

        assert_eq!(deployment.arrivals_at(0), before);
    });
}

/// Guards against a configuration that reverts to the copy's, or that no later one replaces.
#[test]
fn a_configuration_survives_a_restore_and_the_next_one_takes_effect() {
    run(async {
        let (deployment, _) = start_ahead_of_the_copy(1).await;

        deployment.lose_store();
        deployment.recover_store().await;
        sleep(SETTLE_TIME).await;
        let is_kept = deployment.has_version_in_force(LOST_VERSION).await;
        deployment.configure(LOST_VERSION + 1);

        assert!(is_kept);
        assert!(deployment.wait_for_version(LOST_VERSION + 1).await);
    });
}

/// Guards against other content that is taken for the known one because it has the same revision.
#[test]
fn other_content_at_the_same_revision_takes_effect_after_a_restore() {
    run(async {
        let (deployment, revision) = start_ahead_of_the_copy(1).await;

        deployment.lose_store();
        deployment.advance_store(revision - 1);
        let revision_again = deployment.configure(LOST_VERSION + 1);
        deployment.advance_store(revision + LOST_WRITES);
        deployment.recover_store().await;

        assert_eq!(revision_again, revision);
        assert!(deployment.wait_for_version(LOST_VERSION + 1).await);
    });
}

/// Guards against entries that new ones can't find because their rows are gone.
#[test]
fn rows_of_entries_are_written_again_after_a_restore() {
    run(async {
        let (deployment, _) = start_ahead_of_the_copy(1).await;
        assert!(deployment.wait_for_entry_rows().await);

        deployment.lose_store();
        deployment.recover_store().await;

        assert!(deployment.wait_for_entry_rows().await);
    });
}

/// Guards against crashes that are forgotten when all entries are lost after the store lost the suspect's row, and against
/// all entries that write the row.
#[test]
fn rows_of_suspects_are_written_again_after_a_restore() {
    run(async {
        let (deployment, _) = start_ahead_of_the_copy(6).await;
        for attempt in 0..9 {
            let request = request(&format!("c{attempt}")).replace("plate", CRASHING_BODY);
            deployment.call(attempt, &request).await;
            sleep(Duration::from_millis(250)).await;
        }
        assert!(deployment.wait_for_suspect_row().await);
        let writes = deployment.count_writes();

        deployment.lose_store();
        deployment.recover_store().await;
        let is_written = deployment.wait_for_suspect_row().await;
        sleep(SETTLE_TIME).await;

        let writes = deployment.count_writes() - writes;
        assert!(is_written);
        assert!(writes <= MAX_WRITES, "{writes} writes");
    });
}
