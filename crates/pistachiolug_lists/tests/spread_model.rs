//! Model tests of the gossip: replicas that exchange, lose, repeat and reorder messages never go back to an older
//! revision, and they converge. Also tests messages and the topology.

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
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use support::{customer, plan};

const REPLICA_COUNT: usize = 4;

/// Key-value service with all its writes, which can be read as of any revision.
#[derive(Default)]
struct Service {
    writes: Vec<Change>,
}

impl Service {
    /// Writes or removes a random row.
    fn write_random_row(&mut self, rng: &mut ChaCha8Rng) {
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
        let rows = self.full_read(self.writes.len());
        let exists = rows.iter().any(|it| it.name == row.name());
        let remove = exists && rng.random_bool(0.2);
        self.writes.push(Change {
            name: row.name(),
            revision: self.writes.len() as u64 + 1,
            value: (!remove).then(|| value.render().into()),
            good: None,
        });
    }

    /// Returns all rows at a revision.
    fn full_read(&self, revision: usize) -> Vec<Change> {
        let mut rows: BTreeMap<&Name, &Change> = BTreeMap::new();
        for write in &self.writes[..revision] {
            rows.insert(&write.name, write);
        }
        let rows = rows.into_values().filter(|it| it.value.is_some());
        rows.cloned().collect()
    }
}

/// Replica with the newest revision that it has activated.
struct Node {
    replica: Replica,
    active: ActiveLists,
    last_revision: u64,
}

impl Node {
    fn new() -> Self {
        let active = ActiveLists::default();
        Self {
            replica: Replica::new(active.clone()),
            active,
            last_revision: 0,
        }
    }

    /// Checks that the active revision has not decreased.
    fn check_revision(&mut self) {
        let revision = self.active.current().revision();
        assert!(
            revision >= self.last_revision,
            "a replica went back from revision {} to {revision}",
            self.last_revision
        );
        assert!(self.replica.revision() >= revision);
        self.last_revision = revision;
    }

    /// Restarts without any state, as a replaced process, from a full read and a peer's rows.
    fn restart(&mut self, read: Option<(Vec<Change>, u64)>, peer: Option<Delta>) {
        *self = Self::new();
        if let Some(delta) = peer.filter(|delta| delta.whole) {
            self.replica.apply_delta(delta, Instant::now());
        }
        if let Some((rows, revision)) = read {
            self.replica.apply_snapshot(rows, revision, Instant::now());
        }
    }
}

/// Returns the response of `from` to a pull by `to`, for all rows or only those that are missing.
fn pull(nodes: &[Node], from: usize, to: usize, all_rows: bool) -> Option<Delta> {
    let request = if all_rows {
        PullRequest {
            after: 0,
            ..nodes[to].replica.pull_request()
        }
    } else {
        nodes[to].replica.pull_request()
    };
    nodes[from].replica.answer(&request, "peer")
}

/// Performs one random step: a write, events, a full read, a pull, a delayed pull or a restart.
fn step(
    rng: &mut ChaCha8Rng,
    service: &mut Service,
    nodes: &mut [Node],
    delayed: &mut Vec<(usize, Delta)>,
) {
    let to = rng.random_range(0..REPLICA_COUNT);
    let from = (to + rng.random_range(1..REPLICA_COUNT)) % REPLICA_COUNT;
    match rng.random_range(0..8) {
        0 | 1 => service.write_random_row(rng),
        2 => {
            let revision = nodes[to].replica.revision() as usize;
            let mut events = service.writes[revision.min(service.writes.len())..].to_vec();
            let repeated = rng.random_range(0..=service.writes.len());
            events.extend(service.writes[repeated..].iter().take(3).cloned());
            events.shuffle(rng);
            nodes[to].replica.apply_events(events, Instant::now());
        }
        3 => {
            let revision = rng.random_range(0..=service.writes.len());
            let rows = service.full_read(revision);
            nodes[to]
                .replica
                .apply_snapshot(rows, revision as u64, Instant::now());
        }
        4 | 5 => {
            if let Some(delta) = pull(nodes, from, to, false) {
                nodes[to].replica.apply_delta(delta, Instant::now());
            }
        }
        6 => {
            delayed.extend(pull(nodes, from, to, false).map(|delta| (to, delta)));
            if delayed.len() > 2 || rng.random_bool(0.3) {
                for (to, delta) in std::mem::take(delayed) {
                    nodes[to].replica.apply_delta(delta, Instant::now());
                }
            }
        }
        _ if rng.random_bool(0.2) => {
            let peer = pull(nodes, from, to, true);
            let revision = service.writes.len();
            let is_read = rng.random_bool(0.5);
            let read = is_read.then(|| (service.full_read(revision), revision as u64));
            nodes[to].restart(read, peer);
        }
        _ => {}
    }
    nodes.iter_mut().for_each(Node::check_revision);
}

/// Returns the active plans and customers of a node.
fn active_rows(node: &Node) -> Vec<Row> {
    let lists = node.active.current();
    let plans = lists.plans().map(|it| Row::Plan(it.as_ref().clone()));
    let customers = lists
        .customers()
        .map(|it| Row::Customer(it.as_ref().clone()));
    plans.chain(customers).collect()
}

