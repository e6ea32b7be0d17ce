//! Choice of the version that an agent brings its engine to next, without any I/O.
//!
//! It answers versions that are announced within seconds of each other, while the origin may be away and agents fail. An
//! older version that has left the origin is finished, since nobody knows when the origin can give the newer one. It is
//! skipped once the newer one arrives in time for both deadlines, because each load takes the engine out of service.

use std::time::Duration;

use pistachiolug_weights::planner::policy::Scope;

/// Time that the origin takes for a piece, shared by all agents.
const ORIGIN_PIECE_TIME: Duration = Duration::from_millis(50);

/// Time reserved for the last engine's load, and for entries whose deadline for the version is slightly earlier.
pub const LOAD_RESERVE: Duration = Duration::from_millis(1400);

/// Time for which an incomplete version must be of use before the newest one is due, so that it is worth its load. Entries
/// stop sending requests to outdated engines 1.3 s before the deadline.
const MIN_USE: Duration = Duration::from_millis(2600);

/// Time between two announcements in which the origin gives about half of the older version, although distant agents may
/// not know that yet.
const MIN_LEAD: Duration = Duration::from_secs(1);

/// Shortest time over which the loads of all engines are spread, so that the service keeps capacity.
const MIN_SPREAD: Duration = Duration::from_secs(2);

/// Time from a load order until the engine serves again.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time before a version is due from which transfers are no longer held back in favour of live requests: about twice the
/// time that a link takes for a version, and that of the loads.
const FULL_FETCH_TIME: Duration = Duration::from_secs(6);

/// Time without a new piece after which a version no longer holds up the next one.
const MAX_IDLE: Duration = Duration::from_millis(500);

/// Share of the link that weights may use in each direction. The rest is reserved for live requests, whose events must
/// not queue.
const LINK_SHARE: f64 = 0.88;

/// Share of the link that weights may use while there is plenty of time until the deadline.
const RELAXED_LINK_SHARE: f64 = 0.55;

/// Progress of a version that the engine has not loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Version number.
    pub version: u64,
    /// Time since the agent's start from which requests may no longer start on older versions.
    pub due: Duration,
    /// Number of pieces of the version; at least 1.
    pub pieces: usize,
    /// Number of pieces that the agent does not hold.
    pub missing: usize,
    /// Number of pieces that neither the agent nor one of its neighbours holds; at most `missing`.
    pub unavailable: usize,
}

impl Candidate {
    /// Returns the number of pieces that have left the origin, as far as the agent knows.
    fn obtained(&self) -> usize {
        self.pieces.saturating_sub(self.unavailable)
    }

    /// Estimates the time until the agent holds all pieces, if the origin can be read and nothing fails.
    fn remaining(&self, piece_time: Duration) -> Duration {
        let by_link = piece_time.saturating_mul(self.missing as u32);
        by_link.max(ORIGIN_PIECE_TIME.saturating_mul(self.unavailable as u32))
    }
}

/// Returns the index of the candidate that the agent should bring its engine to; `None` without candidates.
///
/// # Arguments
/// `now` is the time since the agent's start, `candidates` are in ascending order of their versions, and `piece_time` is
/// the time that the agent's link takes for a piece.
pub fn choose(now: Duration, candidates: &[Candidate], piece_time: Duration) -> Option<usize> {
    let (newest, older) = candidates.split_last()?;
    let is_better = |candidate: &&Candidate| is_better(now, candidate, newest, piece_time);
    let index = older.iter().rposition(|candidate| is_better(&candidate));
    Some(index.unwrap_or(older.len()))
}

/// Returns whether an older version is loaded before the newest one.
fn is_better(now: Duration, older: &Candidate, newest: &Candidate, piece_time: Duration) -> bool {
    let has_left_origin =
        newest.due.saturating_sub(older.due) >= MIN_LEAD || older.obtained() * 2 >= older.pieces;
    let has_progress =
        has_left_origin && older.obtained() >= newest.obtained() && older.missing <= newest.missing;
    let older_at = now + older.remaining(piece_time);
    let newest_at = now + newest.remaining(piece_time);
    let newest_suffices = newest.unavailable == 0
        && (newest.missing <= older.missing || newest_at + MIN_SPREAD + LOAD_RESERVE <= older.due);
    // An engine that is out of service needs the version that it can have first, and has to load only once.
    let is_late = older_at > older.due;
    if is_late && newest_at <= older_at + MIN_LEAD {
        return false;
    }
    let min_use = if older.missing == 0 {
        // An engine without a valid version serves nothing, so that a short use is worth the load.
        LOAD_TIME
    } else {
        MIN_USE
    };
    has_progress && !newest_suffices && older_at + min_use <= newest.due
}

/// Returns the share of the link that weights may use, in each direction.
///
/// # Arguments
/// `left` is the time until the engine needs another version.
pub fn link_share(left: Duration) -> f64 {
    if left > FULL_FETCH_TIME {
        RELAXED_LINK_SHARE
    } else {
        LINK_SHARE
    }
}

/// Returns the pieces that may be fetched ahead of the version that is loaded next; `None` if that version still has to leave
/// the origin. The load: engines load in turn, so that the others get more requests over the same links.
///
/// # Arguments
/// `first` is the version that is loaded next, `idle` the time since the agent gained a piece of it, and `left` the time until
/// the newest version is due.
pub fn ahead_scope(first: &Candidate, idle: Duration, left: Duration) -> Option<Scope> {
    let is_held = first.missing == 0;
    if is_held && left > FULL_FETCH_TIME {
        Some(Scope::Assigned)
    } else if is_held || idle >= MAX_IDLE {
        Some(Scope::All)
    } else if first.unavailable == 0 {
        Some(Scope::Assigned)
    } else {
        None
    }
}
