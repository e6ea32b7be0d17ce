//! Following a scripted key-value service, and exchange of rows between processes.

#![allow(clippy::unwrap_used)]

use std::{
    cell::{OnceCell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pistachiolug_platform::kv::{
    Entry, Error, Event, Lease, Position, Precondition, Range, Store, Swap,
};
use pistachiolug_replica::{
    follow::{self, Observer},
    rows::{Change, Rows},
    snapshot,
};

use tokio::time::{Instant, sleep};

/// Length of a standstill of the process.
const STANDSTILL: Duration = Duration::from_secs(5);

type WatchResult = Result<Vec<Event>, Error>;

/// Key-value service that answers reads and watches from a script, and never answers after its end.
#[derive(Clone)]
struct ScriptedStore {
    reads: Arc<Mutex<VecDeque<Result<Range, Error>>>>,
    watches: Arc<Mutex<VecDeque<WatchResult>>>,
    /// Time until a watch is answered.
    watch_time: Duration,
    /// Era that answers to other calls have named; those of the script name none.
    named_era: Arc<AtomicU64>,
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

    async fn watch(&self, _: &str, _: Position, _: Duration) -> WatchResult {
        let next = self.watches.lock().unwrap().pop_front();
        sleep(self.watch_time).await;
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

    fn era(&self) -> u64 {
        self.named_era.load(Ordering::Relaxed)
    }
}

/// Observer that records what it gets.
#[derive(Clone, Default)]
struct Recorder {
    rows: Rc<RefCell<Rows>>,
    changes: Rc<RefCell<Vec<Change>>>,
    /// Whether the service answered, for each call to `on_contact`.
    answered: Rc<RefCell<Vec<bool>>>,
    /// Times after which changes were made, for each call to `on_changes`.
    made_after: Rc<RefCell<Vec<Option<Duration>>>>,
    start: Rc<OnceCell<Instant>>,
    /// Time after the start at which the process stands still, if it does.
    standstill_at: Option<Duration>,
}

impl Observer for Recorder {
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.rows.borrow_mut())
    }

    fn on_changes(&self, changes: Vec<Change>, made_after: Option<Duration>) {
        self.made_after.borrow_mut().push(made_after);
        self.changes.borrow_mut().extend(changes);
    }

    fn now(&self) -> Duration {
        let elapsed = self.start.get_or_init(Instant::now).elapsed();
        let is_later = self.standstill_at.is_some_and(|at| elapsed >= at);
        elapsed + if is_later { STANDSTILL } else { Duration::ZERO }
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
    range_at(Position::without_era(revision), entries)
}

fn range_at(position: Position, entries: Vec<Entry>) -> Range {
    Range { entries, position }
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
    follow_script_until_era(reads, watches, 0)
}

/// Follows a store to the end of its script; another call names an era ten seconds after the start.
fn follow_script_until_era(
    reads: Vec<Result<Range, Error>>,
    watches: Vec<WatchResult>,
    era: u64,
) -> Recorder {
    follow_store(
        ScriptedStore {
            reads: Arc::new(Mutex::new(reads.into())),
            watches: Arc::new(Mutex::new(watches.into())),
            watch_time: Duration::ZERO,
            named_era: Arc::default(),
        },
        era,
        Recorder::default(),
    )
}

fn follow_store(store: ScriptedStore, era: u64, recorder: Recorder) -> Recorder {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let named_era = Arc::clone(&store.named_era);
    let follow = follow::run(store, "", || Duration::from_secs(1), recorder.clone());
    let name_era = async {
        sleep(Duration::from_secs(10)).await;
        named_era.store(era, Ordering::Relaxed);
    };
    let follow = async { tokio::join!(follow, name_era) };
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
    assert_eq!(recorder.rows.borrow().position().revision, 7);
    assert_eq!(recorder.changes.borrow().len(), 4);
}

/// Guards against changes that are taken for newer than they are, because their watch was answered or read late.
#[test]
fn changes_are_dated_from_the_last_answer_without_them() {
    let put = |revision| Ok(vec![Event::Put(entry("a", revision))]);
    let rows = [
        (
            "events",
            None,
            vec![put(6), put(7), put(8)],
            700,
            vec![None, Some(0), Some(0), Some(1000)],
        ),
        (
            "no events",
            None,
            vec![Ok(vec![]), put(6)],
            1050,
            vec![None, Some(0), Some(1000)],
        ),
        (
            "cut",
            None,
            vec![Ok(vec![]), put(6)],
            450,
            vec![None, Some(0), Some(400)],
        ),
        (
            "cut, and read late",
            Some(420),
            vec![Ok(vec![]), put(6)],
            450,
            vec![None, Some(0), Some(400)],
        ),
    ];
    for (name, standstill_ms, watches, watch_ms, made_after_ms) in rows {
        let store = ScriptedStore {
            reads: Arc::new(Mutex::new([Ok(range(5, vec![]))].into())),
            watches: Arc::new(Mutex::new(watches.into())),
            watch_time: Duration::from_millis(watch_ms),
            named_era: Arc::default(),
        };
        let recorder = Recorder {
            standstill_at: standstill_ms.map(Duration::from_millis),
            ..Recorder::default()
        };

        let recorder = follow_store(store, 0, recorder);

        let made_after = recorder.made_after.borrow().clone();
        let millis = |after: Duration| after.as_millis() as u64;
        let made_after: Vec<Option<u64>> = made_after
            .into_iter()
            .map(|after| after.map(millis))
            .collect();
        assert_eq!(made_after, made_after_ms, "{name}");
    }
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
        assert_eq!(recorder.rows.borrow().position().revision, 9, "{failure}");
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
    let applied = rows.apply(0, vec![Event::Put(entry("c", 7)), delete("a", 9)]);

    assert!(reset.is_empty() && applied.is_empty());
    assert_eq!(rows.entries().count(), 1);
}

/// Guards against dropping all but the first change of a transaction, because the others have the same revision.
#[test]
fn all_changes_of_one_transaction_are_applied() {
    let mut rows = Rows::default();

    let changes = rows.apply(
        0,
        vec![Event::Put(entry("a", 4)), Event::Put(entry("b", 4))],
    );

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
    rows.apply(0, vec![Event::Put(entry("c", 10)), delete("a", 11)]);

    let all_rows = snapshot::encode(&rows, Position::default()).unwrap();
    let delta = snapshot::encode(&rows, Position::without_era(9)).unwrap();
    snapshot::apply(&all_rows, &mut empty).unwrap();
    let changes = snapshot::apply(&delta, &mut behind).unwrap();

    assert!(delta.len() < all_rows.len());
    assert_eq!(changes.len(), 2);
    for other in [&empty, &behind] {
        assert_eq!(entries(other), [entry("b", 9), entry("c", 10)]);
        assert_eq!(other.position().revision, 11);
    }
}

/// Guards against gaps: changes for another base revision, or from a truncated message, must not be applied.
#[test]
fn changes_for_another_base_revision_are_ignored() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));
    rows.apply(0, vec![delete("a", 10)]);
    let delta = snapshot::encode(&rows, Position::without_era(9)).unwrap();
    let mut other = Rows::default();
    other.reset(range(8, vec![entry("a", 2)]));

    let changes = snapshot::apply(&delta, &mut other).unwrap();

    assert!(changes.is_empty());
    assert_eq!(other.position().revision, 8);
    assert!(snapshot::apply(&delta[..delta.len() - 1], &mut other).is_err());
}

