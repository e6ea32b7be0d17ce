//! Crash suspects: requests that were running when a backend server died, by the digest of their content.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::{datagram::Suspect, digest::Digest};
use rustc_hash::FxHashMap;

/// Number of crashes after which a request is refused; it has then run on that many backend servers that died.
///
/// For processes that can run a suspect alone, so that the last of these crashes has no other cause.
pub const MAX_CRASHES: u8 = 2;

/// Largest number of cleared incarnations that are kept per digest.
const MAX_CLEARED: usize = 8;

/// Decision on how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside other requests.
    Run,
    /// Run it while nothing else runs.
    Isolate,
    /// Don't run it.
    Refuse,
}

/// Decides how a request may run.
///
/// # Arguments
/// `crashes` is the number of backend servers that died while they ran the request.
pub fn decide(crashes: u8) -> Decision {
    match crashes {
        0 => Decision::Run,
        crashes if crashes < MAX_CRASHES => Decision::Isolate,
        _ => Decision::Refuse,
    }
}

/// Bounds of a set of suspects.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Time for which a digest is kept after its last crash or refusal.
    pub retention: Duration,
    /// Largest number of digests.
    pub max_digests: usize,
    /// Number of crashes from which a request is refused.
    pub max_crashes: u8,
    /// Number of times that a refused request may run again. A sound request that was running beside the cause of the
    /// crashes is recognized by this.
    pub max_reruns: u8,
    /// Time from the last crash to the first rerun; doubles with each rerun.
    pub rerun_delay: Duration,
}

/// Crashes that one process has seen or that others have reported to it.
///
/// Its size is bounded; digests with the fewest crashes are evicted first, and of these the one that was added first.
#[derive(Debug)]
pub struct Suspects {
    limit: Limit,
    rows: FxHashMap<Digest, Row>,
    /// Digests in the order in which they were added; each row is here exactly once.
    insertion_order: VecDeque<Digest>,
}

#[derive(Debug, Default)]
struct Row {
    /// Largest number of crashes that was reported without the incarnations.
    reported: u8,
    /// Distinct incarnations of the backend servers that are known to have died; at most [`Limit::max_incarnations`].
    incarnations: Vec<u64>,
    /// Incarnations whose death had another cause; at most [`MAX_CLEARED`], none of them in `incarnations`.
    cleared: Vec<u64>,
    /// Number of times that the request ran again although it was refused.
    reruns: u8,
    /// When one of the fields above last changed.
    changed_at: Duration,
    /// When this process last changed one of them itself, which the others have to learn; `None` if it never did.
    updated_at: Option<Duration>,
    expires_at: Duration,
}

impl Limit {
    /// Returns the largest number of incarnations that are kept per digest.
    fn max_incarnations(&self) -> usize {
        usize::from(self.max_crashes) + usize::from(self.max_reruns)
    }
}

impl Row {
    fn crashes(&self) -> u8 {
        self.reported.max(self.incarnations.len() as u8)
    }

    /// Adds a crash; returns whether it was unknown.
    fn add_incarnation(&mut self, incarnation: u64, limit: &Limit) -> bool {
        let is_new = self.incarnations.len() < limit.max_incarnations()
            && !self.incarnations.contains(&incarnation)
            && !self.cleared.contains(&incarnation);
        if is_new {
            self.incarnations.push(incarnation);
        }
        is_new
    }

    /// Marks a crash as one with another cause; returns whether that was unknown.
    fn clear(&mut self, incarnation: u64) -> bool {
        self.incarnations.retain(|known| *known != incarnation);
        if self.cleared.contains(&incarnation) {
            return false;
        }
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.remove(0);
        }
        self.cleared.push(incarnation);
        true
    }

    /// Records a change that this process made itself.
    fn record_update(&mut self, now: Duration) {
        self.changed_at = now;
        self.updated_at = Some(now);
    }

    /// Returns when the request may run again if it is refused; `None` if it may run at any time.
    fn refused_until(&self, limit: &Limit) -> Option<Duration> {
        if self.crashes() < limit.max_crashes {
            return None;
        }
        if self.reruns >= limit.max_reruns {
            return Some(self.expires_at);
        }
        Some(self.changed_at + limit.rerun_delay * 2_u32.pow(self.reruns.into()))
    }
}

