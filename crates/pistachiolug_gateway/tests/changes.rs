//! Batches of changed rows at an entry: which servers, entries and evacuations it knows afterwards.

#![allow(clippy::unwrap_used)]

mod support;

use std::{net::SocketAddr, time::Duration};

use support::{
    SERVICE,
    changes::{Entry, row},
    run,
};

const ADDRESS: &str = "10.0.0.1:80";
const OTHER_ADDRESS: &str = "10.0.0.2:80";

/// Values of a row, one after another; `None` removes it.
type Values<'a> = &'a [Option<&'a str>];

/// Guards against a server that is lost for good because it left and came back within one batch of changes.
#[test]
fn the_last_change_of_a_server_in_a_batch_counts() {
    let first = row(SERVICE, ADDRESS, 1);
    let again = row(SERVICE, ADDRESS, 2);
    let moved = row(SERVICE, OTHER_ADDRESS, 2);
    let (first, again, moved) = (first.as_str(), again.as_str(), moved.as_str());
    let cases: [(&str, Values<'_>, Option<&str>); 7] = [
        (
            "started again",
            &[None, Some(again)],
            Some("i-1 10.0.0.1:80 2"),
        ),
        (
            "listed again",
            &[None, Some(first)],
            Some("i-1 10.0.0.1:80 1"),
        ),
        ("moved", &[None, Some(moved)], Some("i-1 10.0.0.2:80 2")),
        (
            "started twice",
            &[None, Some(again), None, Some(moved)],
            Some("i-1 10.0.0.2:80 2"),
        ),
        ("gone", &[Some(again), None], None),
        ("gone again", &[None, Some(again), None], None),
        ("unreadable", &[None, Some("?")], None),
    ];
    for (name, values, expected) in cases {
        run(async {
            let mut entry = Entry::new().await;
            entry.apply(&[("servers/i-1", Some(first))]);
            let batch: Vec<_> = values.iter().map(|value| ("servers/i-1", *value)).collect();

            entry.apply(&batch);

            assert_eq!(entry.server_of(SERVICE).as_deref(), expected, "{name}");
        });
    }
}

/// Guards against review/12: most servers of a service leave together, and get requests for seconds although the key-value service
/// answers all the while.
#[test]
fn servers_that_leave_together_get_no_requests_from_then_on() {
    let cases: [(&str, &[&str]); 3] = [
        ("one of three", &["servers/i-1"]),
        ("two of three", &["servers/i-1", "servers/i-2"]),
        ("all", &["servers/i-1", "servers/i-2", "servers/i-3"]),
    ];
    for (name, leaving) in cases {
        run(async {
            let mut entry = Entry::new().await;
            let rows = ["servers/i-1", "servers/i-2", "servers/i-3"];
            for (index, key) in rows.iter().enumerate() {
                let address = format!("10.0.0.{}:80", index + 1);
                entry.apply(&[(*key, Some(&row(SERVICE, &address, 1)))]);
            }
            let now = entry.state.now();
            entry
                .state
                .with_reachability(|store| store.record_success(now));

            let batch: Vec<_> = leaving.iter().map(|key| (*key, None)).collect();
            entry.apply(&batch);

            let now = entry.state.now();
            let left: Vec<&str> = entry.state.with_pool(|pool| {
                pool.remove_expired(now);
                let ids = rows.iter().map(|key| &key["servers/".len()..]);
                ids.filter(|id| pool.get(id).is_some()).collect()
            });
            let expected = rows.iter().filter(|key| !leaving.contains(key));
            let expected: Vec<&str> = expected.map(|key| &key["servers/".len()..]).collect();
            assert_eq!(left, expected, "{name}");
        });
    }
}

/// Guards against the removal of a server that an earlier batch has scheduled: its row is there again.
#[test]
fn a_server_whose_removal_is_scheduled_is_kept_if_it_is_listed_again() {
    run(async {
        let later = Duration::from_secs(60);
        let mut entry = Entry::new().await;
        entry.apply(&[("servers/i-1", Some(&row(SERVICE, ADDRESS, 1)))]);
        let until = entry.state.now() + Duration::from_secs(2);
        entry
            .state
            .with_pool(|pool| pool.schedule_removal("i-1", until));

        entry.apply(&[
            ("servers/i-1", None),
            ("servers/i-1", Some(&row(SERVICE, ADDRESS, 1))),
        ]);

        let removed = entry
            .state
            .with_pool(|pool| pool.remove_expired(until + later));
        assert!(removed.is_empty(), "{removed:?}");
        let expected = Some("i-1 10.0.0.1:80 1");
        assert_eq!(entry.server_of(SERVICE).as_deref(), expected);
    });
}

/// Guards against the loss of another server that takes over the address of one that leaves in the same batch, in either order.
#[test]
fn a_successor_at_an_address_is_used_if_its_predecessor_leaves_in_the_same_batch() {
    let successor = row(SERVICE, ADDRESS, 2);
    let changes = [("servers/i-1", None), ("servers/i-2", Some(&*successor))];
    for order in [[0, 1], [1, 0]] {
        run(async {
            let mut entry = Entry::new().await;
            entry.apply(&[("servers/i-1", Some(&row(SERVICE, ADDRESS, 1)))]);

            entry.apply(&order.map(|index| changes[index]));

            let expected = Some("i-2 10.0.0.1:80 2");
            assert_eq!(entry.server_of(SERVICE).as_deref(), expected, "{order:?}");
        });
    }
}

/// Guards against other rows whose removal outlives a later row of the same batch.
#[test]
fn the_last_change_of_an_entry_and_of_an_evacuation_in_a_batch_counts() {
    let peer: SocketAddr = "10.0.0.9:7700".parse().unwrap();
    let address = peer.to_string();
    let cases: [(&[bool], bool); 4] = [
        (&[false, true], true),
        (&[true, false], false),
        (&[true, false, true], true),
        (&[false, true, false], false),
    ];
    for (is_there, expected) in cases {
        run(async {
            let mut entry = Entry::new().await;
            entry.apply(&[
                ("entries/other", Some(&address)),
                ("evacuate/south", Some("")),
            ]);
            let peers = is_there
                .iter()
                .map(|there| ("entries/other", there.then_some(address.as_str())));
            let zones = is_there
                .iter()
                .map(|there| ("evacuate/south", there.then_some("")));

            entry.apply(&peers.chain(zones).collect::<Vec<_>>());

            let knows_peer = entry
                .state
                .with_peers(|peers| peers.addresses().any(|known| known == peer));
            assert_eq!(knows_peer, expected, "{is_there:?}");
            assert_eq!(entry.state.is_evacuated("south"), expected, "{is_there:?}");
        });
    }
}