/// Guards against removed rows that stay at a peer: removals before the first read are unknown, so a delta would lack
/// them.
#[test]
fn no_delta_from_before_the_first_read() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 2)]));

    assert_eq!(rows.delta(Position::without_era(8)), None);
    assert!(rows.delta(Position::without_era(9)).is_some());
}

/// Guards against a follower that waits for changes in an era that has ended, as another call has found out.
#[test]
fn rows_are_read_again_once_another_call_names_a_newer_era() {
    let first_read = range(9, vec![entry("a", 3), entry("b", 9)]);
    let second_read = range_at(Position::new(1, 5), vec![entry("a", 3)]);

    let recorder = follow_script_until_era(vec![Ok(first_read), Ok(second_read)], vec![], 1);

    assert_eq!(keys(&recorder), ["a"]);
    assert_eq!(recorder.rows.borrow().position(), Position::new(1, 5));
}

/// Guards against rows of an answer that was on its way when the newer era began.
#[test]
fn a_read_of_an_earlier_era_is_made_again() {
    let first_read = range(9, vec![entry("a", 3)]);
    let late_read = range(12, vec![entry("late", 12)]);
    let second_read = range_at(Position::new(1, 5), vec![entry("b", 4)]);

    let reads = vec![Ok(first_read), Ok(late_read), Ok(second_read)];
    let recorder = follow_script_until_era(reads, vec![], 1);

    assert_eq!(keys(&recorder), ["b"]);
    let changes = recorder.changes.borrow();
    let is_late = |change: &Change| matches!(change, Change::Put(entry) if entry.key == "late");
    assert!(!changes.iter().any(is_late));
}

/// Guards against rows that are gone but stay, and against other content that is taken for the known one, because its
/// revision is lower or the same.
#[test]
fn all_rows_are_replaced_in_a_new_era() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 5), entry("gone", 9)]));
    let same_revision = Entry {
        value: "other content".into(),
        ..entry("a", 5)
    };

    let changes = rows.reset(range_at(Position::new(1, 6), vec![same_revision.clone()]));
    let events = rows.apply(1, vec![Event::Put(entry("b", 7))]);

    let gone = "gone".to_owned();
    let expected = [
        Change::Put(same_revision.clone()),
        Change::Removed { key: gone },
    ];
    assert_eq!(changes, expected);
    assert_eq!(events, [Change::Put(entry("b", 7))]);
    assert_eq!(entries(&rows), [same_revision, entry("b", 7)]);
}

/// Guards against events of a watch that began before the rows of a newer era came from a peer.
#[test]
fn events_and_reads_of_an_earlier_era_are_ignored() {
    let mut rows = Rows::default();
    rows.reset(range_at(Position::new(2, 6), vec![entry("a", 5)]));

    let applied = rows.apply(1, vec![Event::Put(entry("b", 40)), delete("a", 41)]);
    let reset = rows.reset(range_at(Position::new(1, 50), vec![]));

    assert!(applied.is_empty() && reset.is_empty());
    assert_eq!(entries(&rows), [entry("a", 5)]);
}

/// Guards against peers that stay in the earlier era, whose position has a higher revision.
#[test]
fn rows_of_a_new_era_reach_another_process() {
    let mut rows = Rows::default();
    rows.reset(range(9, vec![entry("a", 5), entry("gone", 9)]));
    let mut behind = rows.clone();
    rows.reset(range_at(Position::new(1, 6), vec![entry("a", 5)]));

    let message = snapshot::encode(&rows, behind.position()).unwrap();
    snapshot::apply(&message, &mut behind).unwrap();
    rows.apply(1, vec![delete("a", 7)]);
    let delta = snapshot::encode(&rows, behind.position()).unwrap();
    snapshot::apply(&delta, &mut behind).unwrap();

    assert!(delta.len() < message.len());
    assert_eq!(behind.position(), Position::new(1, 7));
    assert!(entries(&behind).is_empty());
}
