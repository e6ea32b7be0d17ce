//! Spreads over sockets, whole and under faults; bounds count bytes, never seconds.

#![allow(clippy::print_stdout)]

use std::{sync::atomic::Ordering, time::Duration};

use pistachiolug_bench::spread::{
    cluster::{Cluster, Size, Topology, weights},
    run::{self, Kill},
};
use pistachiolug_weights::{planner::policy::Policy, swarm::Target};
use tokio::time::sleep;

const BYTES: usize = 1 << 20;
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

async fn pull_all(cluster: &Cluster, want: &Target) {
    let pulls: Vec<_> = (0..cluster.members.len())
        .map(|index| cluster.pull(index, want))
        .collect();
    for pull in pulls {
        pull.await.expect("pull runs").expect("pull ends whole");
    }
}

/// Joins a member's staged chunks and compares them with the version.
fn assert_whole(cluster: &Cluster, index: usize, want: &Target, weights: &[u8]) {
    let chunks = want.manifest.chunks.iter();
    let bytes = chunks.map(|chunk| cluster.members[index].swarm.chunk(&chunk.digest));
    let whole: Vec<u8> = bytes
        .flat_map(|bytes| bytes.expect("chunk is staged"))
        .collect();
    assert!(whole == weights, "member {index} holds other bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_and_uploads_stay_bounded() {
    let rows = [
        (Policy::BytesFirst, 0, 1.10),
        (Policy::BytesFirst, 1, 1.5),
        (Policy::TimeFirst, 0, 4.0),
        (Policy::TimeFirst, 1, 4.0),
    ];
    for (policy, killed, most) in rows {
        let kill = Kill {
            members: killed,
            after: Duration::from_millis(200),
        };

        let report = run::run(size(10), Topology::Swarm(policy), kill, SEED).await;

        let report = report.expect("spread runs");
        println!("seed {SEED} {policy:?} killed {killed}: {report:?}");
        assert_eq!(report.members, 10 - killed);
        assert!(report.origin_copies <= most, "{policy:?}: {report:?}");
        assert!(report.largest_upload <= 2.05, "{policy:?}: {report:?}");
    }
}

/// Faults of the origin: each ends with every member whole, and never with a corrupt chunk staged.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_the_origin_are_overcome() {
    let rows = ["corrupt", "truncate", "stall", "throttle"];
    for fault in rows {
        let cluster = swarm(6, Policy::BytesFirst);
        let bytes = weights(SEED, BYTES);
        let want = cluster.upload("v1", &bytes);
        let path = format!("/control/fault?kind={fault}&reads=6");
        cluster
            .control(&path)
            .await
            .expect("origin takes the order");

        pull_all(&cluster, &want).await;

        (0..6).for_each(|index| assert_whole(&cluster, index, &want, &bytes));
        let copies = cluster.origin_copies(BYTES);
        assert!(copies <= 1.5, "{fault}: {copies}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_origin_that_is_down_half_way_delays_only() {
    let cluster = swarm(6, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let want = cluster.upload("v1", &bytes);
    let pulls: Vec<_> = (0..6).map(|index| cluster.pull(index, &want)).collect();
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
        pull.await.expect("pull runs").expect("pull ends whole");
    }
    (0..6).for_each(|index| assert_whole(&cluster, index, &want, &bytes));
    assert!(
        cluster.origin_copies(BYTES) <= 1.5,
        "{}",
        cluster.origin_copies(BYTES)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_corrupting_member_is_shunned_and_nothing_of_it_staged() {
    let cluster = swarm(6, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let want = cluster.upload("v1", &bytes);
    cluster.members[2]
        .is_corrupting
        .store(true, Ordering::Relaxed);

    pull_all(&cluster, &want).await;

    (0..6).for_each(|index| assert_whole(&cluster, index, &want, &bytes));
    let corrupt: u64 = (0..6)
        .filter_map(|index| cluster.members[index].swarm.progress(&want.id))
        .map(|progress| progress.corrupt)
        .sum();
    // Each of the five others strikes twice, with at most three fetches under way at that time.
    assert!(corrupt <= 5 * 4, "{corrupt}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_version_moves_only_its_changed_chunks() {
    let cluster = swarm(4, Policy::BytesFirst);
    let first = weights(SEED, BYTES);
    let want = cluster.upload("v1", &first);
    pull_all(&cluster, &want).await;
    let mut second = first.clone();
    second[BYTES / 2] ^= 1;
    let before = cluster.origin.record().sent_bytes;

    let want = cluster.upload("v2", &second);
    pull_all(&cluster, &want).await;

    (0..4).for_each(|index| assert_whole(&cluster, index, &want, &second));
    assert_eq!(cluster.origin.record().sent_bytes - before, 16 << 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_changed_twice_in_mid_transfer_leave_the_last_one_whole() {
    let cluster = swarm(4, Policy::TimeFirst);
    for seed in 0..2 {
        let want = cluster.upload(&format!("v{seed}"), &weights(seed, BYTES));
        let pulls: Vec<_> = (0..4).map(|index| cluster.pull(index, &want)).collect();
        while cluster.members[0]
            .swarm
            .progress(&want.id)
            .is_none_or(|progress| progress.held < 8)
        {
            sleep(Duration::from_millis(5)).await;
        }
        for pull in pulls {
            pull.abort();
        }
    }
    let bytes = weights(9, BYTES);

    let want = cluster.upload("v9", &bytes);
    pull_all(&cluster, &want).await;

    (0..4).for_each(|index| assert_whole(&cluster, index, &want, &bytes));
}

#[tokio::test(flavor = "multi_thread")]
async fn members_that_join_in_mid_transfer_become_whole() {
    let mut cluster = swarm(4, Policy::BytesFirst);
    let bytes = weights(SEED, BYTES);
    let want = cluster.upload("v1", &bytes);
    let mut pulls: Vec<_> = (0..4).map(|index| cluster.pull(index, &want)).collect();
    while cluster.origin_copies(BYTES) < 0.5 {
        sleep(Duration::from_millis(10)).await;
    }

    cluster.grow(10).expect("members start");
    pulls.extend((4..10).map(|index| cluster.pull(index, &want)));

    for pull in pulls {
        pull.await.expect("pull runs").expect("pull ends whole");
    }
    (0..10).for_each(|index| assert_whole(&cluster, index, &want, &bytes));
    assert!(
        cluster.origin_copies(BYTES) <= 1.10,
        "{}",
        cluster.origin_copies(BYTES)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn two_versions_at_once_both_become_whole() {
    let cluster = swarm(4, Policy::BytesFirst);
    let contents = [weights(1, BYTES / 2), weights(2, BYTES / 2)];
    let wants = [
        cluster.upload("v1", &contents[0]),
        cluster.upload("v2", &contents[1]),
    ];

    tokio::join!(pull_all(&cluster, &wants[0]), pull_all(&cluster, &wants[1]));

    for (want, bytes) in wants.iter().zip(&contents) {
        (0..4).for_each(|index| assert_whole(&cluster, index, want, bytes));
    }
    assert!(cluster.origin_copies(BYTES) <= 1.10);
}
