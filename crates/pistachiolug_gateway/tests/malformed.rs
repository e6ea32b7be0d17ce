//! Messages of other instances that make no sense: none may end the entry.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Config, Kind},
    pool::Requirements,
    state::State,
};
use pistachiolug_platform::kv::{Entry, Range};
use pistachiolug_replica::{rows::Rows, snapshot};
use pistachiolug_wire::{
    call, codec,
    datagram::{
        self, Beacon, Change, Crash, CrashPart, Culprit, Datagram, Demand, Grant, Limit, Notice,
        Suspect, Target, Work,
    },
    position::Position,
    revoke::{Revoke, Verdict},
    weights::View,
};
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use support::{MODEL, POSITION, SERVICE, metrics, options, parts, record, route};

/// Number of random messages in one run.
const MESSAGES: u32 = 200;

/// Number of runs, each with its own seed.
const SEEDS: u64 = 200;

/// Returns a number that is often at an end of its range.
fn edge(random: &mut impl Rng) -> u64 {
    let any = random.random();
    *[0, 1, 600, u64::from(u32::MAX), u64::MAX, any]
        .choose(random)
        .unwrap()
}

fn edge_u32(random: &mut impl Rng) -> u32 {
    u32::try_from(edge(random)).unwrap_or(u32::MAX)
}

fn several<T, R: Rng>(random: &mut R, make: fn(&mut R) -> T) -> Vec<T> {
    let count = random.random_range(0..6);
    (0..count).map(|_| make(random)).collect()
}

fn crash<R: Rng>(random: &mut R) -> Crash {
    Crash {
        incarnation: random.random_range(0..9),
        heard_age_ms: edge_u32(random),
        lost_age_ms: edge_u32(random),
        parts: several(random, |random| CrashPart {
            part: random.random_range(0..3),
            position: random.random(),
            is_answered: random.random(),
            is_cleared: random.random(),
        }),
    }
}

fn beacon<R: Rng>(random: &mut R, server: u32) -> Beacon {
    Beacon {
        name: (*["", "entry-1", "entry-2", "\0"].choose(random).unwrap()).to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: (*["", "inland", "sea"].choose(random).unwrap()).to_owned(),
        in_touch: random.random(),
        position: Position::new(edge(random), edge(random)),
        rows_age_ms: random.random::<bool>().then(|| edge_u32(random)),
        work: vec![(
            server,
            Work {
                calls: edge_u32(random),
                prompt: edge_u32(random),
            },
        )],
        shortages: Vec::new(),
        paces: Vec::new(),
    }
}

/// Returns the incarnation of the server, or another one.
fn incarnation<R: Rng>(random: &mut R) -> u64 {
    let server = record("i-1", "127.0.0.1:9".parse().unwrap());
    *[server.incarnation(), 0].choose(random).unwrap()
}

/// Returns a random datagram; beacons tell of work at the server with a hash.
fn datagram<R: Rng>(random: &mut R, server: u32) -> Datagram {
    match random.random_range(0..9) {
        0 => Datagram::Beacon(beacon(random, server)),
        1 => Datagram::Notice(Notice {
            server: "127.0.0.1:9".parse().unwrap(),
            started: random.random_range(0..2),
            model: (*["", MODEL].choose(random).unwrap()).to_owned(),
            change: if random.random() {
                Change::Loading {
                    for_ms: edge_u32(random),
                }
            } else {
                Change::Holds {
                    version: edge(random),
                }
            },
        }),
        2 => Datagram::Suspects(several(random, |random| Suspect {
            content: [random.random_range(0..3); 32],
            crashes: several(random, edge),
            cleared: several(random, edge),
            reruns: random.random(),
            age_ms: edge_u32(random),
        })),
        3 => Datagram::Crashes(several(random, crash)),
        4 => Datagram::Culprits(several(random, |random| Culprit {
            part: random.random_range(0..3),
            crashes: several(random, crash),
            reruns: random.random(),
            rerun_age_ms: random.random::<bool>().then(|| edge_u32(random)),
            age_ms: edge_u32(random),
        })),
        5 => Datagram::Targets(several(random, |random| Target {
            model: (*["", MODEL].choose(random).unwrap()).to_owned(),
            version: edge(random),
            max_age_ms: random.random::<bool>().then(|| edge_u32(random)),
        })),
        6 => Datagram::Limits(several(random, |random| Limit {
            incarnation: incarnation(random),
            millis_per_second: random.random::<bool>().then(|| edge(random)),
            max_age_ms: edge_u32(random),
            min_age_ms: edge_u32(random),
        })),
        7 => Datagram::Demands {
            from: "127.0.0.1:9".parse().unwrap(),
            demands: several(random, |random| Demand {
                incarnation: incarnation(random),
                count: edge_u32(random),
                priority: random.random(),
            }),
        },
        _ => Datagram::Grants(several(random, |random| Grant {
            incarnation: incarnation(random),
            count: edge_u32(random),
            wait_ms: edge_u32(random),
        })),
    }
}

