//! Attribution of crashes of backend servers to parts of prompts.
//!
//! A server that crashes loses all requests that it runs, and each part of their prompts may be the cause. A complete
//! answer to a request with a part clears the part of the crashes until then. A part that remains in crashes at several
//! moments is named as their cause, and requests with it are refused.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::datagram::{Crash, CrashPart, Culprit};
use rustc_hash::{FxHashMap, FxHashSet};

mod naming;

/// Part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// Hash of the model's name and the part's id.
    pub id: u64,
    /// Position in the prompt.
    pub position: u8,
}

/// Time within which a server crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// When the server last sent something, or was sent a request; not later than `lost_at`.
    pub heard_at: Duration,
    /// When the crash was noticed.
    pub lost_at: Duration,
}

/// Bounds of an attribution.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Time for which a crash is kept after it was noticed, and a named part after its last request.
    pub retention: Duration,
    /// Time for which answers are remembered for crashes that are reported late.
    pub answer_retention: Duration,
    /// Largest number of crashes that are kept.
    pub max_crashes: usize,
    /// Largest number of parts that are kept per crash.
    pub max_parts: usize,
    /// Largest number of parts whose last answer is kept.
    pub max_answers: usize,
    /// Largest number of named parts; a fourth of `max_crashes` at most, so that each keeps enough crashes.
    pub max_named: usize,
    /// Number of separate moments with crashes from which a part is named.
    pub min_moments: usize,
    /// Shortest time between the first and the last crash of a part that was answered before them; a sound one is answered
    /// again by then.
    pub min_silence: Duration,
    /// Number of crashes from which a part is named that was not answered before, even if they are one moment; they count
    /// `settle_time` after they were noticed.
    pub min_crashes: usize,
    /// Time in which processes hear of a crash and tell each other what they know of its parts.
    pub settle_time: Duration,
    /// Largest time between crashes of one moment; a cut or a loss of power ends several servers at once.
    pub moment: Duration,
    /// Number of requests with a named part that may run, at all processes together.
    pub max_reruns: u8,
    /// Time from the last crash to the first rerun; doubles with each rerun.
    pub rerun_delay: Duration,
}

/// Part that has been named or is no longer named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Hash of the part.
    pub part: u64,
    /// Whether the part is named now.
    pub is_named: bool,
    /// Number of separate moments of the crashes that name or named it.
    pub moments: usize,
}

/// Crashes of servers and what they say about parts of prompts, as one process knows them.
///
/// Times are those of a clock of the process that had run for [`Limit::retention`] before the process started, so that
/// crashes before its start have a time.
///
/// Processes that have exchanged their reports, in any order and any number of times, name the same parts.
#[derive(Debug)]
pub struct Attribution {
    limit: Limit,
    /// Crashes by the incarnation of the server; at most [`Limit::max_crashes`].
    rows: FxHashMap<u64, Row>,
    /// Parts in `rows` that may be the cause; it may also hold parts that were cleared since `refresh`.
    open_parts: FxHashSet<u64>,
    /// Last answers by part; at most [`Limit::max_answers`].
    answers: FxHashMap<u64, Answered>,
    /// Parts in `answers`, each once, in the order of [`Answered::queued_at`] but for answers that are recorded late.
    answer_order: VecDeque<u64>,
    /// Result of the naming over `rows`.
    named: FxHashMap<u64, Name>,
    /// Refusals of the parts in `named`.
    refusals: FxHashMap<u64, Refusal>,
    changes: Vec<Change>,
    /// Whether `rows` has changed since `refresh`.
    has_changed: bool,
}

/// Crash of one server.
#[derive(Debug)]
struct Row {
    span: Span,
    /// At most [`Limit::max_parts`].
    parts: FxHashMap<u64, Mark>,
    /// When this process last changed the row itself, which the others have to learn; `None` if it never did.
    updated_at: Option<Duration>,
}

