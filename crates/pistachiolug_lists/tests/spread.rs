//! Spread between places with ports of their own: changes, silent watchers, cold starts, healed lines.

mod support;

use pistachiolug_lists::{
    gossip::replica::Source,
    row::{PREFIX, Stored},
};
use pistachiolug_platform::kv::memory::Memory;

use support::{
    fleet::{Fleet, wait},
    line::Mode,
    plan,
};

fn write(store: &Memory, share: u32) -> u64 {
    let stored = Stored {
        row: plan("paid", share),
        edit: None,
    };
    store.put(&format!("{PREFIX}plans/paid"), &stored.render())
}

fn share(fleet: &Fleet, at: usize) -> Option<u32> {
    let lists = fleet.nodes[at].active.current();
    lists.plan("paid").map(|plan| plan.share)
}

async fn wait_share(fleet: &Fleet, expected: u32) {
    for at in 0..fleet.nodes.len() {
        let what = format!("share {expected} at {}", fleet.nodes[at].name);
        wait(&what, || share(fleet, at) == Some(expected)).await;
    }
}

async fn fleet(places: usize) -> Fleet {
    let store = Memory::new(1);
    write(&store, 1);
    let fleet = Fleet::start(places, store);
    wait_share(&fleet, 1).await;
    wait("two watchers", || fleet.watchers().len() == 2).await;
    fleet
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_reach_places_that_cannot_reach_the_service() {
    let fleet = fleet(6).await;
    let watchers = fleet.watchers();
    for at in (0..6).filter(|at| !watchers.contains(at)) {
        fleet.nodes[at].line.set(Mode::Down);
    }

    write(&fleet.store, 2);
    wait_share(&fleet, 2).await;
    let revision = fleet.store.delete(&format!("{PREFIX}plans/paid"));
    for node in &fleet.nodes {
        wait("removal", || node.active.current().plan("paid").is_none()).await;
        wait("revision", || node.gossip.replica().revision() >= revision).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_watchers_are_taken_over() {
    let fleet = fleet(5).await;
    for at in fleet.watchers() {
        fleet.nodes[at].line.set(Mode::Silent);
    }
    // Watches that were opened before still report events until they end.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;

    write(&fleet.store, 2);

    wait_share(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_row_stays_out_and_is_reported_by_every_place() {
    let fleet = fleet(3).await;

    fleet
        .store
        .put(&format!("{PREFIX}plans/paid"), b"{\"name\":");

    for (at, node) in fleet.nodes.iter().enumerate() {
        wait("report", || {
            !node.gossip.replica().report().problems.is_empty()
        })
        .await;
        assert_eq!(share(&fleet, at), Some(1));
    }
    write(&fleet.store, 3);
    wait_share(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_process_takes_its_peers_lists_during_an_outage_and_says_so() {
    let mut fleet = fleet(3).await;
    for node in &fleet.nodes {
        node.line.set(Mode::Down);
    }

    let new = fleet.add("new", Mode::Down);
    wait("lists from peers", || fleet.nodes[new].active.is_ready()).await;

    assert_eq!(share(&fleet, new), Some(1));
    assert_eq!(
        fleet.nodes[new].gossip.replica().report().source,
        Source::Peers
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_process_with_nobody_to_ask_is_not_ready_until_somebody_answers() {
    let store = Memory::new(1);
    write(&store, 1);
    let mut fleet = Fleet::start(0, store);
    let new = fleet.add("new", Mode::Down);

    // Several rounds of questions without an answer.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    let report = fleet.nodes[new].gossip.replica().report();
    assert!(!report.ready);
    assert_eq!(report.source, Source::None);

    fleet.nodes[new].line.set(Mode::Up);
    wait("lists", || fleet.nodes[new].active.is_ready()).await;
    assert_eq!(share(&fleet, new), Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_old_answer_of_the_service_takes_no_restarted_process_back() {
    let mut fleet = fleet(3).await;
    let revision = write(&fleet.store, 2);
    wait_share(&fleet, 2).await;

    let restarted = fleet.restart(0, Mode::Old);
    let node = &fleet.nodes[restarted];
    wait("lists", || node.active.is_ready()).await;

    assert!(node.gossip.replica().revision() >= revision);
    assert_eq!(share(&fleet, restarted), Some(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_healed_line_catches_up_with_what_was_written_meanwhile() {
    let fleet = fleet(3).await;
    for node in &fleet.nodes {
        node.line.set(Mode::Down);
    }
    for share in 2..20 {
        write(&fleet.store, share);
    }
    fleet.store.compact();
    let last = write(&fleet.store, 20);
    for node in &fleet.nodes {
        node.line.set(Mode::Up);
    }

    wait_share(&fleet, 20).await;
    for node in &fleet.nodes {
        assert!(node.gossip.replica().revision() >= last);
    }
}
