//! Tests of spreads over sockets, with and without faults. Bounds are on bytes and not on times, which vary.

#![allow(clippy::print_stdout)]

use std::{sync::atomic::Ordering, time::Duration};

use pistachiolug_bench::spread::{
    cluster::{Cluster, Size, Topology, weights},
    run::{self, Kill},
};
use pistachiolug_weights::{planner::policy::Policy, swarm::Target};
use tokio::time::sleep;

/// Length of a version in bytes.
const BYTES: usize = 1 << 20;
/// Seed of the content of a version.
const SEED: u64 = 11;

fn size(members: usize) -> Size {
    Size {
        members,
        bytes: BYTES,
        chunk_bytes: 16 << 10,
        origin_rate: 4_000_000,
        link_rate: 2_000_000,
        stall_timeout: Duration::from_secs(3),
        query_interval: Duration::from_millis(20),
    }
}

fn swarm(members: usize, policy: Policy) -> Cluster {
    Cluster::start(size(members), Topology::Swarm(policy)).expect("members start")
}

async fn pull_all(cluster: &Cluster, target: &Target) {
    let pulls: Vec<_> = (0..cluster.members.len())
        .map(|index| cluster.pull(index, target))
        .collect();
    for pull in pulls {
        pull.await.expect("pull runs").expect("pull succeeds");
    }
}

/// Checks that the staged chunks of a member are the content of the version.
fn assert_complete(cluster: &Cluster, index: usize, target: &Target, weights: &[u8]) {
    let chunks = target.manifest.chunks.iter();
    let bytes = chunks.map(|chunk| cluster.members[index].swarm.chunk(&chunk.digest));
    let staged: Vec<u8> = bytes
        .flat_map(|bytes| bytes.expect("chunk is staged"))
        .collect();
    assert!(staged == weights, "member {index} holds other bytes");
}

/// Guards against a spread that reads the origin once per member or uploads most of a version from one member, also
/// when a member is killed.
#[tokio::test(flavor = "multi_thread")]
async fn copies_and_uploads_stay_bounded() {
    let rows = [
        (Policy::BytesFirst, 0, 1.10),
        (Policy::BytesFirst, 1, 1.5),
        (Policy::TimeFirst, 0, 4.0),
        (Policy::TimeFirst, 1, 4.0),
    ];
    for (policy, killed, max_copies) in rows {
        let kill = Kill {
            members: killed,
            after: Duration::from_millis(200),
        };

        let report = run::run(size(10), Topology::Swarm(policy), kill, SEED).await;

        let report = report.expect("spread runs");
        println!("seed {SEED} {policy:?} killed {killed}: {report:?}");
        assert_eq!(report.members, 10 - killed);
        assert!(report.origin_copies <= max_copies, "{policy:?}: {report:?}");
        assert!(report.largest_upload <= 2.05, "{policy:?}: {report:?}");
    }
}

/// Guards against a member that stays incomplete or stages a corrupt chunk after the origin sent corrupt, cut, stalled
/// or throttled answers.
#[tokio::test(flavor = "multi_thread")]
async fn all_members_complete_despite_origin_faults() {
    let rows = ["corrupt", "truncate", "stall", "throttle"];
    for fault in rows {
        let cluster = swarm(6, Policy::BytesFirst);
        let bytes = weights(SEED, BYTES);
        let target = cluster.upload("v1", &bytes);
        let path = format!("/control/fault?kind={fault}&reads=6");
        cluster
            .control(&path)
            .await
            .expect("origin takes the order");

        pull_all(&cluster, &target).await;

        (0..6).for_each(|index| assert_complete(&cluster, index, &target, &bytes));
        let copies = cluster.origin_copies(BYTES);
        assert!(copies <= 1.5, "{fault}: {copies}");
    }
}