/// What is known of a part in a crash; each field only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Mark {
    position: u8,
    is_answered: bool,
    is_cleared: bool,
}

/// Answers to requests with a part.
#[derive(Debug, Clone, Copy)]
struct Answered {
    /// Time of the last answer.
    at: Duration,
    /// Time of the answer with which the part was last added to the end of the order; not later than `at`.
    queued_at: Duration,
}

/// Named part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Name {
    moments: usize,
    last_lost_at: Duration,
}

/// Requests with a named part.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// When a request with the part last came.
    seen_at: Duration,
    reruns: u8,
    rerun_at: Option<Duration>,
}

impl Mark {
    /// Adds what another report says of the part; returns whether that is new.
    fn merge(&mut self, other: Self) -> bool {
        let before = *self;
        self.position = self.position.max(other.position);
        self.is_answered |= other.is_answered;
        self.is_cleared |= other.is_cleared;
        *self != before
    }
}

impl Row {
    /// Returns whether a part may be the cause of the crash.
    fn is_open(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|mark| !mark.is_cleared)
    }

    /// Narrows the time of the crash by another report of it. Of two reports that don't overlap, the earlier one holds.
    fn narrow(&mut self, span: Span) {
        if span.lost_at < self.span.heard_at {
            self.span = span;
        } else if span.heard_at <= self.span.lost_at {
            self.span.heard_at = self.span.heard_at.max(span.heard_at);
            self.span.lost_at = self.span.lost_at.min(span.lost_at);
        }
    }

    /// Returns the crash with the wanted parts.
    fn report(&self, incarnation: u64, now: Duration, is_wanted: impl Fn(u64) -> bool) -> Crash {
        let parts = self.parts.iter().filter(|(part, _)| is_wanted(**part));
        Crash {
            incarnation,
            heard_age_ms: age_ms(self.span.heard_at, now),
            lost_age_ms: age_ms(self.span.lost_at, now),
            parts: parts
                .map(|(part, mark)| CrashPart {
                    part: *part,
                    position: mark.position,
                    is_answered: mark.is_answered,
                    is_cleared: mark.is_cleared,
                })
                .collect(),
        }
    }
}