impl Suspects {
    /// Creates an empty set for a process that can run suspects alone. It keeps at most `max_digests` digests, each for
    /// `retention` after its last report, and refuses after [`MAX_CRASHES`].
    pub fn new(retention: Duration, max_digests: usize) -> Self {
        Self::with_limit(Limit {
            retention,
            max_digests,
            max_crashes: MAX_CRASHES,
            max_reruns: 0,
            rerun_delay: Duration::ZERO,
        })
    }

    /// Creates an empty set with the given bounds.
    pub fn with_limit(limit: Limit) -> Self {
        Self {
            limit,
            rows: FxHashMap::default(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Records that an incarnation of a backend server died while it ran the request, and returns the known crashes.
    ///
    /// An incarnation counts once, even if it ran several calls with the same content or several processes report it.
    pub fn record_crash(&mut self, digest: Digest, incarnation: u64, now: Duration) -> u8 {
        let limit = self.limit;
        let row = self.row(digest, now);
        if row.add_incarnation(incarnation, &limit) {
            row.record_update(now);
        }
        let crashes = row.crashes();
        self.trim(now);
        crashes
    }

    /// Records a number of crashes that another process reported; a number below the known one is ignored.
    pub fn record_reported(&mut self, digest: Digest, crashes: u8, now: Duration) {
        if crashes > 0 {
            let row = self.row(digest, now);
            row.reported = row.reported.max(crashes);
            self.trim(now);
        }
    }

    /// Records that a backend server answered the request successfully: the crashes known until now had another cause.
    /// Returns their number.
    pub fn record_success(&mut self, digest: &Digest, now: Duration) -> u8 {
        let Some(row) = self.rows.get_mut(digest) else {
            return 0;
        };
        let crashes = row.crashes();
        for incarnation in std::mem::take(&mut row.incarnations) {
            row.clear(incarnation);
        }
        row.reported = 0;
        row.reruns = 0;
        if crashes > 0 {
            row.record_update(now);
        }
        crashes
    }

    /// Returns the number of known crashes of a request; 0 once they have expired.
    pub fn crash_count(&self, digest: &Digest, now: Duration) -> u8 {
        let row = self.rows.get(digest).filter(|row| now < row.expires_at);
        row.map_or(0, Row::crashes)
    }

    /// Returns when a request that is refused now may run again; `None` if it may run now.
    ///
    /// A request that is refused is kept for another [`Limit::retention`], because its caller still sends it.
    pub fn refused_until(&mut self, digest: &Digest, now: Duration) -> Option<Duration> {
        let row = self.rows.get_mut(digest)?;
        if row.expires_at <= now {
            return None;
        }
        let until = row.refused_until(&self.limit).filter(|until| now < *until);
        if until.is_some() {
            row.expires_at = now + self.limit.retention;
        }
        until
    }

    /// Returns whether a request may run now; one that is refused otherwise uses up a rerun.
    pub fn try_run(&mut self, digest: &Digest, now: Duration) -> bool {
        if self.refused_until(digest, now).is_some() {
            return false;
        }
        let limit = self.limit;
        let row = self.rows.get_mut(digest);
        let row = row.filter(|row| now < row.expires_at && row.refused_until(&limit).is_some());
        if let Some(row) = row {
            row.reruns += 1;
            row.record_update(now);
        }
        true
    }

    /// Adds what another process knows of a digest. Reports may arrive in any order and several times.
    pub fn merge(&mut self, report: &Suspect, now: Duration) {
        let age = Duration::from_millis(report.age_ms.into());
        let limit = self.limit;
        let Some(left) = limit.retention.checked_sub(age) else {
            return;
        };
        let digest = Digest::from(report.content);
        let expires_at = self.rows.get(&digest).map(|row| row.expires_at);
        let row = self.row(digest, now);
        row.expires_at = expires_at.unwrap_or_default().max(now + left);
        let mut has_changed = false;
        for incarnation in &report.cleared {
            has_changed |= row.clear(*incarnation);
        }
        for incarnation in &report.crashes {
            has_changed |= row.add_incarnation(*incarnation, &limit);
        }
        if row.reruns < report.reruns && !row.incarnations.is_empty() {
            row.reruns = report.reruns;
            has_changed = true;
        }
        if has_changed {
            row.changed_at = now;
        }
        self.trim(now);
    }

    /// Returns what is known of a digest; `None` if it is unknown or has expired.
    pub fn report(&self, digest: &Digest, now: Duration) -> Option<Suspect> {
        let row = self.rows.get(digest).filter(|row| now < row.expires_at)?;
        let seen_at = row.expires_at.saturating_sub(self.limit.retention);
        Some(Suspect {
            content: *digest.as_bytes(),
            crashes: row.incarnations.clone(),
            cleared: row.cleared.clone(),
            reruns: row.reruns,
            age_ms: now.saturating_sub(seen_at).as_millis() as u32,
        })
    }

    /// Returns what this process has found out itself since `since`. It has to be sent to the other processes several
    /// times, because messages get lost.
    pub fn updates(&self, since: Duration, now: Duration) -> Vec<Suspect> {
        self.reports(now, |row| row.updated_at.is_some_and(|at| at >= since))
    }

    /// Returns all requests that are refused. They have to be sent to the other processes now and then, for those that
    /// were not reached before. A process that lacks requests with fewer crashes learns of them with their next crash.
    pub fn refused(&self, now: Duration) -> Vec<Suspect> {
        self.reports(now, |row| row.crashes() >= self.limit.max_crashes)
    }

    fn reports(&self, now: Duration, is_wanted: impl Fn(&Row) -> bool) -> Vec<Suspect> {
        let rows = self.rows.iter().filter(|(_, row)| is_wanted(row));
        rows.filter_map(|(digest, _)| self.report(digest, now))
            .collect()
    }

    /// Iterates over the kept digests and the number of their crashes, including those that have expired.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, u8)> {
        self.rows
            .iter()
            .map(|(digest, row)| (digest, row.crashes()))
    }

    /// Returns a digest's row, which is added or reset if it was missing or had expired, and extends its expiry.
    fn row(&mut self, digest: Digest, now: Duration) -> &mut Row {
        let insertion_order = &mut self.insertion_order;
        let row = self.rows.entry(digest).or_insert_with(|| {
            insertion_order.push_back(digest);
            Row {
                expires_at: Duration::MAX,
                ..Row::default()
            }
        });
        if row.expires_at <= now {
            *row = Row::default();
        }
        row.expires_at = now + self.limit.retention;
        row
    }

    fn trim(&mut self, now: Duration) {
        while let Some(digest) = self.insertion_order.front() {
            let row = self.rows.get(digest);
            if row.is_some_and(|row| now < row.expires_at) {
                break;
            }
            self.remove_at(0);
        }
        while self.insertion_order.len() > self.limit.max_digests {
            let digests = self.insertion_order.iter().enumerate();
            let weakest = digests.min_by_key(|(_, digest)| self.crash_count(digest, now));
            self.remove_at(weakest.map_or(0, |(index, _)| index));
        }
    }

    /// Removes the digest at an index of the insertion order.
    fn remove_at(&mut self, index: usize) {
        if let Some(digest) = self.insertion_order.remove(index) {
            self.rows.remove(&digest);
        }
    }
}