/// Guards against replicas that go back to older lists or stay different: messages are delayed, repeated and reordered,
/// reads may be outdated and processes restart. Afterwards one pull from an up-to-date replica, or a full read if the
/// replicas have diverged, must be enough to converge.
#[test]
fn replicas_never_go_back_and_converge_after_faults() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..2000)
        .cloned()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut service = Service::default();
            let mut nodes: Vec<Node> = (0..REPLICA_COUNT).map(|_| Node::new()).collect();
            let mut delayed = Vec::new();
            for _ in 0..60 {
                step(&mut rng, &mut service, &mut nodes, &mut delayed);
            }

            let last = service.writes.len();
            let rows = service.full_read(last);
            nodes[0]
                .replica
                .apply_snapshot(rows, last as u64, Instant::now());
            for to in 1..REPLICA_COUNT {
                let delta = pull(&nodes, 0, to, false).expect("replica 0 has lists");
                nodes[to].replica.apply_delta(delta, Instant::now());
                if nodes[to].replica.is_diverged()
                    || nodes[to].replica.report().source != nodes[0].replica.report().source
                {
                    let rows = service.full_read(last);
                    nodes[to]
                        .replica
                        .apply_snapshot(rows, last as u64, Instant::now());
                }
            }

            for node in &nodes {
                assert_eq!(
                    node.replica.report().digest,
                    nodes[0].replica.report().digest
                );
                assert_eq!(node.replica.revision(), last as u64);
            }
            let written = service.full_read(last);
            let problems = nodes[0].active.current().problems().len();
            assert!(active_rows(&nodes[0]).len() + problems >= written.len());
        });
}

/// A peer must not accept lists from a sender without the deployment's secret, or lists changed on the way.
#[test]
fn message_with_a_wrong_mac_is_rejected() {
    let secret = Secret::new("ours");
    let request = Replica::new(ActiveLists::default()).pull_request();
    let encoded = message::encode(&secret, &request);
    let mut changed = encoded.to_vec();
    *changed.last_mut().expect("not empty") ^= 1;
    let rows: [(&str, &Secret, &[u8]); 4] = [
        ("another secret", &Secret::new("theirs"), &encoded),
        ("changed", &secret, &changed),
        ("truncated", &secret, &encoded[..encoded.len() - 1]),
        ("empty", &secret, &[]),
    ];
    for (case, secret, bytes) in rows {
        assert!(
            message::decode::<PullRequest>(secret, bytes).is_err(),
            "{case}"
        );
    }
    assert_eq!(
        message::decode::<PullRequest>(&secret, &encoded).expect("own message"),
        request
    );
}

/// Decodes arbitrary bytes with and without a valid MAC: a body from the network must never cause a panic.
#[test]
fn arbitrary_bodies_are_decoded_or_rejected_without_panic() {
    let secret = Secret::new("s");
    bolero::check!()
        .with_iterations(3000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _ = message::decode::<Delta>(&secret, bytes);
            let encoded = message::encode(&secret, bytes);
            let _ = message::decode::<Delta>(&secret, &encoded);
            let _ = pistachiolug_wire::codec::decode::<Delta>(bytes);
        });
}

/// Returns an instance list with this many agents in one zone.
fn instance_list(count: usize) -> Snapshot {
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
        instances: (0..count).map(instance).collect(),
    }
}

fn here() -> Place {
    Place {
        region: "gauteng".to_owned(),
        zone: "midrand".to_owned(),
    }
}

/// Guards against an overloaded instance in a large zone: the pulls that the instances send to one of them must stay
/// bounded, and a push must still reach every instance.
#[test]
fn pulls_per_instance_stay_bounded_as_the_zone_grows() {
    for count in [2, 10, 54, 214] {
        let list = instance_list(count);
        let topologies: Vec<(String, Topology)> = list
            .instances
            .iter()
            .map(|it| (it.name.clone(), Topology::new(&list, &it.name, &here())))
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(count as u64);

        let mut pulls_per_s: BTreeMap<String, f64> = BTreeMap::new();
        let mut pushes: BTreeMap<String, u32> = BTreeMap::new();
        let rounds = 200;
        for (name, topology) in &topologies {
            for _ in 0..rounds {
                let peer = topology.pull_peer(&mut rng).expect("there are peers");
                assert_ne!(peer.name, *name);
                let rate = 1.0 / topology.pull_interval().as_secs_f64() / f64::from(rounds);
                *pulls_per_s.entry(peer.name.clone()).or_default() += rate;
            }
            for peer in topology.push_peers(&mut rng) {
                *pushes.entry(peer.name.clone()).or_default() += 1;
            }
        }

        let watchers = topologies
            .iter()
            .filter(|(_, topology)| topology.is_watcher())
            .count();
        assert_eq!(watchers, 2);
        let most = pulls_per_s.values().copied().fold(0.0, f64::max);
        assert!(
            most < 16.0,
            "{most} pulls per second with {count} instances"
        );
        let reached = topologies
            .iter()
            .filter(|(name, topology)| topology.is_watcher() || pushes.contains_key(name));
        assert_eq!(reached.count(), count, "every instance gets a push");
    }
}

/// Guards against a flood of reads when the key-value service returns after an outage: failed reads must spread the
/// next ones over more than a minute.
#[test]
fn reads_are_spread_out_after_an_outage() {
    let list = instance_list(214);
    let topology = Topology::new(&list, "assistant-7", &here());

    let without_failures = topology.max_age(0, 1.0);
    let after_failures = topology.max_age(8, 1.0);

    assert!(without_failures < Duration::from_secs(10));
    assert!(after_failures > Duration::from_secs(60));
}
