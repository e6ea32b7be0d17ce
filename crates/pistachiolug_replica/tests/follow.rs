//! Rows followed from a scripted service.

#![allow(clippy::unwrap_used)]

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use pistachiolug_platform::kv::{Entry, Error, Event, Expect, Lease, Range, Store, Swap};
use pistachiolug_replica::{
    follow::{self, Observer},
    rows::{Change, Rows},
    snapshot,
};

type Watched = Result<Vec<Event>, Error>;

/// Service whose reads give the newest rows and whose watches follow a script.
#[derive(Clone)]
struct Scripted {
    reads: Arc<Mutex<VecDeque<Result<Range, Error>>>>,
    watches: Arc<Mutex<VecDeque<Watched>>>,
}

impl Store for Scripted {
    async fn get(&self, _: &str) -> Result<Option<Entry>, Error> {
        unreachable!("a follower reads ranges")
    }

    async fn range(&self, _: &str) -> Result<Range, Error> {
        let next = self.reads.lock().unwrap().pop_front();
        match next {
            Some(read) => read,
            None => std::future::pending().await,
        }
    }

    async fn swap(
        &self,
        _: &str,
        _: Expect,
        _: Option<&[u8]>,
        _: Option<Lease>,
    ) -> Result<Swap, Error> {
        unreachable!("a follower writes nothing")
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Watched {
        let next = self.watches.lock().unwrap().pop_front();
        match next {
            Some(watched) => watched,
            None => std::future::pending().await,
        }
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        unreachable!("a follower has no lease")
    }

    async fn keep_alive(&self, _: Lease) -> Result<(), Error> {
        unreachable!("a follower has no lease")
    }
}

#[derive(Clone, Default)]
struct Seen {
    rows: Rc<RefCell<Rows>>,
    changes: Rc<RefCell<Vec<Change>>>,
    reached: Rc<RefCell<Vec<bool>>>,
}

impl Observer for Seen {
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.rows.borrow_mut())
    }

    fn on_changes(&self, changes: Vec<Change>) {
        self.changes.borrow_mut().extend(changes);
    }

    fn is_active(&self) -> bool {
        true
    }

    fn on_contact(&self, result: Result<(), &Error>) {
        self.reached.borrow_mut().push(result.is_ok());
    }
}

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: format!("{key}@{revision}").into(),
        revision,
    }
}

fn range(revision: u64, entries: Vec<Entry>) -> Range {
    Range { entries, revision }
}

fn away() -> Error {
    Error::Unavailable {
        reason: "cut".to_owned(),
    }
}

fn delete(key: &str, revision: u64) -> Event {
    Event::Delete {
        key: key.to_owned(),
        revision,
    }
}

/// Follows a script to its end.
fn play(reads: Vec<Result<Range, Error>>, watches: Vec<Watched>) -> Seen {
    let store = Scripted {
        reads: Arc::new(Mutex::new(reads.into())),
        watches: Arc::new(Mutex::new(watches.into())),
    };
    let seen = Seen::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let follow = follow::run(store, "", Duration::from_secs(1), seen.clone());
    let _ = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(30), follow).await });
    seen
}

fn keys(seen: &Seen) -> Vec<String> {
    let rows = seen.rows.borrow();
    rows.entries().map(|entry| entry.key.clone()).collect()
}

#[test]
fn changes_are_followed_in_order() {
    let read = range(5, vec![entry("a", 3), entry("b", 4)]);
    let watched = vec![Event::Put(entry("c", 6)), delete("a", 7)];

    let seen = play(vec![Ok(read)], vec![Ok(watched)]);

    assert_eq!(keys(&seen), ["b", "c"]);
    assert_eq!(seen.rows.borrow().revision(), 7);
    assert_eq!(seen.changes.borrow().len(), 4);
}

#[test]
fn rows_are_read_again_after_a_watch_that_failed() {
    let failures = [
        away(),
        Error::Compacted { oldest: 9 },
        Error::Malformed {
            reason: "torn".to_owned(),
        },
    ];
    for failure in failures {
        let first = range(5, vec![entry("a", 3), entry("b", 4)]);
        // The history that would name these changes is gone.
        let second = range(9, vec![entry("b", 8)]);

        let seen = play(vec![Ok(first), Ok(second)], vec![Err(failure.clone())]);

        assert_eq!(keys(&seen), ["b"], "{failure}");
        assert_eq!(seen.rows.borrow().revision(), 9, "{failure}");
    }
}

#[test]
fn a_service_that_is_away_is_asked_again_and_reported_once_each_way() {
    let read = range(5, vec![entry("a", 3)]);

    let seen = play(vec![Err(away()), Err(away()), Ok(read)], vec![]);

    assert_eq!(*seen.reached.borrow(), [false, false, true]);
    assert_eq!(keys(&seen), ["a"]);
}

#[test]
fn an_older_view_changes_nothing() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 9)]));

    let reset = rows.reset(range(8, vec![entry("b", 8)]));
    let applied = rows.apply(vec![Event::Put(entry("c", 7)), delete("a", 9)]);

    assert!(reset.is_empty() && applied.is_empty());
    assert_eq!(rows.entries().count(), 1);
}

#[test]
fn several_rows_of_one_transaction_share_its_revision() {
    let mut rows = Rows::default();

    let changes = rows.apply(vec![Event::Put(entry("a", 4)), Event::Put(entry("b", 4))]);

    assert_eq!(changes.len(), 2);
}

fn all(rows: &Rows) -> Vec<Entry> {
    rows.entries().cloned().collect()
}

#[test]
fn rows_reach_another_process_whole_or_as_changes() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2), entry("b", 9)]));
    let mut fresh = Rows::default();
    let mut behind = rows.clone();
    rows.apply(vec![Event::Put(entry("c", 10)), delete("a", 11)]);

    let whole = snapshot::encode(&rows, 0).unwrap();
    let changed = snapshot::encode(&rows, 9).unwrap();
    snapshot::apply(&whole, &mut fresh).unwrap();
    let changes = snapshot::apply(&changed, &mut behind).unwrap();

    assert!(changed.len() < whole.len());
    assert_eq!(changes.len(), 2);
    for other in [&fresh, &behind] {
        assert_eq!(all(other), [entry("b", 9), entry("c", 10)]);
        assert_eq!(other.revision(), 11);
    }
}

#[test]
fn changes_that_do_not_build_on_the_rows_are_not_taken() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));
    rows.apply(vec![delete("a", 10)]);
    let changed = snapshot::encode(&rows, 9).unwrap();
    let mut other = Rows::default();
    other.reset(range(8, vec![entry("a", 2)]));

    let changes = snapshot::apply(&changed, &mut other).unwrap();

    assert!(changes.is_empty());
    assert_eq!(other.revision(), 8);
    assert!(snapshot::apply(&changed[..changed.len() - 1], &mut other).is_err());
}

#[test]
fn removals_from_before_the_first_read_are_not_claimed_to_be_known() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));

    assert_eq!(rows.delta(8), None);
    assert!(rows.delta(9).is_some());
}
