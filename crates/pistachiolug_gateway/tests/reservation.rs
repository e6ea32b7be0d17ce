//! Decisions of the reservation alone: who is short of slots, what less urgent requests leave, floors, and waits.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use pistachiolug_gateway::{
    admission,
    config::{Config, Kind},
    peers::Peers,
    pool::{Pool, Requirements},
    reservation::{Claim, Ledger, Reserve, Unmet},
    state::State,
};
use pistachiolug_wire::datagram::{Beacon, Shortage};

use support::{MODEL, POSITION, SERVICE, engine, record};

const NOW: Duration = Duration::from_secs(100);

fn claim(priority: u8) -> Claim<'static> {
    Claim {
        priority,
        is_late: false,
        workspace: Some("delis"),
    }
}

fn late(priority: u8) -> Claim<'static> {
    Claim {
        is_late: true,
        ..claim(priority)
    }
}

/// Returns 40 requests of a priority that are short of slots; at 10 engines that is one slot of each.
fn unmet(priority: u8) -> Unmet {
    let mut unmet = Unmet::default();
    unmet.add(priority, 40);
    unmet
}

/// Guards against slots that are left to requests of the same or a smaller urgency, and to none.
#[test]
fn only_less_urgent_requests_leave_slots() {
    let rows = [
        (unmet(0), claim(1), 1.0),
        (unmet(0), claim(0), 0.0),
        (unmet(1), claim(0), 0.0),
        (unmet(2), late(0), 1.0),
        (unmet(0), late(0), 0.0),
        (Unmet::default(), claim(2), 0.0),
    ];
    for (unmet, claim, slots_left) in rows {
        let reserve = unmet.reserve(&claim, 10, 12);

        assert!((reserve.slots_left - slots_left).abs() < 1e-9, "{claim:?}");
    }
}

/// Guards against engines of which most slots lie idle, and against a mean that is never left because of rounding.
#[test]
fn the_slots_left_are_few_and_add_up_over_the_engines() {
    let mut many = Unmet::default();
    many.add(0, u32::MAX);
    many.add(0, 1);
    let half = Reserve {
        slots_left: 0.5,
        is_contested: true,
    };

    let most = many.reserve(&claim(1), 0, 12).slots_left;
    let engines = (0..100_u32).map(|engine| engine * (u32::MAX / 100));
    let left: u32 = engines.map(|engine| half.at_engine(engine, true)).sum();

    assert!((most - 3.0).abs() < 1e-9, "{most}");
    assert!((48..=52).contains(&left), "{left}");
}

/// Guards against a shortage that reserves slots for long after it has ended, or that ends before its second.
#[test]
fn a_shortage_counts_for_a_second() {
    let rows = [(0, 3), (800, 3), (1100, 0), (60_000, 0)];
    for (age_ms, count) in rows {
        let mut ledger = Ledger::default();
        for _ in 0..3 {
            ledger.record_shortage(&claim(1), NOW);
        }
        ledger.record_shortage(&late(0), NOW);

        let shortage = ledger.shortage(SERVICE, NOW + Duration::from_millis(age_ms));

        let told = shortage.map_or((1, 0), |told| (told.priority, told.count));
        assert_eq!(told, (1, count), "after {age_ms} ms");
    }
}

/// Guards against shortages that are counted again after their beacon was lost or replaced.
#[test]
fn shortages_of_other_entries_are_summed_while_their_beacons_are_new() {
    let mut peers = Peers::new("entry-1", "inland");
    for (name, count) in [("entry-2", 7), ("entry-2", 3), ("entry-3", 4)] {
        let beacon = Beacon {
            name: name.to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            region: "inland".to_owned(),
            in_touch: true,
            position: POSITION,
            rows_age_ms: None,
            work: Vec::new(),
            shortages: vec![Shortage {
                service: 5,
                priority: 0,
                count,
            }],
            paces: Vec::new(),
        };
        peers.record_beacon(beacon, NOW);
    }

    let fresh = peers.shortages(NOW + Duration::from_millis(300));
    let outdated = peers.shortages(NOW + Duration::from_millis(401));

    let counts: Vec<(u8, u32)> = fresh[&5].iter().collect();
    assert_eq!(counts, [(0, 7)]);
    assert!(outdated.is_empty());
}

/// Returns the counts of an entry that served all requests of priority 0, and none of the last `refused` of priority 2.
fn ledger(refused: usize) -> Ledger {
    let mut ledger = Ledger::default();
    for _ in 0..30 {
        let other = Claim {
            workspace: None,
            ..claim(0)
        };
        ledger.record_request(&other, NOW);
        ledger.record_slot(&other, NOW);
    }
    for _ in 0..refused {
        ledger.record_request(&claim(2), NOW);
    }
    ledger
}

