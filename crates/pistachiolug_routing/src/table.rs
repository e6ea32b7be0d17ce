//! Table of one agent's calls by id: queued, started and ended ones, and tombstones of withdrawn ones.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::call::Id;
use rustc_hash::FxHashMap;

/// Stage of a call's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Waits to start; nothing has run.
    Queued,
    /// Was passed to the backend server.
    Started,
    /// Ended, by an answer or a refusal.
    Finished,
    /// Withdrawn before its start; it never starts.
    Withdrawn,
}

/// Bounds on the ended calls that a [`Table`] keeps.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Time for which the id of an ended call is kept, so that the call does not run when its message arrives again.
    pub id_retention: Duration,
    /// Time for which the answer of an ended call is kept for callers that send the call again.
    pub answer_retention: Duration,
    /// Largest number of kept ids of ended calls.
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

/// Result of [`Table::register`].
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// The call is new and now queued.
    New,
    /// The call is known, and its run is kept, so that the caller can read the answer from it.
    Known(Stage, T),
    /// The call has ended, and its answer is no longer kept.
    Evicted,
    /// The call was withdrawn earlier; it must be refused as not run.
    Withdrawn,
}

/// Result of [`Table::withdraw`].
#[derive(Debug, PartialEq, Eq)]
pub struct Withdrawal<T> {
    /// Stage after the withdrawal.
    pub stage: Stage,
    /// Run that was removed from the table, if the call was queued.
    pub dropped: Option<T>,
}

/// Table of calls by id.
///
/// As long as an id is kept ([`Limit::id_retention`]), it starts at most once, and never after its withdrawal.
#[derive(Debug)]
pub struct Table<T> {
    limit: Limit,
    rows: FxHashMap<Id, Row<T>>,
    /// Ids of ended calls with the time of their end, oldest first; each ended row is here exactly once.
    ended: VecDeque<(Duration, Id)>,
    /// Ids of ended calls whose answer is still kept, with the time of their end, oldest first.
    kept_answers: VecDeque<(Duration, Id)>,
    /// Total size of the kept answers in bytes.
    answer_bytes: usize,
}

#[derive(Debug)]
struct Row<T> {
    stage: Stage,
    /// Run, which holds the answer; `None` once the answer is no longer kept.
    run: Option<T>,
    /// Size of the kept answer in bytes; 0 before the call has ended.
    answer_bytes: usize,
}

impl<T: Clone> Table<T> {
    /// Creates an empty table.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            rows: FxHashMap::default(),
            ended: VecDeque::new(),
            kept_answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Adds an arriving call to the table, with `run`, unless its id is known.
    pub fn register(&mut self, id: Id, run: T) -> Arrival<T> {
        let Some(row) = self.rows.get(&id) else {
            let row = Row {
                stage: Stage::Queued,
                run: Some(run),
                answer_bytes: 0,
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

    /// Returns the stage of a call and its run, if that is kept; `None` for an unknown id.
    pub fn get(&self, id: Id) -> Option<(Stage, Option<&T>)> {
        let row = self.rows.get(&id)?;
        Some((row.stage, row.run.as_ref()))
    }

    /// Marks a queued call as started; returns `false` if the call must not run.
    pub fn start(&mut self, id: Id) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        let may_start = row.stage == Stage::Queued;
        if may_start {
            row.stage = Stage::Started;
        }
        may_start
    }

    /// Marks a queued or started call as finished; other calls are not changed.
    ///
    /// # Arguments
    /// `answer_bytes` is the size of the answer.
    pub fn finish(&mut self, id: Id, answer_bytes: usize, now: Duration) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if !matches!(row.stage, Stage::Queued | Stage::Started) {
            return;
        }
        row.stage = Stage::Finished;
        row.answer_bytes = answer_bytes;
        self.answer_bytes += answer_bytes;
        self.kept_answers.push_back((now, id));
        self.ended.push_back((now, id));
        self.trim(now);
    }

    /// Withdraws a call unless it has started; an unknown id gets a tombstone.
    pub fn withdraw(&mut self, id: Id, now: Duration) -> Withdrawal<T> {
        let known_stage = self.rows.get(&id).map(|row| row.stage);
        if let Some(stage) = known_stage.filter(|stage| *stage != Stage::Queued) {
            return Withdrawal {
                stage,
                dropped: None,
            };
        }
        let tombstone = Row {
            stage: Stage::Withdrawn,
            run: None,
            answer_bytes: 0,
        };
        let replaced = self.rows.insert(id, tombstone);
        self.ended.push_back((now, id));
        self.trim(now);
        Withdrawal {
            stage: Stage::Withdrawn,
            dropped: replaced.and_then(|row| row.run),
        }
    }

    /// Evicts answers and ids of ended calls that are past their retention or the bounds, oldest first.
    ///
    /// Queued and started calls are never evicted.
    pub fn trim(&mut self, now: Duration) {
        while let Some((at, id)) = self.kept_answers.front().copied() {
            if self.answer_bytes <= self.limit.max_answer_bytes
                && now < at + self.limit.answer_retention
            {
                break;
            }
            self.kept_answers.pop_front();
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

    /// Counts the calls in a stage; takes time in proportion to the number of calls.
    pub fn count(&self, stage: Stage) -> usize {
        self.rows.values().filter(|row| row.stage == stage).count()
    }

    /// Returns the number of calls that have not ended.
    pub fn open_count(&self) -> usize {
        self.rows.len() - self.ended.len()
    }

    /// Returns the total size of the kept answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Iterates over the calls that have not ended.
    pub fn open_runs(&self) -> impl Iterator<Item = (Id, Stage, &T)> {
        self.rows.iter().filter_map(|(id, row)| {
            let is_open = matches!(row.stage, Stage::Queued | Stage::Started);
            let run = row.run.as_ref().filter(|_| is_open)?;
            Some((*id, row.stage, run))
        })
    }

    fn drop_answer(&mut self, id: Id) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.run = None;
            self.answer_bytes -= std::mem::take(&mut row.answer_bytes);
        }
    }
}
