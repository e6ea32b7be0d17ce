//! Spread as a model: places that exchange, lose, repeat and reorder messages never step back and end up alike.

mod support;

use std::{collections::BTreeMap, time::Duration};

use pistachiolug_http::secret::Secret;
use pistachiolug_lists::{
    active::ActiveLists,
    gossip::{
        message::{self, Delta, PullRequest},
        replica::Replica,
        topology::Topology,
    },
    row::{Name, Row, Stored},
    table::Change,
};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place as Where, Role, State};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use support::{customer, plan};

const PLACES: usize = 4;

/// Service with all writes; a reading may be old.
#[derive(Default)]
struct Service {
    writes: Vec<Change>,
}

impl Service {
    fn write(&mut self, rng: &mut ChaCha8Rng) {
        let number = rng.random_range(0..5);
        let row = match number {
            0 | 1 => plan(&format!("plan {number}"), rng.random_range(1..9)),
            _ => customer(
                &format!("customer {number}"),
                "plan 0",
                &format!("key {number}"),
            ),
        };
        let value = Stored {
            row: row.clone(),
            edit: None,
        };
        let present = self.reading(self.writes.len());
        let present = present.iter().any(|it| it.name == row.name());
        let remove = present && rng.random_bool(0.2);
        self.writes.push(Change {
            name: row.name(),
            revision: self.writes.len() as u64 + 1,
            value: (!remove).then(|| value.render().into()),
            good: None,
        });
    }

    /// Returns all rows at a revision.
    fn reading(&self, revision: usize) -> Vec<Change> {
        let mut rows: BTreeMap<&Name, &Change> = BTreeMap::new();
        for write in &self.writes[..revision] {
            rows.insert(&write.name, write);
        }
        let rows = rows.into_values().filter(|it| it.value.is_some());
        rows.cloned().collect()
    }
}

/// Place with the newest revision it has shown.
struct Node {
    replica: Replica,
    active: ActiveLists,
    shown: u64,
}

impl Node {
    fn new() -> Self {
        let active = ActiveLists::default();
        Self {
            replica: Replica::new(active.clone()),
            active,
            shown: 0,
        }
    }

    fn check(&mut self) {
        let revision = self.active.current().revision();
        assert!(
            revision >= self.shown,
            "a place stepped back from {} to {revision}",
            self.shown
        );
        assert!(self.replica.revision() >= revision);
        self.shown = revision;
    }

    /// Starts anew without any state, as a replaced process, from a reading and a peer's rows.
    fn restart(&mut self, reading: Option<(Vec<Change>, u64)>, peer: Option<Delta>) {
        *self = Self::new();
        if let Some(delta) = peer.filter(|delta| delta.whole) {
            self.replica.apply_delta(delta, Instant::now());
        }
        if let Some((rows, revision)) = reading {
            self.replica.apply_snapshot(rows, revision, Instant::now());
        }
    }
}

fn exchange(nodes: &[Node], from: usize, to: usize, whole: bool) -> Option<Delta> {
    let ask = if whole {
        PullRequest {
            after: 0,
            ..nodes[to].replica.pull_request()
        }
    } else {
        nodes[to].replica.pull_request()
    };
    nodes[from].replica.answer(&ask, "peer")
}

fn step(
    rng: &mut ChaCha8Rng,
    service: &mut Service,
    nodes: &mut [Node],
    late: &mut Vec<(usize, Delta)>,
) {
    let to = rng.random_range(0..PLACES);
    let from = (to + rng.random_range(1..PLACES)) % PLACES;
    match rng.random_range(0..8) {
        0 | 1 => service.write(rng),
        2 => {
            let seen = nodes[to].replica.revision() as usize;
            let mut events = service.writes[seen.min(service.writes.len())..].to_vec();
            let repeated = rng.random_range(0..=service.writes.len());
            events.extend(service.writes[repeated..].iter().take(3).cloned());
            events.shuffle(rng);
            nodes[to].replica.apply_events(events, Instant::now());
        }
        3 => {
            let revision = rng.random_range(0..=service.writes.len());
            let reading = service.reading(revision);
            nodes[to]
                .replica
                .apply_snapshot(reading, revision as u64, Instant::now());
        }
        4 | 5 => {
            if let Some(delta) = exchange(nodes, from, to, false) {
                nodes[to].replica.apply_delta(delta, Instant::now());
            }
        }
        6 => {
            late.extend(exchange(nodes, from, to, false).map(|delta| (to, delta)));
            if late.len() > 2 || rng.random_bool(0.3) {
                for (to, delta) in std::mem::take(late) {
                    nodes[to].replica.apply_delta(delta, Instant::now());
                }
            }
        }
        _ if rng.random_bool(0.2) => {
            let peer = exchange(nodes, from, to, true);
            let revision = service.writes.len();
            let reading = rng.random_bool(0.5);
            let reading = reading.then(|| (service.reading(revision), revision as u64));
            nodes[to].restart(reading, peer);
        }
        _ => {}
    }
    nodes.iter_mut().for_each(Node::check);
}

