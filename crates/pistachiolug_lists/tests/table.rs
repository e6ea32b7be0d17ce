//! Table of rows: the same writes give the same lists in any order, and invalid rows are not activated.

mod support;

use pistachiolug_lists::{
    key,
    lists::Lists,
    row::{Kind, Name, Row, Stored},
    suspect::{self, Crash},
    table::{Change, Table},
};
use pistachiolug_platform::kv::memory::Memory;
use pistachiolug_wire::digest::Digest;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use support::{customer, plan};

/// Returns the write of a row at a revision.
fn put(row: &Row, revision: u64) -> Change {
    let stored = Stored {
        row: row.clone(),
        edit: None,
    };
    Change {
        name: row.name(),
        revision,
        value: Some(stored.render().into()),
        good: None,
    }
}

/// Returns the removal of a row at a revision.
fn remove(row: &Row, revision: u64) -> Change {
    Change {
        value: None,
        ..put(row, revision)
    }
}

/// Returns a write of any value under the name of a row.
fn put_raw(row: &Row, revision: u64, value: &'static str) -> Change {
    Change {
        value: Some(value.into()),
        ..put(row, revision)
    }
}

/// Applies changes one by one and returns the lists active after the last one.
fn resolve_all(changes: &[Change]) -> Lists {
    let mut table = Table::default();
    let mut lists = Lists::default();
    for change in changes {
        table.apply(change.clone());
        table.advance(change.revision);
        lists = table.resolve();
    }
    lists
}

/// Guards against an invalid write that disables a plan or a customer: rows may be written by clients that do not check
/// them.
#[test]
fn invalid_rows_are_rejected_and_the_last_valid_ones_stay_active() {
    let paid = plan("paid", 3);
    let deli = customer("deli", "paid", "k1");
    let same_key = customer("thief", "paid", "k1");
    let unknown_plan = customer("deli", "gone", "k1");
    let base = [put(&paid, 1), put(&deli, 2)];
    let rows = [
        ("no JSON", put_raw(&paid, 3, "{"), "share 3"),
        (
            "unknown field",
            put_raw(&paid, 3, r#"{"name":"paid","share":4,"x":1}"#),
            "share 3",
        ),
        (
            "another name",
            put_raw(&paid, 3, r#"{"name":"free","share":4}"#),
            "share 3",
        ),
        ("no share", put(&plan("paid", 0), 3), "share 3"),
        ("unknown plan", put(&unknown_plan, 3), "share 3"),
        ("key of another customer", put(&same_key, 3), "share 3"),
        ("removal of a plan in use", remove(&paid, 3), "share 3"),
        ("good change", put(&plan("paid", 4), 3), "share 4"),
    ];
    for (case, change, expected) in rows {
        let lists = resolve_all(&[base[0].clone(), base[1].clone(), change]);

        let share = lists
            .plan("paid")
            .map(|plan| format!("share {}", plan.share));
        assert_eq!(share.as_deref(), Some(expected), "{case}");
        let owner = lists
            .customer_of(&key::digest("k1"))
            .expect("the key has an owner");
        assert_eq!(
            (owner.name.as_str(), owner.plan.as_str()),
            ("deli", "paid"),
            "{case}"
        );
        assert_eq!(lists.problems().is_empty(), case == "good change", "{case}");
    }
}

/// A plan removed while a customer still uses it stays active, and must not stay for good once the customer is removed.
#[test]
fn removal_takes_effect_once_no_row_refers_to_it() {
    let paid = plan("paid", 3);
    let deli = customer("deli", "paid", "k1");

    let lists = resolve_all(&[
        put(&paid, 1),
        put(&deli, 2),
        remove(&paid, 3),
        remove(&deli, 4),
    ]);

    assert!(lists.plan("paid").is_none());
    assert!(lists.customer_of(&key::digest("k1")).is_none());
    assert!(lists.problems().is_empty());
}

/// Returns random writes to a few rows, including invalid rows and removals, in order of revision.
fn random_writes(rng: &mut ChaCha8Rng) -> Vec<Change> {
    let mut present = [false; 6];
    let mut writes = Vec::new();
    for revision in 1..=rng.random_range(1..60) {
        let at = rng.random_range(0..present.len());
        let row = match at {
            0 | 1 => plan(&format!("plan {at}"), rng.random_range(0..4)),
            _ => {
                let plan = format!("plan {}", rng.random_range(0..2));
                customer(&format!("customer {at}"), &plan, &format!("k{at}"))
            }
        };
        let removal = present[at] && rng.random_bool(0.3);
        present[at] = !removal;
        writes.push(if removal {
            remove(&row, revision)
        } else {
            put(&row, revision)
        });
    }
    writes
}

/// Returns the rows after all writes, as a full read of the service returns them.
fn full_read(writes: &[Change]) -> Vec<Change> {
    let newest = |name: &Name| writes.iter().rev().find(|it| it.name == *name);
    let mut names: Vec<Name> = writes.iter().map(|it| it.name.clone()).collect();
    names.sort();
    names.dedup();
    let rows = names.iter().filter_map(newest);
    rows.filter(|it| it.value.is_some()).cloned().collect()
}

/// Guards against instances that keep different rows: events may be repeated and reordered, peers may be behind, and a
/// full read may be outdated.
#[test]
fn tables_converge_after_repeated_and_reordered_events_and_outdated_reads() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..1500)
        .cloned()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let writes = random_writes(&mut rng);
            let last = writes.len() as u64;
            let split = rng.random_range(0..=writes.len());
            let mut expected = Table::default();
            expected.apply_snapshot(full_read(&writes), last);

            let mut shuffled = writes.clone();
            shuffled.extend(writes.iter().take(7).cloned());
            shuffled.shuffle(&mut rng);
            let mut by_events = Table::default();
            for change in shuffled {
                by_events.apply(change);
            }
            by_events.advance(last);

            let mut by_peer = Table::default();
            by_peer.apply_snapshot(full_read(&writes[..split]), split as u64);
            let (delta, is_whole) = by_events.changes_after(by_peer.revision());
            assert_eq!(is_whole, by_peer.revision() == 0);
            if is_whole {
                by_peer.apply_snapshot(delta, last);
            } else {
                for change in delta {
                    by_peer.apply(change);
                }
                by_peer.advance(last);
            }
            let is_applied = by_peer.apply_snapshot(full_read(&writes[..split]), split as u64);

            assert_eq!(is_applied, split == writes.len());
            assert_eq!(by_events.digest(), expected.digest());
            assert_eq!(by_peer.digest(), expected.digest());
        });
}

/// An agent repeats a report whose response was lost; counting it twice would make a content a suspect too early.
#[tokio::test]
async fn crash_reported_twice_counts_once() {
    let store = Memory::new(1);
    let content = Digest::of(b"poison");
    let crash = |call: &str| Crash {
        instance: "assistant-1".to_owned(),
        call: call.to_owned(),
    };

    for call in ["a", "a", "b"] {
        suspect::report(&store, &content, &crash(call))
            .await
            .expect("service answers");
    }

    let name = Name {
        kind: Kind::Suspects,
        name: content.to_string(),
    };
    let entry = store.peek(&name.key()).expect("row is stored");
    let lists = resolve_all(&[Change {
        name,
        revision: entry.revision,
        value: Some(entry.value),
        good: None,
    }]);
    assert_eq!(
        lists.suspect(&content).expect("suspect is active").count(),
        2
    );
}
