//! Apply: racing operators, lost answers, conflicts and the record of who wrote what.

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
    Event, Store,
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

async fn applied(rows: &[Row]) -> (Memory, Base) {
    let store = Memory::new(1);
    let outcome = apply::run(
        &store,
        &document(rows),
        &Base::default(),
        &operator("first"),
    )
    .await;
    (store, outcome.expect("first apply holds").base)
}

fn share(store: &Memory, name: &str) -> Option<u32> {
    let entry = store.peek(&format!("{PREFIX}plans/{name}"))?;
    match Row::parse(Kind::Plans, &entry.value) {
        Ok(Row::Plan(plan)) => Some(plan.share),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn each_case_of_the_merge_ends_as_it_should() {
    // Shares of one plan in the base, the document and the service; `None` where the row is not there.
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
    for (case, base, here, there, expected) in rows {
        let row = |share: Option<u32>| share.map(|share| plan("paid", share));
        let base: BTreeMap<Name, Digest> = row(base)
            .iter()
            .map(|row| (row.name(), base::digest(row)))
            .collect();
        let store = Memory::new(1);
        if let Some(row) = row(there) {
            let stored = Stored { row, edit: None };
            store.put(&format!("{PREFIX}plans/paid"), &stored.render());
        }
        let here: Vec<Row> = row(here).into_iter().collect();

        let result = apply::run(
            &store,
            &document(&here),
            &Base { rows: base },
            &operator("me"),
        )
        .await;

        let conflict = matches!(result, Err(Error::Conflicts { .. }));
        assert_eq!(conflict, expected.is_err(), "{case}");
        let (Ok(left) | Err(left)) = expected;
        assert_eq!(share(&store, "paid"), left, "{case}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_names_the_row_both_values_and_who_wrote() {
    let (store, base) = applied(&[plan("paid", 1)]).await;
    apply::run(
        &store,
        &document(&[plan("paid", 5)]),
        &base,
        &operator("Aino"),
    )
    .await
    .expect("the first to write wins");

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
    let shown = conflicts[0].to_string();
    for part in ["plan `paid`", "\"share\":9", "\"share\":5", "by Aino"] {
        assert!(shown.contains(part), "{part} in {shown}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_effect_is_shown_without_a_write() {
    let (store, base) = applied(&[plan("paid", 1), plan("old", 1)]).await;
    let before = store.counts().writes;

    let edit = document(&[plan("paid", 2), plan("new", 1)]);
    let effect = apply::preview(&store, &edit, &base, &operator("me"))
        .await
        .expect("service answers");

    let verbs: Vec<(&str, Verb)> = effect
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
    assert!(effect.differences[2].to_string().contains("share: 1 -> 2"));
    assert_eq!(store.counts().writes, before);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_recognised_as_ones_own() {
    let (store, base) = applied(&[plan("paid", 1)]).await;
    store.set_faults(Faults {
        lost_answer: 0.6,
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
    assert_eq!(share(&store, "paid"), Some(2));
}

#[tokio::test(start_paused = true)]
async fn the_history_is_bounded_and_says_who_wrote() {
    let store = Memory::new(1);
    let mut base = Base::default();
    for share in 1..=520 {
        let edit = document(&[plan("paid", share)]);
        let outcome = apply::run(&store, &edit, &base, &operator("Aino")).await;
        base = outcome.expect("apply holds").base;
    }

    let records = history::read(&store).await.expect("service answers");

    assert_eq!(records.len(), 500);
    let last = records.last().expect("there are records");
    assert_eq!((last.by.as_str(), last.count), ("Aino", 1));
    assert_eq!(last.rows[0].name.name, "paid");
}

#[tokio::test(start_paused = true)]
async fn a_base_survives_its_file() {
    let (_, base) = applied(&[plan("paid", 1), plan("free", 2)]).await;

    let read = Base::parse(&base.render()).expect("file is read");

    assert_eq!(read, base);
}

const PLANS: u32 = 4;

/// Value an operator's accepted or unsure write replaced, by the value it wrote.
type Replaced = BTreeMap<(Name, Digest), Option<Digest>>;

/// Edits a few plans several times, each time from a fresh checkout that may be old when it is applied.
async fn edit(store: Memory, author: u32, seed: u64) -> (Replaced, BTreeMap<(Name, u64), Digest>) {
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
            // Every value is written once at most, so that a revert shows.
            let value = 1 + author * 10_000 + round * 100 + rng.random_range(0..100);
            let row = plan(&format!("plan {}", rng.random_range(0..PLANS)), value);
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

async fn race(seed: u64) {
    let store = Memory::new(seed);
    store.set_faults(Faults {
        unavailable: 0.05,
        lost_answer: 0.15,
        lost_request: 0.05,
        yields: 3,
        ..Faults::default()
    });
    let operators: Vec<_> = (0..3)
        .map(|author| tokio::spawn(edit(store.clone(), author, seed)))
        .collect();
    let mut replaced = Replaced::new();
    let mut accepted = BTreeMap::new();
    for operator in operators {
        let (one, two) = operator.await.expect("operators do not panic");
        replaced.extend(one);
        accepted.extend(two);
    }
    store.set_faults(Faults::default());

    let events = store.watch(PREFIX, 0, std::time::Duration::ZERO).await;
    let mut now: BTreeMap<Name, Digest> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for event in events.expect("service answers") {
        let Event::Put(entry) = event else {
            let Event::Delete { key, .. } = event else {
                continue;
            };
            now.remove(&Name::parse(&key).expect("keys are rows"));
            continue;
        };
        let name = Name::parse(&entry.key).expect("keys are rows");
        let row = Row::parse(name.kind, &entry.value).expect("values are rows");
        let digest = base::digest(&row);
        let known = replaced.get(&(name.clone(), digest));
        let known = known.expect("every value comes from an edit");
        assert_eq!(
            *known,
            now.get(&name).copied(),
            "an unseen value was overwritten"
        );
        assert!(seen.insert((name.clone(), digest)), "a row was reverted");
        if let Some(told) = accepted.remove(&(name.clone(), entry.revision)) {
            assert_eq!(told, digest);
        }
        now.insert(name, digest);
    }
    assert!(
        accepted.is_empty(),
        "accepted rows were never written: {accepted:?}"
    );
}

#[test]
fn racing_operators_lose_and_revert_nothing() {
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
