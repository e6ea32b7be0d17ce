//! Congested links to servers while a newer version is being loaded.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{
    link::{CONGESTION_MARGIN, Link},
    pool::{Pool, Requirements},
    versions::Versions,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::{MODEL, POSITION, SERVICE, engine, location, record};

const GRACE: Duration = Duration::from_secs(8);

const SET_AT: Duration = Duration::from_secs(100);

/// Returns what a request needs at a time, if version 2 was set at [`SET_AT`].
fn requirements(now: Duration) -> Requirements {
    let mut versions = Versions::new(GRACE, Duration::from_secs(3));
    versions.record_target(MODEL, 2, Some(SET_AT), SET_AT);
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        min_version: versions.minimum(MODEL, now),
        min_version_behind_congestion: versions.minimum(MODEL, now + CONGESTION_MARGIN),
        ..Requirements::default()
    }
}

/// Returns a pool of one server, which holds version 1, behind a link that was slow at a time.
fn pool_behind_slow_link(slow_at: Duration) -> Pool {
    let mut pool = Pool::default();
    let record = record("i-1", "10.0.0.1:80".parse().unwrap());
    pool.put(record, POSITION, Duration::ZERO);
    pool.record_connect("i-1", Duration::from_millis(150), slow_at);
    pool
}

fn is_chosen(pool: &Pool, now: Duration) -> bool {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let engine = engine();
    let choice = pool.choose(
        &requirements(now),
        Some(&engine),
        &location(),
        now,
        &mut random,
    );
    choice.is_some()
}

/// Guards against review/5: requests that are sent shortly before their server's version is outdated lie in the queue of its
/// narrow link, and begin after it. A sound link must not keep the server from serving until then.
#[test]
fn an_outdated_server_behind_a_congested_link_gets_no_requests_shortly_before_the_end_of_its_version()
 {
    let shortly_before = SET_AT + Duration::from_secs(6);

    let congested = pool_behind_slow_link(SET_AT + Duration::from_secs(5));
    let sound = pool_behind_slow_link(SET_AT);

    assert!(!is_chosen(&congested, shortly_before));
    assert!(is_chosen(&sound, shortly_before));
    assert!(is_chosen(&congested, SET_AT + Duration::from_secs(1)));
}

/// Guards against connections between regions that are taken for a sign of congestion.
#[test]
fn only_slow_connections_show_congestion() {
    let now = Duration::from_secs(10);
    let mut link = Link::default();

    link.record_connect(Duration::from_millis(15), now);
    let after_fast = link.is_congested(now);
    link.record_connect(Duration::from_millis(150), now);

    assert!(!after_fast);
    assert!(link.is_congested(now + Duration::from_secs(1)));
    assert!(!link.is_congested(now + Duration::from_secs(10)));
}
