//! Placement of models on instances.

use std::{collections::BTreeSet, net::SocketAddr};

use pistachiolug_agent::weights::placement::choose_instances;
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place, Role, State};

fn snapshot(indices: impl Iterator<Item = usize>) -> Snapshot {
    let instances = indices.map(|index| Instance {
        name: format!("assistant-{index}"),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        place: Place {
            region: "gauteng".to_owned(),
            zone: format!("zone-{}", index % 3),
        },
        state: State::Live,
    });
    Snapshot {
        version: 1,
        instances: instances.collect(),
    }
}

fn names(snapshot: &Snapshot, count: usize) -> BTreeSet<String> {
    let chosen = choose_instances(snapshot, "assistant", "pasta", count);
    chosen
        .iter()
        .map(|instance| instance.name.clone())
        .collect()
}

/// Guards against agents that place a model differently because they received the instance list in another order.
#[test]
fn the_order_of_the_list_does_not_matter() {
    let forward = snapshot(0..60);
    let backward = snapshot((0..60).rev());

    assert_eq!(names(&forward, 20), names(&backward, 20));
}

/// Guards against a model that loses most of its replicas with one availability zone.
#[test]
fn zones_get_even_shares() {
    let snapshot = snapshot(0..60);

    let chosen = choose_instances(&snapshot, "assistant", "pasta", 30);

    for zone in ["zone-0", "zone-1", "zone-2"] {
        let count = chosen
            .iter()
            .filter(|instance| instance.place.zone == zone)
            .count();
        assert_eq!(count, 10, "{zone}");
    }
}

/// Guards against mass transfers of weights: a hash that depends on all instances would move many replicas at once.
#[test]
fn an_instance_that_leaves_moves_one_replica() {
    let before = names(&snapshot(0..60), 21);

    for removed in 0..60 {
        let after = names(&snapshot((0..60).filter(|index| *index != removed)), 21);

        let kept = before.intersection(&after).count();
        assert!(kept >= 20, "without {removed}: {kept}");
    }
}

/// Guards against needless transfers when an operator raises the number of replicas.
#[test]
fn a_larger_count_keeps_the_instances_chosen_before() {
    let snapshot = snapshot(0..60);

    assert!(names(&snapshot, 20).is_subset(&names(&snapshot, 40)));
}