/// Applies a datagram as an entry does, and runs what an entry runs in each round.
fn apply(state: &Rc<State>, datagram: Datagram, round: u32) {
    let arrived_after = state.now();
    match datagram {
        Datagram::Beacon(beacon) => state.record_beacon(beacon, arrived_after),
        Datagram::Notice(notice) => state.apply_notice(&notice),
        Datagram::Suspects(suspects) => suspects.iter().for_each(|it| state.merge_suspect(it)),
        Datagram::Crashes(crashes) => state.merge_crashes(&crashes),
        Datagram::Culprits(culprits) => state.merge_culprits(&culprits),
        Datagram::Targets(targets) => targets.iter().for_each(|target| {
            state.merge_target(target, arrived_after);
        }),
        Datagram::Limits(limits) => state.merge_limits(&limits, arrived_after),
        Datagram::Demands { from, demands } => state.record_demands(from, &demands),
        Datagram::Grants(grants) => state.record_grants(&grants, arrived_after),
    }
    state.refresh();
    state.update_named_parts();
    let age = Duration::from_secs(1);
    let sent = [
        Datagram::Beacon(state.build_beacon(round).0),
        Datagram::Suspects([state.suspect_updates(age), state.refused_suspects()].concat()),
        Datagram::Crashes(state.crash_updates(age)),
        Datagram::Culprits([state.rerun_culprits(age), state.culprits()].concat()),
        Datagram::Targets([state.target_updates(age), state.pending_targets()].concat()),
        Datagram::Limits(state.limits(None)),
    ];
    for datagram in sent {
        datagram::encode(&datagram).unwrap();
    }
    // A beacon's load and a notice decide whether the server is chosen.
    drop(state.reserve(&requirements()));
    state.take_missing_suspects();
    state.take_unsaved_suspect();
    state.take_unsaved_culprit();
    state.newer_peer();
    state.min_version(MODEL);
    state.time_to_begin(MODEL, 1);
    state.expire_crashes();
    state.dump();
}

fn requirements() -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        // A caller states the size itself.
        prompt_tokens: u32::MAX,
        ..Requirements::default()
    }
}

/// Guards against an entry that ends because another instance sends numbers at the ends of their ranges.
#[test]
fn datagrams_with_any_content_end_no_entry() {
    for seed in 0..SEEDS {
        let run = || {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let state = State::new(options(), metrics());
            let kind = if random.random() {
                Kind::Stream
            } else {
                Kind::Once
            };
            state.set_config(Config::new(parts(route(kind, 2))));
            let mut server = record("i-1", "127.0.0.1:9".parse().unwrap());
            server.slots = edge_u32(&mut random);
            state.with_pool(|pool| pool.put(server, POSITION, Duration::ZERO));
            // Together they overflow; in the other order the first one would keep the second from the server.
            let _permits = [1, u32::MAX].map(|prompt_tokens| {
                let requirements = Requirements {
                    prompt_tokens,
                    ..requirements()
                };
                state.reserve(&requirements).unwrap()
            });
            let (server, _) = state.build_beacon(0).0.work[0];
            for round in 0..MESSAGES {
                apply(&state, datagram(&mut random, server), round);
            }
        };

        let outcome = std::panic::catch_unwind(run);

        assert!(outcome.is_ok(), "failed with seed {seed}");
    }
}

/// Guards against an entry that ends because of bytes that are no datagram.
#[test]
fn any_bytes_are_decoded_or_rejected() {
    bolero::check!()
        .with_iterations(10_000)
        .for_each(|bytes: &[u8]| {
            let _ = datagram::decode::<Datagram>(bytes);
            let _ = datagram::decode::<datagram::AgentDatagram>(bytes);
        });
}

/// Guards against a process that ends because of the body of a message, whole or in pieces.
#[test]
fn any_bodies_are_decoded_or_rejected() {
    bolero::check!()
        .with_iterations(10_000)
        .for_each(|bytes: &[u8]| {
            let _ = codec::decode::<call::Open>(bytes);
            let _ = codec::decode::<Revoke>(bytes);
            let _ = codec::decode::<Verdict>(bytes);
            let _ = codec::decode::<View>(bytes);
            let _ = snapshot::apply(bytes, &mut Rows::default());
            let mut decoder = codec::Decoder::default();
            for piece in bytes.chunks(3) {
                decoder.push(piece);
                if decoder.next_message::<call::Event>().is_err() {
                    break;
                }
            }
        });
}

/// Guards against an entry that ends, or loses its rows, because another one sends a damaged copy of its rows.
#[test]
fn damaged_rows_of_an_entry_are_applied_or_rejected() {
    let mut rows = Rows::default();
    let entry = |key: &str| Entry {
        key: key.to_owned(),
        value: "10.0.0.1:80 1".into(),
        revision: 7,
    };
    rows.reset(Range {
        entries: vec![entry("servers/i-1"), entry("servers/i-2")],
        position: POSITION,
    });
    let sent = snapshot::encode(&rows, Position::default()).unwrap();
    for offset in 0..sent.len() {
        for byte in [0, 1, 0x7f, 0x80, 0xff] {
            let mut damaged = sent.clone();
            damaged[offset] = byte;
            let mut received = rows.clone();

            let applied = snapshot::apply(&damaged, &mut received);

            if applied.is_err() {
                assert_eq!(received.entries().count(), 2, "byte {offset} is {byte}");
            }
        }
        let _ = snapshot::apply(&sent[..offset], &mut rows.clone());
    }
}
