//! Gossip between instances with their own ports: changes, failed watchers, starts without lists, healed links.

mod support;

use pistachiolug_lists::{
    gossip::replica::Source,
    row::{PREFIX, Stored},
};
use pistachiolug_platform::kv::memory::Memory;

use support::{
    fleet::{Fleet, wait},
    link::Mode,
    plan,
};

/// Writes the plan `paid` with a share and returns the revision.
fn write(store: &Memory, share: u32) -> u64 {
    let stored = Stored {
        row: plan("paid", share),
        edit: None,
    };
    store.put(&format!("{PREFIX}plans/paid"), &stored.render())
}

/// Returns the share of the plan `paid` that is active on an instance.
fn active_share(fleet: &Fleet, index: usize) -> Option<u32> {
    let lists = fleet.nodes[index].active.current();
    lists.plan("paid").map(|plan| plan.share)
}

async fn wait_share(fleet: &Fleet, expected: u32) {
    for index in 0..fleet.nodes.len() {
        let what = format!("share {expected} at {}", fleet.nodes[index].name);
        wait(&what, || active_share(fleet, index) == Some(expected)).await;
    }
}

/// Starts instances and waits until they have the first lists and two watchers.
async fn start_fleet(count: usize) -> Fleet {
    let store = Memory::new(1);
    write(&store, 1);
    let fleet = Fleet::start(count, store);
    wait_share(&fleet, 1).await;
    wait("two watchers", || fleet.watchers().len() == 2).await;
    fleet
}

/// Cuts the links of all instances but the watchers: these get changes and removals only from peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_reach_instances_that_cannot_reach_the_service() {
    let fleet = start_fleet(6).await;
    let watchers = fleet.watchers();
    for index in (0..6).filter(|index| !watchers.contains(index)) {
        fleet.nodes[index].link.set_mode(Mode::Down);
    }

    write(&fleet.store, 2);
    wait_share(&fleet, 2).await;
    let revision = fleet.store.delete(&format!("{PREFIX}plans/paid"));
    for node in &fleet.nodes {
        wait("removal", || node.active.current().plan("paid").is_none()).await;
        wait("revision", || node.gossip.replica().revision() >= revision).await;
    }
}

/// Guards against a zone without changes while its watchers are up but their watches hang: the others have to notice
/// the age of the content and read themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_instances_take_over_from_hanging_watchers() {
    let fleet = start_fleet(5).await;
    for index in fleet.watchers() {
        fleet.nodes[index].link.set_mode(Mode::Hanging);
    }
    // Watches opened before the change of mode still return events until they time out.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;

    write(&fleet.store, 2);

    wait_share(&fleet, 2).await;
}

/// A row that cannot be parsed must neither replace the plan nor go unnoticed on any instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_row_is_rejected_and_reported_by_every_instance() {
    let fleet = start_fleet(3).await;

    fleet
        .store
        .put(&format!("{PREFIX}plans/paid"), b"{\"name\":");

    for (index, node) in fleet.nodes.iter().enumerate() {
        wait("report", || {
            !node.gossip.replica().report().problems.is_empty()
        })
        .await;
        assert_eq!(active_share(&fleet, index), Some(1));
    }
    write(&fleet.store, 3);
    wait_share(&fleet, 3).await;
}

/// A process that starts while the key-value service is unreachable must serve with its peers' lists and report it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_process_loads_lists_from_peers_during_an_outage() {
    let mut fleet = start_fleet(3).await;
    for node in &fleet.nodes {
        node.link.set_mode(Mode::Down);
    }

    let new = fleet.add("new", Mode::Down);
    wait("lists from peers", || fleet.nodes[new].active.is_ready()).await;

    assert_eq!(active_share(&fleet, new), Some(1));
    assert_eq!(
        fleet.nodes[new].gossip.replica().report().source,
        Source::Peers
    );
}

/// Guards against a process that serves with empty lists, and so refuses every caller, because nobody responded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_process_is_not_ready_until_service_or_peer_responds() {
    let store = Memory::new(1);
    write(&store, 1);
    let mut fleet = Fleet::start(0, store);
    let new = fleet.add("new", Mode::Down);

    // Long enough for several rounds of requests without a response.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    let report = fleet.nodes[new].gossip.replica().report();
    assert!(!report.ready);
    assert_eq!(report.source, Source::None);

    fleet.nodes[new].link.set_mode(Mode::Up);
    wait("lists", || fleet.nodes[new].active.is_ready()).await;
    assert_eq!(active_share(&fleet, new), Some(1));
}

/// A restarted process may reach a lagging node of the key-value service and must not go back to its older rows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_process_ignores_an_outdated_response_of_the_service() {
    let mut fleet = start_fleet(3).await;
    let revision = write(&fleet.store, 2);
    wait_share(&fleet, 2).await;

    let restarted = fleet.restart(0, Mode::Outdated);
    let node = &fleet.nodes[restarted];
    wait("lists", || node.active.is_ready()).await;

    assert!(node.gossip.replica().revision() >= revision);
    assert_eq!(active_share(&fleet, restarted), Some(2));
}

/// Writes and a compaction happen while no instance reaches the service, so that later watches fail as compacted and a
/// full read is needed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_catch_up_with_writes_made_while_their_links_were_down() {
    let fleet = start_fleet(3).await;
    for node in &fleet.nodes {
        node.link.set_mode(Mode::Down);
    }
    for share in 2..20 {
        write(&fleet.store, share);
    }
    fleet.store.compact();
    let last = write(&fleet.store, 20);
    for node in &fleet.nodes {
        node.link.set_mode(Mode::Up);
    }

    wait_share(&fleet, 20).await;
    for node in &fleet.nodes {
        assert!(node.gossip.replica().revision() >= last);
    }
}
