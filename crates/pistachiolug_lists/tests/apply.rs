//! Applying documents: concurrent operators, lost responses, conflicts and the history.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use pistachiolug_lists::{
    apply::{self, Error, Operator},
    base::{self, Base},
    difference::Verb,
    document::Document,
    history,
    row::{Kind, Name, PREFIX, Row, Stored},
};
use pistachiolug_platform::kv::{
    Event, Position, Store,
    memory::{Faults, Memory},
};
use pistachiolug_wire::digest::Digest;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::plan;

fn document(rows: &[Row]) -> Document {
    Document {
        rows: rows.iter().map(|row| (row.name(), row.clone())).collect(),
    }
}

fn operator(author: &str) -> Operator {
    Operator {
        author: author.to_owned(),
        prefer: BTreeSet::new(),
    }
}

/// Returns a store to which `rows` have been applied, with the resulting base.
async fn applied_store(rows: &[Row]) -> (Memory, Base) {
    let store = Memory::new(1);
    let outcome = apply::run(
        &store,
        &document(rows),
        &Base::default(),
        &operator("first"),
    )
    .await;
    (store, outcome.expect("first apply succeeds").base)
}

/// Returns the share of a stored plan; `None` if there is no valid plan of this name.
fn stored_share(store: &Memory, name: &str) -> Option<u32> {
    let entry = store.peek(&format!("{PREFIX}plans/{name}"))?;
    match Row::parse(Kind::Plans, &entry.value) {
        Ok(Row::Plan(plan)) => Some(plan.share),
        _ => None,
    }
}

/// Guards against an apply that overwrites or drops a change made by someone else since the checkout.
#[tokio::test(start_paused = true)]
async fn merge_result_depends_on_which_sides_changed_the_row() {
    // Share of one plan in the base, the document and the service, and in the service after the apply. `None` means
    // that the row does not exist, `Err` that the apply must report a conflict.
    let rows = [
        ("same", Some(1), Some(1), Some(1), Ok(Some(1))),
        ("changed here", Some(1), Some(2), Some(1), Ok(Some(2))),
        ("changed there", Some(1), Some(1), Some(3), Ok(Some(3))),
        ("changed alike", Some(1), Some(2), Some(2), Ok(Some(2))),
        (
            "changed differently",
            Some(1),
            Some(2),
            Some(3),
            Err(Some(3)),
        ),
        ("added here", None, Some(2), None, Ok(Some(2))),
        ("added there", None, None, Some(3), Ok(Some(3))),
        ("added differently", None, Some(2), Some(3), Err(Some(3))),
        ("removed here", Some(1), None, Some(1), Ok(None)),
        ("removed there", Some(1), Some(1), None, Ok(None)),
        (
            "removed here, changed there",
            Some(1),
            None,
            Some(3),
            Err(Some(3)),
        ),
        (
            "changed here, removed there",
            Some(1),
            Some(2),
            None,
            Err(None),
        ),
    ];
    for (case, base, document_share, service_share, expected) in rows {
        let row = |share: Option<u32>| share.map(|share| plan("paid", share));
        let base: BTreeMap<Name, Digest> = row(base)
            .iter()
            .map(|row| (row.name(), base::digest(row)))
            .collect();
        let store = Memory::new(1);
        if let Some(row) = row(service_share) {
            let stored = Stored { row, edit: None };
            store.put(&format!("{PREFIX}plans/paid"), &stored.render());
        }
        let document_rows: Vec<Row> = row(document_share).into_iter().collect();

        let result = apply::run(
            &store,
            &document(&document_rows),
            &Base { rows: base },
            &operator("me"),
        )
        .await;

        let conflict = matches!(result, Err(Error::Conflicts { .. }));
        assert_eq!(conflict, expected.is_err(), "{case}");
        let (Ok(share) | Err(share)) = expected;
        assert_eq!(stored_share(&store, "paid"), share, "{case}");
    }
}

