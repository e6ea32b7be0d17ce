//! Following a scripted key-value service, and exchange of rows between processes.

#![allow(clippy::unwrap_used)]

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use pistachiolug_platform::kv::{Entry, Error, Event, Lease, Precondition, Range, Store, Swap};
use pistachiolug_replica::{
    follow::{self, Observer},
    rows::{Change, Rows},
    snapshot,
};

type WatchResult = Result<Vec<Event>, Error>;

/// Key-value service that answers reads and watches from a script, and never answers after its end.
#[derive(Clone)]
struct ScriptedStore {
    reads: Arc<Mutex<VecDeque<Result<Range, Error>>>>,
    watches: Arc<Mutex<VecDeque<WatchResult>>>,
}

impl Store for ScriptedStore {
    async fn get(&self, _: &str) -> Result<Option<Entry>, Error> {
        unreachable!("a follower reads only ranges")
    }

    async fn range(&self, _: &str) -> Result<Range, Error> {
        let next = self.reads.lock().unwrap().pop_front();
        match next {
            Some(result) => result,
            None => std::future::pending().await,
        }
    }

    async fn swap(
        &self,
        _: &str,
        _: Precondition,
        _: Option<&[u8]>,
        _: Option<Lease>,
    ) -> Result<Swap, Error> {
        unreachable!("a follower does not write")
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> WatchResult {
        let next = self.watches.lock().unwrap().pop_front();
        match next {
            Some(result) => result,
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

/// Observer that records what it gets.
#[derive(Clone, Default)]
struct Recorder {
    rows: Rc<RefCell<Rows>>,
    changes: Rc<RefCell<Vec<Change>>>,
    /// Whether the service answered, for each call to `on_contact`.
    answered: Rc<RefCell<Vec<bool>>>,
}

impl Observer for Recorder {
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
        self.answered.borrow_mut().push(result.is_ok());
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

fn unavailable() -> Error {
    Error::Unavailable {
        reason: "connection closed".to_owned(),
    }
}

fn delete(key: &str, revision: u64) -> Event {
    Event::Delete {
        key: key.to_owned(),
        revision,
    }
}

/// Follows a store to the end of its script and returns the records.
fn follow_script(reads: Vec<Result<Range, Error>>, watches: Vec<WatchResult>) -> Recorder {
    let store = ScriptedStore {
        reads: Arc::new(Mutex::new(reads.into())),
        watches: Arc::new(Mutex::new(watches.into())),
    };
    let recorder = Recorder::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let follow = follow::run(store, "", Duration::from_secs(1), recorder.clone());
    let _ = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(30), follow).await });
    recorder
}

fn keys(recorder: &Recorder) -> Vec<String> {
    let rows = recorder.rows.borrow();
    rows.entries().map(|entry| entry.key.clone()).collect()
}

/// Guards against lost or reordered changes between the first read and the watch.
#[test]
fn changes_are_applied_in_order_after_the_first_read() {
    let read = range(5, vec![entry("a", 3), entry("b", 4)]);
    let events = vec![Event::Put(entry("c", 6)), delete("a", 7)];

    let recorder = follow_script(vec![Ok(read)], vec![Ok(events)]);

    assert_eq!(keys(&recorder), ["b", "c"]);
    assert_eq!(recorder.rows.borrow().revision(), 7);
    assert_eq!(recorder.changes.borrow().len(), 4);
}

/// Guards against rows that stay stale: a failed watch may have missed changes, and the service may have compacted the
/// history, so that a new watch does not return them either.
#[test]
fn rows_are_read_again_after_a_watch_that_failed() {
    let failures = [
        unavailable(),
        Error::Compacted { oldest: 9 },
        Error::Malformed {
            reason: "truncated answer".to_owned(),
        },
    ];
    for failure in failures {
        let first_read = range(5, vec![entry("a", 3), entry("b", 4)]);
        // Only the second read shows these changes; the watch returned none of them.
        let second_read = range(9, vec![entry("b", 8)]);

        let recorder = follow_script(
            vec![Ok(first_read), Ok(second_read)],
            vec![Err(failure.clone())],
        );

        assert_eq!(keys(&recorder), ["b"], "{failure}");
        assert_eq!(recorder.rows.borrow().revision(), 9, "{failure}");
    }
}

/// Guards against a follower that stops after an error, or that does not report that the service answers again.
#[test]
fn unavailable_service_is_retried_and_each_call_is_reported() {
    let read = range(5, vec![entry("a", 3)]);

    let recorder = follow_script(
        vec![Err(unavailable()), Err(unavailable()), Ok(read)],
        vec![],
    );

    assert_eq!(*recorder.answered.borrow(), [false, false, true]);
    assert_eq!(keys(&recorder), ["a"]);
}

/// Guards against stepping back to older rows, for instance after a read from a member of the service that lags behind.
#[test]
fn older_reads_and_events_are_ignored() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 9)]));

    let reset = rows.reset(range(8, vec![entry("b", 8)]));
    let applied = rows.apply(vec![Event::Put(entry("c", 7)), delete("a", 9)]);

    assert!(reset.is_empty() && applied.is_empty());
    assert_eq!(rows.entries().count(), 1);
}

/// Guards against dropping all but the first change of a transaction, because the others have the same revision.
#[test]
fn all_changes_of_one_transaction_are_applied() {
    let mut rows = Rows::default();

    let changes = rows.apply(vec![Event::Put(entry("a", 4)), Event::Put(entry("b", 4))]);

    assert_eq!(changes.len(), 2);
}

fn entries(rows: &Rows) -> Vec<Entry> {
    rows.entries().cloned().collect()
}

/// Guards against peers that end up with different rows, depending on whether they got all rows or only the changes.
#[test]
fn rows_reach_another_process_whole_or_as_changes() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2), entry("b", 9)]));
    let mut empty = Rows::default();
    let mut behind = rows.clone();
    rows.apply(vec![Event::Put(entry("c", 10)), delete("a", 11)]);

    let all_rows = snapshot::encode(&rows, 0).unwrap();
    let delta = snapshot::encode(&rows, 9).unwrap();
    snapshot::apply(&all_rows, &mut empty).unwrap();
    let changes = snapshot::apply(&delta, &mut behind).unwrap();

    assert!(delta.len() < all_rows.len());
    assert_eq!(changes.len(), 2);
    for other in [&empty, &behind] {
        assert_eq!(entries(other), [entry("b", 9), entry("c", 10)]);
        assert_eq!(other.revision(), 11);
    }
}

/// Guards against gaps: changes for another base revision, or from a truncated message, must not be applied.
#[test]
fn changes_for_another_base_revision_are_ignored() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));
    rows.apply(vec![delete("a", 10)]);
    let delta = snapshot::encode(&rows, 9).unwrap();
    let mut other = Rows::default();
    other.reset(range(8, vec![entry("a", 2)]));

    let changes = snapshot::apply(&delta, &mut other).unwrap();

    assert!(changes.is_empty());
    assert_eq!(other.revision(), 8);
    assert!(snapshot::apply(&delta[..delta.len() - 1], &mut other).is_err());
}

/// Guards against removed rows that stay at a peer: removals before the first read are unknown, so a delta would lack
/// them.
#[test]
fn no_delta_from_before_the_first_read() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));

    assert_eq!(rows.delta(8), None);
    assert!(rows.delta(9).is_some());
}
