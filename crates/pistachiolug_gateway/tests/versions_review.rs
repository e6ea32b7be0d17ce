//! Bounds of the age of target versions that entries tell each other.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, time::Duration};

use pistachiolug_gateway::{
    pool::{Pool, Requirements},
    state::State,
    versions::Versions,
};
use pistachiolug_platform::kv::Range;
use pistachiolug_replica::rows::Rows;
use pistachiolug_wire::datagram::{self, Beacon, Change, Notice};
use tokio::time::sleep;

use support::{MODEL, POSITION, SERVICE};

/// Time between the setting of a target version and the moment from which no older version may begin a request.
const GRACE: Duration = Duration::from_secs(8);

/// Time for which a datagram is on its way.
const TRANSIT: Duration = Duration::from_millis(20);

fn records() -> Versions {
    Versions::new(GRACE, Duration::from_secs(3))
}

/// Sends what one entry tells of the targets that are not due to another one.
fn tell(from: &Versions, to: &mut Versions, sent_at: Duration) {
    let arrived_at = sent_at + TRANSIT;
    for target in from.pending(sent_at) {
        let max_age = target
            .max_age_ms
            .map(|age_ms| Duration::from_millis(age_ms.into()));
        let set_after = max_age.and_then(|max_age| arrived_at.checked_sub(max_age));
        to.merge_target(&target.model, target.version, set_after, arrived_at);
    }
}

/// Guards against deadlines that move on because entries tell each other the ages which they were told.
#[test]
fn a_target_that_entries_tell_each_other_becomes_due_in_time() {
    let set_at = Duration::from_secs(100);
    let mut entries = [records(), records(), records()];
    for entry in &mut entries {
        entry.record_target("m", 2, Some(set_at), set_at);
    }

    for round in 0..180 {
        let sent_at = set_at + TRANSIT * 2 * round;
        let from = round as usize % 3;
        for to in [(from + 1) % 3, (from + 2) % 3] {
            let [sender, receiver] = entries.get_disjoint_mut([from, to]).unwrap();
            tell(sender, receiver, sent_at);
        }
    }

    let enforced = entries.map(|entry| entry.minimum("m", set_at + GRACE));
    assert_eq!(enforced, [Some(2); 3]);
}

/// Returns an entry that has read its rows.
fn entry_with_rows() -> Rc<State> {
    let state = State::new(support::options(), support::metrics());
    state.with_rows(|rows| {
        rows.reset(Range {
            entries: Vec::new(),
            position: POSITION,
        });
        rows.confirm(POSITION, Duration::ZERO);
    });
    state
}

fn beacon(state: &State) -> Beacon {
    let (beacon, _) = state.build_beacon(0);
    beacon
}

/// Guards against rows that count as complete without an answer of the service, because entries tell each other what they
/// were told.
#[test]
fn rows_do_not_become_more_complete_by_what_entries_were_told() {
    support::run(async {
        let entries = [entry_with_rows(), entry_with_rows()];

        for round in 0..10 {
            let (from, to) = (&entries[round % 2], &entries[(round + 1) % 2]);
            let beacon = beacon(from);
            sleep(TRANSIT).await;
            to.record_beacon(beacon, to.now());
        }

        let complete_at = entries[0].with_rows(|rows: &mut Rows| rows.complete_at());
        let age = beacon(&entries[0]).rows_age_ms.map(u64::from).unwrap();
        assert!(complete_at.unwrap() < TRANSIT * 3, "{complete_at:?}");
        assert!(Duration::from_millis(age) >= TRANSIT * 10, "{age} ms");
    });
}

/// Guards against a newer target that excludes all servers before an older one is due.
#[test]
fn a_newer_target_is_not_due_before_an_older_one() {
    let rows = [
        ("known before", vec![(2, 105), (3, 101)]),
        ("corrected after", vec![(2, 101), (3, 101), (2, 105)]),
    ];
    for (name, told) in rows {
        let mut versions = records();
        for (version, set_after) in told {
            let set_after = Some(Duration::from_secs(set_after));
            versions.merge_target("m", version, set_after, Duration::from_secs(106));
        }

        let before = versions.minimum("m", Duration::from_secs(103) + GRACE);
        let after = versions.minimum("m", Duration::from_secs(105) + GRACE);

        assert_eq!(before, None, "{name}");
        assert_eq!(after, Some(3), "{name}");
    }
}

/// Guards against entries that begin requests on an outdated version because the key-value service refuses them all.
#[test]
fn a_target_that_only_agents_know_is_due_by_the_entry_s_own_rows() {
    let entry = entry_with_rows();
    let (model, version) = ("m".to_owned(), 2);
    let target = datagram::Target {
        model,
        version,
        max_age_ms: None,
    };

    entry.merge_target(&target, entry.now());

    let age = entry.target_age_ms("m", 2);
    let rows_age = beacon(&entry).rows_age_ms;
    assert_eq!(entry.target_version("m"), Some(2));
    assert!(age.is_some() && age <= rows_age, "{age:?}, {rows_age:?}");
}

/// Guards against engines that stay unused after a load because the agent's notice of its end was lost.
#[test]
fn a_server_that_is_listed_with_a_newer_version_has_loaded_it() {
    let mut pool = Pool::default();
    let start = Duration::from_secs(1);
    let record = support::record("i-1", "127.0.0.1:1".parse().unwrap());
    pool.put(record.clone(), POSITION, start);
    let change = Change::Loading { for_ms: 8000 };
    let notice = Notice {
        server: record.address,
        started: record.started_ms,
        model: MODEL.to_owned(),
        change,
    };
    let requirements = Requirements {
        service: SERVICE.into(),
        model: Some(MODEL.into()),
        ..Requirements::default()
    };

    pool.apply_notice(&notice, start);
    pool.put(record.clone(), POSITION, start);
    let during = pool.can_serve(&requirements, start);
    let mut loaded = record;
    loaded.models[0].version = 2;
    pool.put(loaded, POSITION, start);
    let after = pool.can_serve(&requirements, start);

    assert!(!during, "loading");
    assert!(after, "loaded");
}
