//! What entries tell each other of crashes, and which of them acts for all.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeMap, time::Duration};

use pistachiolug_gateway::{gossip::chunk_crashes, peers::Peers};
use pistachiolug_weights::order::Key;
use pistachiolug_wire::datagram::{self, Beacon, Crash, CrashPart, Culprit, Datagram};

/// Largest datagram that fits into one packet, in bytes.
const MAX_BYTES: usize = 1200;

fn crash(incarnation: u64, parts: usize) -> Crash {
    let part = |index| CrashPart {
        part: u64::MAX - index as u64,
        position: u8::MAX,
        is_answered: true,
        is_cleared: false,
    };
    Crash {
        incarnation: u64::MAX - incarnation,
        heard_age_ms: u32::MAX,
        lost_age_ms: u32::MAX,
        parts: (0..parts).map(part).collect(),
    }
}

/// Returns the number of parts by incarnation.
fn count_parts(crashes: &[Crash]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for crash in crashes {
        *counts.entry(crash.incarnation).or_default() += crash.parts.len();
    }
    counts
}

/// Guards against datagrams that are lost with any fragment, and against parts that are left out.
#[test]
fn datagrams_with_crashes_fit_into_packets_and_hold_all_parts() {
    let rows = [
        vec![crash(1, 1)],
        vec![crash(1, 256)],
        vec![crash(1, 86), crash(2, 87), crash(3, 1)],
        (0..100).map(|number| crash(number, 1)).collect(),
        (0..20).map(|number| crash(number, 60)).collect(),
        Vec::new(),
    ];
    for crashes in rows {
        let expected = count_parts(&crashes);

        let datagrams = chunk_crashes(crashes);

        assert_eq!(count_parts(&datagrams.concat()), expected);
        for crashes in datagrams {
            let bytes = datagram::encode(&Datagram::Crashes(crashes)).unwrap();
            assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
        }
    }
}

/// Guards against datagrams with named parts that are lost with any fragment.
#[test]
fn datagrams_with_named_parts_fit_into_packets() {
    let culprit = Culprit {
        part: u64::MAX,
        crashes: (0..5).map(|number| crash(number, 1)).collect(),
        reruns: u8::MAX,
        rerun_age_ms: Some(u32::MAX),
        age_ms: u32::MAX,
    };
    let culprits = vec![culprit; pistachiolug_gateway::gossip::MAX_CULPRITS_PER_DATAGRAM];

    let bytes = datagram::encode(&Datagram::Culprits(culprits)).unwrap();

    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}

fn beacon(name: &str) -> Beacon {
    Beacon {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "inland".to_owned(),
        in_touch: true,
        position: support::POSITION,
        rows_age_ms: None,
        work: Vec::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    }
}

/// Returns what one of several entries knows of those that it heard.
fn peers(own: &str, heard: &[&str]) -> Peers {
    let mut peers = Peers::new(own, "inland");
    for name in heard {
        peers.record_beacon(beacon(name), Duration::from_secs(1));
    }
    peers
}

/// Guards against several entries that each run a request with a named part again, or write the same row.
#[test]
fn one_of_the_live_entries_acts_for_all() {
    let names = ["a", "b", "c", "d"];
    let now = Duration::from_secs(2);
    for object in 0..50 {
        let object = Key::of(&object.to_string());

        let acting = names
            .iter()
            .filter(|name| peers(name, &names).is_first_for(object, now));

        assert_eq!(acting.count(), 1);
    }
}

/// Guards against an entry that is cut off from the others and acts for them.
#[test]
fn an_entry_that_hears_none_of_the_others_does_not_act_for_them() {
    let object = Key::of("object");
    let later = Duration::from_secs(60);

    assert!(!peers("a", &["b", "c"]).is_first_for(object, later));
    assert!(peers("a", &[]).is_first_for(object, later));
}
