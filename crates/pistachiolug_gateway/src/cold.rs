//! Cold servers: those that have started lately and crash if they get many requests. All entries together send each of them no
//! more than a configured rate.

use std::time::Duration;

/// Time after this entry's first server was listed from which a server that is listed is new. Before it, the entry reads rows
/// that may be old.
const FIRST_READ_TIME: Duration = Duration::from_secs(1);

/// Time between two rounds of beacons from which the entry must have been suspended; it sends 13 in that time.
const MAX_ROUND_GAP: Duration = Duration::from_millis(400);

/// Time for which servers count as cold after a suspension of the entry. It has read the rows that it missed by then.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Limit of the cold servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Requests per second that a cold server takes from all entries together.
    pub per_second: f64,
    /// Time for which a server is cold after its start.
    pub start_time: Duration,
}

/// Requests that may reach a cold server in any one second, as a multiple of the rate and beyond that. The entries share only
/// the rate; what the bound allows beyond it covers requests that arrive unevenly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Multiple of the rate.
    pub overrun: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

impl Bound {
    /// Returns the policy whose rate keeps the bound even if that is below the configured rate.
    pub fn apply(&self, policy: Policy) -> Policy {
        Policy {
            per_second: policy.per_second * self.overrun.clamp(0.0, 1.0),
            ..policy
        }
    }
}

/// What is known of the coldness of one incarnation of a server; times are those of the process's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Coldness {
    /// End of the coldness that the newest row states, or that follows from a suspension.
    until: Duration,
    /// When the server was listed first, if its row says nothing, or when its zone was opened again; [`Policy::start_time`]
    /// counts from here.
    since: Option<Duration>,
}

impl Coldness {
    /// Returns the coldness of a server that is listed first.
    ///
    /// # Arguments
    /// `stated` is the time for which its row says that it stays cold; `first_listed_at` is when this entry's first server was
    /// listed.
    pub fn new(stated: Option<Duration>, first_listed_at: Option<Duration>, now: Duration) -> Self {
        let is_new = first_listed_at.is_some_and(|first| now >= first + FIRST_READ_TIME);
        Self {
            until: stated.map_or(Duration::ZERO, |stated| now + stated),
            since: (stated.is_none() && is_new).then_some(now),
        }
    }

    /// Records a newer row of the server.
    ///
    /// # Arguments
    /// `before` and `stated` are the times for which the previous and the newer row say that it stays cold.
    pub fn record_row(
        &mut self,
        before: Option<Duration>,
        stated: Option<Duration>,
        now: Duration,
    ) {
        match (before, stated) {
            (None, None) => {}
            (Some(_), None) => self.until = Duration::ZERO,
            (_, Some(stated)) => {
                self.until = now + stated;
                if before.is_none() {
                    self.since = None;
                }
            }
        }
    }

    /// Records that the server's zone gets requests again after an evacuation.
    pub fn record_reopening(&mut self, now: Duration) {
        self.since = Some(now);
    }

    /// Records that this entry was suspended, so that the server may have become cold without its knowledge.
    pub fn record_suspension(&mut self, now: Duration) {
        self.until = self.until.max(now + CATCH_UP_TIME);
    }

    /// Returns the time for which the server stays cold; `None` if it is warm.
    pub fn time_left(&self, policy: &Policy, now: Duration) -> Option<Duration> {
        let since = self.since.map(|since| since + policy.start_time);
        let until = self.until.max(since.unwrap_or_default());
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}

/// Returns whether an entry that runs a round now was suspended since the previous round.
pub fn is_suspension(previous_round: Duration, now: Duration) -> bool {
    now >= previous_round + MAX_ROUND_GAP
}

/// Returns the tokens, in 0.0..1.0, with which an entry begins its share of a server's rate. They differ between servers and
/// entries, so that first requests of servers that become cold together neither all wait nor arrive together.
///
/// # Arguments
/// `entry` is a hash of the entry's name.
pub fn first_tokens(entry: u64, incarnation: u64) -> f64 {
    // The finalizer of MurmurHash3 spreads inputs that differ in few bits.
    let mut bits = entry ^ incarnation;
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^= bits >> 33;
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}
