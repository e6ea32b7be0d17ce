//! Sums over the states of all instances, as `status` and `lists` show them.

use pistachiolug::{
    command::{
        lists::{self, Row},
        rollout,
    },
    fleet::Member,
};
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use serde_json::{Value, json};

fn member(zone: &str, state: Option<Value>) -> Member {
    Member {
        instance: Instance {
            name: "assistant-1".to_owned(),
            role: Role::Agent,
            service: "assistant".to_owned(),
            address: "127.0.0.1:1".parse().expect("address is well formed"),
            place: Place {
                region: "gauteng".to_owned(),
                zone: zone.to_owned(),
            },
            state: State::Live,
        },
        error: state.is_none().then(|| "connection refused".to_owned()),
        state,
    }
}

fn with_version(version: &str, state: &str, done: u64) -> Member {
    let row = json!({
        "model": "pasta", "version": version, "state": state,
        "done_bytes": done, "total_bytes": 100,
    });
    member("midrand", Some(json!({ "weights": { "versions": [row] } })))
}

#[test]
fn rollouts_add_up_over_instances() {
    let members = [
        with_version("v2", "serving", 0),
        with_version("v2", "pulling", 40),
        with_version("v2", "failed", 400),
        with_version("v1", "serving", 100),
        member("midrand", None),
    ];

    let rollouts = rollout::summarize(&members);

    let name = |version: &str| ("pasta".to_owned(), version.to_owned());
    let newer = &rollouts[&name("v2")];
    assert_eq!((newer.serving, newer.instances), (1, 3));
    assert_eq!((newer.done_bytes, newer.total_bytes), (240, 300));
    assert!(!newer.is_finished());
    assert!(rollouts[&name("v1")].is_finished());
}

#[test]
fn lists_are_in_force_once_the_last_place_has_them() {
    let holding =
        |zone: &str, revision: u64| member(zone, Some(json!({ "lists_revision": revision })));
    let cases = [
        (vec![holding("a", 9), holding("b", 9)], Some(9), true),
        (vec![holding("a", 12), holding("b", 9)], Some(9), true),
        (vec![holding("a", 9), holding("b", 8)], Some(9), false),
        (vec![holding("a", 9), member("b", None)], Some(9), false),
        (Vec::new(), Some(9), false),
        (vec![holding("a", 9)], None, false),
    ];
    for (members, accepted, in_force) in cases {
        let report = lists::summarize(&members, accepted);
        assert_eq!(report.in_force, in_force, "{report:?}");
    }
}

#[test]
fn places_are_summed_up_apart() {
    let members = [
        member("a", Some(json!({ "lists": { "revision": 7 } }))),
        member("a", Some(json!({ "lists_revision": 5 }))),
        member("a", None),
        member("b", Some(json!({ "lists_revision": 9 }))),
    ];

    let report = lists::summarize(&members, Some(9));

    let row = |zone: &str, instances, silent, oldest, newest| Row {
        region: "gauteng".to_owned(),
        zone: zone.to_owned(),
        instances,
        silent,
        oldest,
        newest,
    };
    assert_eq!(report.places, [row("a", 2, 1, 5, 7), row("b", 1, 0, 9, 9)]);
}