/// Guards against a priority or workspace that is refused again and again, and against one that a single refusal raises
/// above the others.
#[test]
fn a_group_below_its_floor_leaves_no_slots() {
    let other_workspace = Claim {
        workspace: Some("bakers"),
        ..claim(2)
    };
    let same_workspace = claim(1);
    let rows = [
        (1, claim(2), false),
        (5, claim(2), true),
        (5, other_workspace, true),
        (5, same_workspace, true),
        (5, late(2), false),
        (5, claim(0), true),
        (
            5,
            Claim {
                workspace: None,
                ..claim(0)
            },
            false,
        ),
    ];
    for (refused, claim, is_below) in rows {
        let ledger = ledger(refused);

        let reserve = ledger.reserve(&claim, Some(&unmet(0)), 10, 12, NOW);

        let is_found = ledger.is_below_floor(&claim, Some(&unmet(0)), NOW);
        assert_eq!(is_found, is_below, "{refused} {claim:?}");
        let leaves = claim.priority > 0 && !is_below;
        assert_eq!(reserve.slots_left > 0.0, leaves, "{refused} {claim:?}");
    }
}

/// Guards against floors that go on after the group has been served again, and that never take hold of a group that was
/// served well before.
#[test]
fn a_floor_follows_the_service_of_the_last_requests() {
    let mut ledger = ledger(5);
    let is_below = |ledger: &Ledger| ledger.is_below_floor(&claim(2), None, NOW);
    let before = is_below(&ledger);

    for _ in 0..100 {
        ledger.record_slot(&claim(2), NOW);
    }
    let served = is_below(&ledger);
    for _ in 0..12 {
        ledger.record_request(&claim(2), NOW);
    }

    assert_eq!((before, served, is_below(&ledger)), (true, false, true));
}

/// Guards against a less urgent request that takes the last slots while a more urgent one is short, also a slot that its
/// own entry has freed.
#[test]
fn the_last_slots_of_an_engine_go_to_the_more_urgent() {
    let engine = engine();
    let open = |priority: u8, is_freed: bool, kept: bool| {
        let mut pool = Pool::default();
        pool.put(
            record("i-1", "10.0.0.1:80".parse().unwrap()),
            POSITION,
            Duration::ZERO,
        );
        let requirements = Requirements {
            service: SERVICE.into(),
            model: Some(MODEL.into()),
            priority,
            reserve: unmet(0).reserve(&claim(priority), 10, engine.slots),
            freed_server: is_freed.then(|| "i-1".into()),
            ..Requirements::default()
        };
        let mut random = rand::rng();
        let mut taken = 0;
        loop {
            if kept {
                pool.keep_freed("i-1", NOW);
            }
            let location = support::location();
            let choice = pool.choose(&requirements, Some(&engine), &location, NOW, &mut random);
            if choice.is_none() {
                return taken;
            }
            pool.start_request("i-1", 0);
            taken += 1;
        }
    };

    let slots = engine.slots;
    assert_eq!(open(0, false, false), slots - 1);
    assert_eq!(open(0, true, false), slots);
    assert_eq!(open(0, false, true), slots);
    assert!(open(1, false, false) < slots - 1);
    assert!(open(1, true, false) < slots);
}

/// Guards against shortages that are not told to other entries, or not heeded here, and against streams that are held back
/// although a server has had them.
#[test]
fn an_entry_tells_its_shortages_and_heeds_those_of_others() {
    let state = State::new(support::options(), support::metrics());
    state.set_config(Config::new(support::parts(support::route(Kind::Stream, 1))));
    let engine = record("i-1", "10.0.0.1:80".parse().unwrap());
    state.with_pool(|pool| pool.put(engine, POSITION, Duration::ZERO));
    let mut waiting = Requirements {
        service: SERVICE.into(),
        model: Some(MODEL.into()),
        priority: 1,
        ..Requirements::default()
    };
    state.record_arrival(&waiting);
    state.record_shortage(&waiting);
    let (own, _) = state.build_beacon(0);
    let beacon = Beacon {
        name: "entry-2".to_owned(),
        shortages: vec![Shortage {
            priority: 0,
            count: 100,
            ..own.shortages[0]
        }],
        ..own.clone()
    };

    state.record_beacon(beacon, state.now());
    state.refresh();
    state.update_reservation(&mut waiting);
    let mut resumed = Requirements {
        is_exempt: true,
        ..waiting.clone()
    };
    state.update_reservation(&mut resumed);

    let told: Vec<(u8, u16)> = own
        .shortages
        .iter()
        .map(|told| (told.priority, told.count))
        .collect();
    assert_eq!(told, [(1, 1)]);
    assert!(waiting.reserve.slots_left > 0.0);
    assert_eq!(resumed.reserve, Reserve::default());
}

/// Guards against urgent requests that are refused although their first event would be in time, and against others that
/// wait longer than before.
#[test]
fn a_request_waits_as_long_as_its_first_event_is_expected_in_time() {
    let request = |first_event_ms: Option<u64>| admission::Request {
        target_latency: Duration::from_millis(400),
        is_first_attempt: true,
        time_left: Duration::from_secs(5),
        ahead: 0,
        reopens_in: Duration::ZERO,
        limit: None,
        first_event: first_event_ms.map(Duration::from_millis),
    };
    let rows = [
        (None, 160),
        (Some(100), 260),
        (Some(300), 160),
        (Some(9000), 160),
    ];
    for (first_event_ms, wait_ms) in rows {
        let max_wait = request(first_event_ms).max_wait();

        assert_eq!(max_wait.as_millis(), wait_ms, "{first_event_ms:?}");
    }
    // 900 tokens take 30 ms to read, and a pass of 6 steps of 8.32 ms is 49.92 ms.
    let first_event = admission::first_event(900, &engine());
    assert_eq!(first_event.as_micros(), 129_840);
}