fn rows(node: &Node) -> Vec<Row> {
    let lists = node.active.current();
    let plans = lists.plans().map(|it| Row::Plan(it.as_ref().clone()));
    let customers = lists
        .customers()
        .map(|it| Row::Customer(it.as_ref().clone()));
    plans.chain(customers).collect()
}

#[test]
fn places_never_step_back_and_agree_once_they_hear_again() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..2000)
        .cloned()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut service = Service::default();
            let mut nodes: Vec<Node> = (0..PLACES).map(|_| Node::new()).collect();
            let mut late = Vec::new();
            for _ in 0..60 {
                step(&mut rng, &mut service, &mut nodes, &mut late);
            }

            let last = service.writes.len();
            let reading = service.reading(last);
            nodes[0]
                .replica
                .apply_snapshot(reading, last as u64, Instant::now());
            for to in 1..PLACES {
                let first = exchange(&nodes, 0, to, false).expect("place 0 has lists");
                nodes[to].replica.apply_delta(first, Instant::now());
                if nodes[to].replica.is_diverged()
                    || nodes[to].replica.report().source != nodes[0].replica.report().source
                {
                    let reading = service.reading(last);
                    nodes[to]
                        .replica
                        .apply_snapshot(reading, last as u64, Instant::now());
                }
            }

            for node in &nodes {
                assert_eq!(
                    node.replica.report().digest,
                    nodes[0].replica.report().digest
                );
                assert_eq!(node.replica.revision(), last as u64);
            }
            let written = service.reading(last);
            let problems = nodes[0].active.current().problems().len();
            assert!(rows(&nodes[0]).len() + problems >= written.len());
        });
}

#[test]
fn a_message_without_the_secret_is_refused() {
    let ours = Secret::new("ours");
    let ask = Replica::new(ActiveLists::default()).pull_request();
    let sealed = message::encode(&ours, &ask);
    let mut changed = sealed.to_vec();
    *changed.last_mut().expect("not empty") ^= 1;
    let rows: [(&str, &Secret, &[u8]); 4] = [
        ("another secret", &Secret::new("theirs"), &sealed),
        ("changed", &ours, &changed),
        ("cut", &ours, &sealed[..sealed.len() - 1]),
        ("empty", &ours, &[]),
    ];
    for (case, secret, bytes) in rows {
        assert!(
            message::decode::<PullRequest>(secret, bytes).is_err(),
            "{case}"
        );
    }
    assert_eq!(
        message::decode::<PullRequest>(&ours, &sealed).expect("own message"),
        ask
    );
}

#[test]
fn any_peer_body_is_read_or_refused_without_panic() {
    let secret = Secret::new("s");
    bolero::check!()
        .with_iterations(3000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _ = message::decode::<Delta>(&secret, bytes);
            let sealed = message::encode(&secret, bytes);
            let _ = message::decode::<Delta>(&secret, &sealed);
            let _ = pistachiolug_wire::codec::decode::<Delta>(bytes);
        });
}

fn zone(places: usize) -> Snapshot {
    let instance = |number: usize| Instance {
        name: format!("assistant-{number}"),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address: ([127, 0, 0, 1], 7000).into(),
        place: here(),
        state: State::Live,
    };
    Snapshot {
        version: 1,
        instances: (0..places).map(instance).collect(),
    }
}

fn here() -> Where {
    Where {
        region: "gauteng".to_owned(),
        zone: "midrand".to_owned(),
    }
}

#[test]
fn questions_and_pushes_per_place_stay_bounded_as_the_zone_grows() {
    for places in [2, 10, 54, 214] {
        let list = zone(places);
        let zones: Vec<(String, Topology)> = list
            .instances
            .iter()
            .map(|it| (it.name.clone(), Topology::new(&list, &it.name, &here())))
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(places as u64);

        let mut asked: BTreeMap<String, f64> = BTreeMap::new();
        let mut pushed: BTreeMap<String, u32> = BTreeMap::new();
        let rounds = 200;
        for (name, zone) in &zones {
            for _ in 0..rounds {
                let peer = zone.pull_peer(&mut rng).expect("there are peers");
                assert_ne!(peer.name, *name);
                let rate = 1.0 / zone.pull_interval().as_secs_f64() / f64::from(rounds);
                *asked.entry(peer.name.clone()).or_default() += rate;
            }
            for peer in zone.push_peers(&mut rng) {
                *pushed.entry(peer.name.clone()).or_default() += 1;
            }
        }

        let watchers = zones.iter().filter(|(_, zone)| zone.is_watcher()).count();
        assert_eq!(watchers, 2);
        let most = asked.values().copied().fold(0.0, f64::max);
        assert!(most < 16.0, "{most} questions a second in {places} places");
        let reached = zones
            .iter()
            .filter(|(name, zone)| zone.is_watcher() || pushed.contains_key(name));
        assert_eq!(reached.count(), places, "every place gets a push");
    }
}

#[test]
fn readings_of_an_outage_spread_out() {
    let list = zone(214);
    let zone = Topology::new(&list, "assistant-7", &here());

    let calm = zone.max_age(0, 1.0);
    let outage = zone.max_age(8, 1.0);

    assert!(calm < Duration::from_secs(10));
    assert!(outage > Duration::from_secs(60));
}