impl Attribution {
    /// Creates an attribution that knows no crashes.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            rows: FxHashMap::default(),
            open_parts: FxHashSet::default(),
            answers: FxHashMap::default(),
            answer_order: VecDeque::new(),
            named: FxHashMap::default(),
            refusals: FxHashMap::default(),
            changes: Vec::new(),
            has_changed: false,
        }
    }

    /// Records that an incarnation of a server crashed while it ran requests with these parts. A crash that is reported
    /// several times counts once, with the parts of all reports.
    pub fn record_crash(&mut self, incarnation: u64, span: Span, parts: &[Part], now: Duration) {
        let marks = parts.iter().map(|part| {
            let position = part.position;
            let mark = Mark {
                position,
                ..Mark::default()
            };
            (part.id, mark)
        });
        if self.add_crash(incarnation, span, marks.collect(), now) {
            self.record_update(incarnation, now);
        }
        self.refresh(now);
    }

    /// Records that a request with these parts got a complete answer at `at`: none of them caused a crash before.
    pub fn record_answer(&mut self, parts: &[Part], at: Duration, now: Duration) {
        let mut has_changed = false;
        for part in parts {
            self.keep_answer(part.id, at, now);
            has_changed |= self.open_parts.contains(&part.id) && self.clear(part.id, at, now);
        }
        if has_changed {
            self.refresh(now);
        }
    }

    /// Returns the first of the parts that is named; `None` if there is none.
    pub fn find_named(&self, parts: &[Part]) -> Option<Part> {
        let mut named = parts
            .iter()
            .filter(|part| self.named.contains_key(&part.id));
        named.next().copied()
    }

    /// Returns the time until a request with these parts may run; `None` if it may run now.
    ///
    /// # Arguments
    /// `may_rerun` tells whether this process may run a request with a named part. It must be true at one process only.
    pub fn delay(
        &mut self,
        parts: &[Part],
        may_rerun: impl Fn(u64) -> bool,
        now: Duration,
    ) -> Option<Duration> {
        if self.named.is_empty() {
            return None;
        }
        let delays = parts.iter().filter_map(|part| {
            let name = self.named.get(&part.id)?;
            let refusal = self.refusals.get_mut(&part.id)?;
            refusal.seen_at = now;
            let delay = refusal.rerun_from(*name, &self.limit).saturating_sub(now);
            if !delay.is_zero() {
                return Some(delay);
            }
            (!may_rerun(part.id)).then_some(self.limit.rerun_delay)
        });
        delays.max()
    }

    /// Returns whether a request with these parts may run now; one that is refused otherwise uses up a rerun.
    pub fn try_run(
        &mut self,
        parts: &[Part],
        may_rerun: impl Fn(u64) -> bool,
        now: Duration,
    ) -> bool {
        if self.delay(parts, may_rerun, now).is_some() {
            return false;
        }
        for part in parts
            .iter()
            .filter(|part| self.named.contains_key(&part.id))
        {
            if let Some(refusal) = self.refusals.get_mut(&part.id) {
                refusal.reruns += 1;
                refusal.rerun_at = Some(now);
            }
        }
        true
    }

    /// Adds crashes that another process reported. Reports may arrive in any order and several times; the next
    /// [`Self::update`] names parts by them.
    pub fn merge_crashes(&mut self, crashes: &[Crash], now: Duration) {
        for crash in crashes {
            self.has_changed |= self.merge_crash(crash, now);
        }
    }

    /// Names parts by the crashes that others have reported since the last call, which many reports share: it takes
    /// milliseconds if there are many crashes.
    pub fn update(&mut self, now: Duration) {
        if self.has_changed {
            self.refresh(now);
        }
    }

    /// Adds named parts that another process reported, or that were kept for processes that start anew.
    pub fn merge_culprits(&mut self, culprits: &[Culprit], now: Duration) {
        let crashes = culprits.iter().flat_map(|culprit| &culprit.crashes);
        let mut has_changed = false;
        for crash in crashes {
            has_changed |= self.merge_crash(crash, now);
        }
        if has_changed {
            self.refresh(now);
        }
        for culprit in culprits {
            if let Some(refusal) = self.refusals.get_mut(&culprit.part) {
                let rerun_at = culprit.rerun_age_ms.map(|age_ms| time_of(age_ms, now));
                refusal.seen_at = refusal.seen_at.max(time_of(culprit.age_ms, now));
                refusal.reruns = refusal.reruns.max(culprit.reruns);
                refusal.rerun_at = refusal.rerun_at.max(rerun_at);
            }
        }
    }

    /// Returns the crashes of which this process has found out something itself since `since`. They have to be sent to
    /// the other processes several times, because messages get lost.
    pub fn updates(&self, since: Duration, now: Duration) -> Vec<Crash> {
        let rows = self.rows.iter();
        let updated = rows.filter(|(_, row)| row.updated_at.is_some_and(|at| at >= since));
        updated
            .map(|(incarnation, row)| row.report(*incarnation, now, |_| true))
            .collect()
    }

    /// Returns all named parts. They have to be sent to the other processes now and then, for those that were not
    /// reached before.
    pub fn culprits(&self, now: Duration) -> Vec<Culprit> {
        let named = self.named.keys();
        named.map(|part| self.culprit(*part, now)).collect()
    }

    /// Returns what is known of a part, with as many crashes as it takes to name it, or that were found not to.
    pub fn culprit(&self, part: u64, now: Duration) -> Culprit {
        let refusal = self.refusals.get(&part);
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, row)| row.parts.contains_key(&part));
        let max = self.limit.min_crashes.max(self.limit.min_moments + 1);
        let rows = naming::choose_rows(rows, part, &self.limit, max);
        Culprit {
            part,
            crashes: rows
                .into_iter()
                .map(|(incarnation, row)| row.report(incarnation, now, |other| other == part))
                .collect(),
            reruns: refusal.map_or(0, |refusal| refusal.reruns),
            rerun_age_ms: refusal
                .and_then(|refusal| refusal.rerun_at)
                .map(|at| age_ms(at, now)),
            age_ms: refusal.map_or(0, |refusal| age_ms(refusal.seen_at, now)),
        }
    }

    /// Iterates over the named parts and the number of separate moments of their crashes.
    pub fn named(&self) -> impl Iterator<Item = (u64, usize)> {
        self.named.iter().map(|(part, name)| (*part, name.moments))
    }

    /// Returns whether a part is named.
    pub fn is_named(&self, part: u64) -> bool {
        self.named.contains_key(&part)
    }

    /// Returns the number of times that a request with a named part ran; 0 for other parts.
    pub fn reruns(&self, part: u64) -> u8 {
        self.refusals.get(&part).map_or(0, |refusal| refusal.reruns)
    }

    /// Returns the number of kept crashes and of parts in them.
    pub fn size(&self) -> (usize, usize) {
        let parts = self.rows.values().map(|row| row.parts.len());
        (self.rows.len(), parts.sum())
    }

    /// Returns the parts that were named or cleared since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes what has expired, and names parts whose crashes count from now on. Has to be called about every second.
    pub fn expire(&mut self, now: Duration) {
        let Self {
            rows,
            refusals,
            limit,
            ..
        } = self;
        rows.retain(|_, row| {
            let is_in_use = |(part, refusal): (&u64, &Refusal)| {
                row.is_open(*part) && now < refusal.seen_at + limit.retention
            };
            now < row.span.lost_at + limit.retention || refusals.iter().any(is_in_use)
        });
        self.refresh(now);
    }

    fn merge_crash(&mut self, crash: &Crash, now: Duration) -> bool {
        let span = Span {
            heard_at: time_of(crash.heard_age_ms.max(crash.lost_age_ms), now),
            lost_at: time_of(crash.lost_age_ms, now),
        };
        let marks = crash.parts.iter().map(|part| {
            let mark = Mark {
                position: part.position,
                is_answered: part.is_answered,
                is_cleared: part.is_cleared,
            };
            (part.part, mark)
        });
        self.add_crash(crash.incarnation, span, marks.collect(), now)
    }

    /// Adds a crash and what the answers here say about its parts; returns whether something was new.
    fn add_crash(
        &mut self,
        incarnation: u64,
        span: Span,
        mut marks: Vec<(u64, Mark)>,
        now: Duration,
    ) -> bool {
        // If not all parts can be kept, those in several crashes are more likely to be the cause.
        marks.sort_by_key(|(part, _)| !self.open_parts.contains(part));
        let row = self.rows.entry(incarnation).or_insert_with(|| Row {
            span,
            parts: FxHashMap::default(),
            updated_at: None,
        });
        row.narrow(span);
        let mut has_changed = false;
        let mut has_found_out = false;
        for (part, mark) in marks {
            if row.parts.len() >= self.limit.max_parts && !row.parts.contains_key(&part) {
                continue;
            }
            let known = row.parts.entry(part).or_insert_with(|| {
                has_changed = true;
                mark
            });
            has_changed |= known.merge(mark);
            let answered_at = self.answers.get(&part).map(|answered| answered.at);
            let answered_at = answered_at.filter(|at| now < *at + self.limit.answer_retention);
            has_found_out |= known.merge(Mark {
                position: 0,
                is_answered: answered_at.is_some(),
                is_cleared: answered_at.is_some_and(|at| at >= row.span.heard_at),
            });
            if !known.is_cleared {
                self.open_parts.insert(part);
            }
        }
        if has_found_out {
            row.updated_at = Some(now);
        }
        has_changed || has_found_out
    }

    fn record_update(&mut self, incarnation: u64, now: Duration) {
        if let Some(row) = self.rows.get_mut(&incarnation) {
            row.updated_at = Some(now);
        }
    }

    /// Clears a part of the crashes until `at`; returns whether it was in one.
    fn clear(&mut self, part: u64, at: Duration, now: Duration) -> bool {
        let mut has_changed = false;
        for row in self.rows.values_mut() {
            if row.span.heard_at <= at
                && let Some(mark) = row.parts.get_mut(&part)
                && !mark.is_cleared
            {
                mark.is_cleared = true;
                row.updated_at = Some(now);
                has_changed = true;
            }
        }
        has_changed
    }

    fn keep_answer(&mut self, part: u64, at: Duration, now: Duration) {
        if let Some(known) = self.answers.get_mut(&part) {
            known.at = at.max(known.at);
            return;
        }
        let queued_at = at;
        self.answers.insert(part, Answered { at, queued_at });
        self.answer_order.push_back(part);
        while let Some(oldest) = self.answer_order.front().copied() {
            let is_full = self.answer_order.len() > self.limit.max_answers;
            let Some(answered) = self.answers.get_mut(&oldest) else {
                break;
            };
            if !is_full && now < answered.queued_at + self.limit.answer_retention {
                break;
            }
            self.answer_order.pop_front();
            if answered.at > answered.queued_at {
                // Answered again since it was queued; parts of one request only go first.
                answered.queued_at = answered.at;
                self.answer_order.push_back(oldest);
            } else {
                self.answers.remove(&oldest);
            }
        }
    }

    /// Computes the named parts anew after a change of the crashes.
    fn refresh(&mut self, now: Duration) {
        self.has_changed = false;
        let mut named = naming::find(&self.rows, &self.limit, now);
        while self.rows.len() > self.limit.max_crashes
            && let Some(incarnation) = naming::find_least_useful(&self.rows, &named, &self.limit)
        {
            let row = self.rows.remove(&incarnation);
            // Without a crash that no named part explains, the same parts are named.
            if row.is_some_and(|row| named.keys().any(|part| row.is_open(*part))) {
                named = naming::find(&self.rows, &self.limit, now);
            }
        }
        let rows = self.rows.values();
        let marks = rows.flat_map(|row| row.parts.iter());
        let open_parts = marks.filter(|(_, mark)| !mark.is_cleared);
        self.open_parts = open_parts.map(|(part, _)| *part).collect();
        for (part, name) in &self.named {
            if !named.contains_key(part) {
                self.refusals.remove(part);
                self.changes.push(Change {
                    part: *part,
                    is_named: false,
                    moments: name.moments,
                });
            }
        }
        for (part, name) in &named {
            if !self.named.contains_key(part) {
                self.refusals.insert(
                    *part,
                    Refusal {
                        seen_at: now,
                        reruns: 0,
                        rerun_at: None,
                    },
                );
                self.changes.push(Change {
                    part: *part,
                    is_named: true,
                    moments: name.moments,
                });
            }
        }
        self.named = named;
    }
}

impl Refusal {
    /// Returns from when a request with the part may run.
    fn rerun_from(&self, name: Name, limit: &Limit) -> Duration {
        if self.reruns >= limit.max_reruns {
            return self.seen_at + limit.retention;
        }
        let last_at = self.rerun_at.unwrap_or_default().max(name.last_lost_at);
        last_at + limit.rerun_delay * 2_u32.pow(self.reruns.into())
    }
}

/// Returns the whole milliseconds since a time, so that the differences between times survive.
fn age_ms(at: Duration, now: Duration) -> u32 {
    let age_ms = now.as_millis().saturating_sub(at.as_millis());
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}

fn time_of(age_ms: u32, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}