/// An operator whose apply conflicts must be told whose change it is and what it contains.
#[tokio::test(start_paused = true)]
async fn conflict_reports_the_row_both_values_and_the_author() {
    let (store, base) = applied_store(&[plan("paid", 1)]).await;
    apply::run(
        &store,
        &document(&[plan("paid", 5)]),
        &base,
        &operator("Aino"),
    )
    .await
    .expect("first writer succeeds");

    let late = apply::run(
        &store,
        &document(&[plan("paid", 9)]),
        &base,
        &operator("Pekka"),
    )
    .await;

    let Err(Error::Conflicts { conflicts, .. }) = late else {
        panic!("{late:?}");
    };
    let text = conflicts[0].to_string();
    for part in ["plan `paid`", "\"share\":9", "\"share\":5", "by Aino"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

/// A dry run must show the changes of an apply and must not write any of them.
#[tokio::test(start_paused = true)]
async fn preview_shows_the_changes_without_writing() {
    let (store, base) = applied_store(&[plan("paid", 1), plan("old", 1)]).await;
    let writes_before = store.counts().writes;

    let edit = document(&[plan("paid", 2), plan("new", 1)]);
    let preview = apply::preview(&store, &edit, &base, &operator("me"))
        .await
        .expect("service answers");

    let verbs: Vec<(&str, Verb)> = preview
        .differences
        .iter()
        .map(|it| (it.name.name.as_str(), it.verb))
        .collect();
    assert_eq!(
        verbs,
        [
            ("new", Verb::Add),
            ("old", Verb::Remove),
            ("paid", Verb::Change)
        ]
    );
    assert!(preview.differences[2].to_string().contains("share: 1 -> 2"));
    assert_eq!(store.counts().writes, writes_before);
}

/// Guards against a false conflict: when the response to a write is lost, the retry finds the row already changed by
/// this apply itself.
#[tokio::test(start_paused = true)]
async fn own_write_is_recognised_after_a_lost_response() {
    let (store, base) = applied_store(&[plan("paid", 1)]).await;
    store.set_faults(Faults {
        lost_response: 0.6,
        ..Faults::default()
    });

    let outcome = apply::run(
        &store,
        &document(&[plan("paid", 2)]),
        &base,
        &operator("me"),
    )
    .await;

    let outcome = outcome.expect("the write is recognised");
    assert_eq!(outcome.written.len(), 1);
    assert_eq!(stored_share(&store, "paid"), Some(2));
}

/// The history is a single value, which grows with every apply unless old records are dropped.
#[tokio::test(start_paused = true)]
async fn history_is_bounded_and_names_the_author() {
    let store = Memory::new(1);
    let mut base = Base::default();
    for share in 1..=520 {
        let edit = document(&[plan("paid", share)]);
        let outcome = apply::run(&store, &edit, &base, &operator("Aino")).await;
        base = outcome.expect("apply succeeds").base;
    }

    let records = history::read(&store).await.expect("service answers");

    assert_eq!(records.len(), 500);
    let last = records.last().expect("there are records");
    assert_eq!((last.by.as_str(), last.count), ("Aino", 1));
    assert_eq!(last.rows[0].name.name, "paid");
}

/// A base that changes on its way through the file makes the next apply see changes that nobody made.
#[tokio::test(start_paused = true)]
async fn base_round_trips_through_its_file() {
    let (_, base) = applied_store(&[plan("paid", 1), plan("free", 2)]).await;

    let parsed = Base::parse(&base.render()).expect("file is valid");

    assert_eq!(parsed, base);
}

const PLAN_COUNT: u32 = 4;

/// Content that an attempted write meant to replace, by row and written content; `None` if it meant to add the row.
type Replaced = BTreeMap<(Name, Digest), Option<Digest>>;

/// Applies random edits of a few plans, each from a new checkout that may be outdated by the time it is applied.
///
/// Returns the replaced content of every attempted write, and the content of every write reported as done.
async fn apply_random_edits(
    store: Memory,
    author: u32,
    seed: u64,
) -> (Replaced, BTreeMap<(Name, u64), Digest>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(7) + u64::from(author));
    let mut replaced = Replaced::new();
    let mut accepted = BTreeMap::new();
    for round in 0..4 {
        let Ok(range) = store.range(PREFIX).await else {
            continue;
        };
        let rows: Vec<Row> = range
            .entries
            .iter()
            .filter_map(|entry| Row::parse(Kind::Plans, &entry.value).ok())
            .collect();
        let mut edit = document(&rows);
        let base = Base {
            rows: rows
                .iter()
                .map(|it| (it.name(), base::digest(it)))
                .collect(),
        };
        for _ in 0..rng.random_range(1..3) {
            // Every value is written at most once, so that a second write of a value is a revert.
            let value = 1 + author * 10_000 + round * 100 + rng.random_range(0..100);
            let row = plan(&format!("plan {}", rng.random_range(0..PLAN_COUNT)), value);
            if rng.random_bool(0.2) {
                edit.rows.remove(&row.name());
            } else {
                edit.rows.insert(row.name(), row);
            }
        }
        for (name, row) in &edit.rows {
            let digest = base::digest(row);
            if base.rows.get(name) != Some(&digest) {
                replaced.insert((name.clone(), digest), base.rows.get(name).copied());
            }
        }
        let result = apply::run(&store, &edit, &base, &operator(&author.to_string())).await;
        let written = match result {
            Ok(outcome) => outcome.written,
            Err(Error::Conflicts { outcome, .. } | Error::Interrupted { outcome, .. }) => {
                outcome.written
            }
            Err(_) => Vec::new(),
        };
        for row in written {
            if let Some(content) = edit.rows.get(&row.name) {
                accepted.insert((row.name, row.revision), base::digest(content));
            }
        }
    }
    (replaced, accepted)
}

/// Lets three operators edit concurrently on a faulty store, then checks the recorded events of the store.
async fn race(seed: u64) {
    let store = Memory::new(seed);
    store.set_faults(Faults {
        unavailable: 0.05,
        lost_response: 0.15,
        lost_request: 0.05,
        max_yields: 3,
        ..Faults::default()
    });
    let operators: Vec<_> = (0..3)
        .map(|author| tokio::spawn(apply_random_edits(store.clone(), author, seed)))
        .collect();
    let mut replaced = Replaced::new();
    let mut accepted = BTreeMap::new();
    for operator in operators {
        let (own_replaced, own_accepted) = operator.await.expect("operators do not panic");
        replaced.extend(own_replaced);
        accepted.extend(own_accepted);
    }
    store.set_faults(Faults::default());

    let events = store
        .watch(PREFIX, Position::default(), std::time::Duration::ZERO)
        .await;
    let mut current: BTreeMap<Name, Digest> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for event in events.expect("service answers") {
        let Event::Put(entry) = event else {
            let Event::Delete { key, .. } = event else {
                continue;
            };
            current.remove(&Name::parse(&key).expect("keys are rows"));
            continue;
        };
        let name = Name::parse(&entry.key).expect("keys are rows");
        let row = Row::parse(name.kind, &entry.value).expect("values are rows");
        let digest = base::digest(&row);
        let expected = replaced.get(&(name.clone(), digest));
        let expected = expected.expect("every value comes from an edit");
        assert_eq!(
            *expected,
            current.get(&name).copied(),
            "a value was overwritten that the operator had not read"
        );
        assert!(seen.insert((name.clone(), digest)), "a row was reverted");
        if let Some(reported) = accepted.remove(&(name.clone(), entry.revision)) {
            assert_eq!(reported, digest);
        }
        current.insert(name, digest);
    }
    assert!(
        accepted.is_empty(),
        "rows were reported as written but are not: {accepted:?}"
    );
}

/// Guards against lost updates and reverts: concurrent applies retry on a store that fails and loses responses, so that
/// a retry may meet its own earlier write or someone else's.
#[test]
fn concurrent_applies_neither_lose_nor_revert_changes() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..1000)
        .cloned()
        .for_each(|seed| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build();
            runtime.expect("runtime starts").block_on(race(seed));
        });
}
