//! Calls of one agent by id: queued, started, ended, and tombstones of withdrawn ones.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::call::Id;
use rustc_hash::FxHashMap;

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Waits; nothing has run.
    Queued,
    /// Was handed to the backend server.
    Started,
    /// Ended, by an answer or a refusal.
    Finished,
    /// Withdrawn before its start; never starts.
    Withdrawn,
}

/// Bounds of what a [`Table`] keeps of ended calls.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Time for which the id of an ended call is known, so that a late arrival does not run.
    pub id_retention: Duration,
    /// Time for which the answer of an ended call can be joined.
    pub answer_retention: Duration,
    /// Largest number of ended ids.
    pub max_ended: usize,
    /// Largest total size of the kept answers in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            id_retention: Duration::from_secs(16 * 60),
            answer_retention: Duration::from_secs(30),
            max_ended: 1 << 16,
            max_answer_bytes: 4 << 20,
        }
    }
}

/// What became of an arriving call.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// The call is new and now queued.
    New,
    /// The call is known; its run can be joined.
    Known(Stage, T),
    /// The call ended and its answer is no longer kept.
    Evicted,
    /// The call was withdrawn before; it must be refused as not run.
    Withdrawn,
}

/// What a withdrawal found.
#[derive(Debug, PartialEq, Eq)]
pub struct Withdrawal<T> {
    /// Stage after the withdrawal.
    pub stage: Stage,
    /// Run of a call that was queued until now.
    pub dropped: Option<T>,
}

/// Calls by id.
///
/// Within [`Limit::id_retention`], each id starts at most once, and a withdrawn id never starts.
#[derive(Debug)]
pub struct Table<T> {
    limit: Limit,
    rows: FxHashMap<Id, Row<T>>,
    /// Ended ids with the time of their end, oldest first; each ended row is here exactly once.
    ended: VecDeque<(Duration, Id)>,
    /// Ended ids whose run is still kept, oldest first.
    kept: VecDeque<(Duration, Id)>,
    /// Total size of the kept answers in bytes.
    bytes: usize,
}

#[derive(Debug)]
struct Row<T> {
    stage: Stage,
    /// Run; gone once the answer is no longer kept.
    run: Option<T>,
    /// Size of the kept answer in bytes.
    bytes: usize,
}

impl<T: Clone> Table<T> {
    /// Creates an empty table.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            rows: FxHashMap::default(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Enters an arriving call; `run` is kept only if it is new.
    pub fn register(&mut self, id: Id, run: T) -> Arrival<T> {
        let Some(row) = self.rows.get(&id) else {
            let row = Row {
                stage: Stage::Queued,
                run: Some(run),
                bytes: 0,
            };
            self.rows.insert(id, row);
            return Arrival::New;
        };
        match (&row.run, row.stage) {
            (_, Stage::Withdrawn) => Arrival::Withdrawn,
            (Some(run), stage) => Arrival::Known(stage, run.clone()),
            (None, _) => Arrival::Evicted,
        }
    }

    /// Finds a call without entering it.
    pub fn get(&self, id: Id) -> Option<(Stage, Option<&T>)> {
        let row = self.rows.get(&id)?;
        Some((row.stage, row.run.as_ref()))
    }

    /// Marks a queued call as started; `false` means that it must not run.
    pub fn start(&mut self, id: Id) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        let starts = row.stage == Stage::Queued;
        if starts {
            row.stage = Stage::Started;
        }
        starts
    }

    /// Ends a queued or started call whose answer takes `bytes`; ended calls stay as they are.
    pub fn finish(&mut self, id: Id, bytes: usize, now: Duration) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if !matches!(row.stage, Stage::Queued | Stage::Started) {
            return;
        }
        row.stage = Stage::Finished;
        row.bytes = bytes;
        self.bytes += bytes;
        self.kept.push_back((now, id));
        self.ended.push_back((now, id));
        self.trim(now);
    }

    /// Withdraws a call unless it has started; an unknown id gets a tombstone.
    pub fn withdraw(&mut self, id: Id, now: Duration) -> Withdrawal<T> {
        let known = self.rows.get(&id).map(|row| row.stage);
        if let Some(stage) = known.filter(|stage| *stage != Stage::Queued) {
            return Withdrawal {
                stage,
                dropped: None,
            };
        }
        let tombstone = Row {
            stage: Stage::Withdrawn,
            run: None,
            bytes: 0,
        };
        let queued = self.rows.insert(id, tombstone);
        self.ended.push_back((now, id));
        self.trim(now);
        Withdrawal {
            stage: Stage::Withdrawn,
            dropped: queued.and_then(|row| row.run),
        }
    }

    /// Forgets what has passed its time or the bounds; queued and started calls always stay.
    pub fn trim(&mut self, now: Duration) {
        while let Some((at, id)) = self.kept.front().copied() {
            if self.bytes <= self.limit.max_answer_bytes && now < at + self.limit.answer_retention {
                break;
            }
            self.kept.pop_front();
            self.drop_answer(id);
        }
        while let Some((at, id)) = self.ended.front().copied() {
            if self.ended.len() <= self.limit.max_ended && now < at + self.limit.id_retention {
                break;
            }
            self.ended.pop_front();
            self.drop_answer(id);
            self.rows.remove(&id);
        }
    }

    /// Counts the calls of a stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.rows.values().filter(|row| row.stage == stage).count()
    }

    /// Returns the number of calls that have not ended.
    pub fn open_count(&self) -> usize {
        self.rows.len() - self.ended.len()
    }

    /// Returns the total size of the kept answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// Iterates over the runs that have not ended.
    pub fn open_runs(&self) -> impl Iterator<Item = (Id, Stage, &T)> {
        self.rows.iter().filter_map(|(id, row)| {
            let open = matches!(row.stage, Stage::Queued | Stage::Started);
            let run = row.run.as_ref().filter(|_| open)?;
            Some((*id, row.stage, run))
        })
    }

    fn drop_answer(&mut self, id: Id) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.run = None;
            self.bytes -= std::mem::take(&mut row.bytes);
        }
    }
}