/// Guards against a spread that fails or starts over when the origin is down for a while.
#[tokio::test(flavor = "multi_thread")]
async fn an_origin_outage_half_way_only_delays_the_spread() {
    let cluster = swarm(6, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let target = cluster.upload("v1", &bytes);
    let pulls: Vec<_> = (0..6).map(|index| cluster.pull(index, &target)).collect();
    while cluster.origin_copies(BYTES) < 0.3 {
        sleep(Duration::from_millis(10)).await;
    }
    cluster
        .control("/control/down?on=1")
        .await
        .expect("origin obeys");
    sleep(Duration::from_secs(2)).await;

    cluster
        .control("/control/down?on=0")
        .await
        .expect("origin obeys");

    for pull in pulls {
        pull.await.expect("pull runs").expect("pull succeeds");
    }
    (0..6).for_each(|index| assert_complete(&cluster, index, &target, &bytes));
    assert!(
        cluster.origin_copies(BYTES) <= 1.5,
        "{}",
        cluster.origin_copies(BYTES)
    );
}

/// Guards against corrupt chunks from a member that are staged or fetched again and again.
#[tokio::test(flavor = "multi_thread")]
async fn a_corrupting_member_is_avoided_and_none_of_its_chunks_is_staged() {
    let cluster = swarm(6, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let target = cluster.upload("v1", &bytes);
    cluster.members[2]
        .is_corrupting
        .store(true, Ordering::Relaxed);

    pull_all(&cluster, &target).await;

    (0..6).for_each(|index| assert_complete(&cluster, index, &target, &bytes));
    let corrupt: u64 = (0..6)
        .filter_map(|index| cluster.members[index].swarm.progress(&target.id))
        .map(|progress| progress.corrupt)
        .sum();
    // Each of the five other members counts two failures, with at most three fetches under way at that time.
    assert!(corrupt <= 5 * 4, "{corrupt}");
}

/// Guards against a new version that transfers chunks which the members already hold.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_version_transfers_only_its_changed_chunks() {
    let cluster = swarm(4, Policy::BytesFirst);
    let first = weights(SEED, BYTES);
    let target = cluster.upload("v1", &first);
    pull_all(&cluster, &target).await;
    let mut second = first.clone();
    second[BYTES / 2] ^= 1;
    let before = cluster.origin.record().sent_bytes;

    let target = cluster.upload("v2", &second);
    pull_all(&cluster, &target).await;

    (0..4).for_each(|index| assert_complete(&cluster, index, &target, &second));
    assert_eq!(cluster.origin.record().sent_bytes - before, 16 << 10);
}

/// Guards against aborted pulls of earlier versions that block or corrupt the pull of the last one.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_version_completes_after_two_changes_in_mid_transfer() {
    let cluster = swarm(4, Policy::TimeFirst);
    for seed in 0..2 {
        let target = cluster.upload(&format!("v{seed}"), &weights(seed, BYTES));
        let pulls: Vec<_> = (0..4).map(|index| cluster.pull(index, &target)).collect();
        while cluster.members[0]
            .swarm
            .progress(&target.id)
            .is_none_or(|progress| progress.held < 8)
        {
            sleep(Duration::from_millis(5)).await;
        }
        for pull in pulls {
            pull.abort();
        }
    }
    let bytes = weights(9, BYTES);

    let target = cluster.upload("v9", &bytes);
    pull_all(&cluster, &target).await;

    (0..4).for_each(|index| assert_complete(&cluster, index, &target, &bytes));
}

/// Guards against members that join late and stay incomplete, or read the origin instead of the other members.
#[tokio::test(flavor = "multi_thread")]
async fn members_that_join_in_mid_transfer_complete_the_version() {
    let mut cluster = swarm(4, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let target = cluster.upload("v1", &bytes);
    let mut pulls: Vec<_> = (0..4).map(|index| cluster.pull(index, &target)).collect();
    while cluster.origin_copies(BYTES) < 0.5 {
        sleep(Duration::from_millis(10)).await;
    }

    cluster.grow(10).expect("members start");
    pulls.extend((4..10).map(|index| cluster.pull(index, &target)));

    for pull in pulls {
        pull.await.expect("pull runs").expect("pull succeeds");
    }
    (0..10).for_each(|index| assert_complete(&cluster, index, &target, &bytes));
    assert!(
        cluster.origin_copies(BYTES) <= 1.10,
        "{}",
        cluster.origin_copies(BYTES)
    );
}

/// Guards against a version that never completes because another one is pulled at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn two_concurrent_versions_both_complete() {
    let cluster = swarm(4, Policy::BytesFirst);
    let contents = [weights(1, BYTES / 2), weights(2, BYTES / 2)];
    let targets = [
        cluster.upload("v1", &contents[0]),
        cluster.upload("v2", &contents[1]),
    ];

    tokio::join!(
        pull_all(&cluster, &targets[0]),
        pull_all(&cluster, &targets[1])
    );

    for (target, bytes) in targets.iter().zip(&contents) {
        (0..4).for_each(|index| assert_complete(&cluster, index, target, bytes));
    }
    assert!(cluster.origin_copies(BYTES) <= 1.10);
}
