//! Summaries of the states of all instances, as `status` and `lists` show them.

use pistachiolug::{
    command::{
        lists::{self, Row},
        rollout,
    },
    fleet::Member,
};
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use serde_json::{Value, json};

/// Creates an instance in a zone; without a state it counts as one that does not answer.
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

/// Creates an instance with one transfer of a version of 100 bytes.
fn member_with_transfer(version: &str, state: &str, done_bytes: u64) -> Member {
    let row = json!({
        "model": "pasta", "version": version, "state": state,
        "done_bytes": done_bytes, "total_bytes": 100,
    });
    member("midrand", Some(json!({ "weights": { "versions": [row] } })))
}

/// Bytes of a failed transfer above the size of the version must not count, and an instance without a state must not
/// break the sum.
#[test]
fn roll_outs_are_summed_over_instances() {
    let members = [
        member_with_transfer("v2", "serving", 0),
        member_with_transfer("v2", "pulling", 40),
        member_with_transfer("v2", "failed", 400),
        member_with_transfer("v1", "serving", 100),
        member("midrand", None),
    ];

    let rollouts = rollout::summarize(&members);

    let name = |version: &str| ("pasta".to_owned(), version.to_owned());
    let v2 = &rollouts[&name("v2")];
    assert_eq!((v2.serving, v2.instances), (1, 3));
    assert_eq!((v2.done_bytes, v2.total_bytes), (240, 300));
    assert!(!v2.is_finished());
    assert!(rollouts[&name("v1")].is_finished());
}

/// Lists are in force only if every instance is known to have them: one without a state may have older ones.
#[test]
fn lists_are_in_force_when_every_instance_has_them() {
    let at_revision =
        |zone: &str, revision: u64| member(zone, Some(json!({ "lists_revision": revision })));
    let cases = [
        (
            vec![at_revision("a", 9), at_revision("b", 9)],
            Some(9),
            true,
        ),
        (
            vec![at_revision("a", 12), at_revision("b", 9)],
            Some(9),
            true,
        ),
        (
            vec![at_revision("a", 9), at_revision("b", 8)],
            Some(9),
            false,
        ),
        (vec![at_revision("a", 9), member("b", None)], Some(9), false),
        (Vec::new(), Some(9), false),
        (vec![at_revision("a", 9)], None, false),
    ];
    for (members, accepted, in_force) in cases {
        let report = lists::summarize(&members, accepted);
        assert_eq!(report.in_force, in_force, "{report:?}");
    }
}

/// Each zone needs its own row, or a zone with old lists would be hidden by the others.
#[test]
fn each_zone_has_its_own_row() {
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
