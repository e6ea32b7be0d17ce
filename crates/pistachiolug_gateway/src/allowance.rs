//! Requests that an entry may send to a server with a limit.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_routing::{allocation::DEMAND_TIME, bucket::Bucket, rate_limit::Split};

/// Time for which a grant may be used. What was granted and not used is lost, and what is used later adds to later grants.
pub const GRANT_TIME: Duration = Duration::from_millis(500);

/// Time for which a token of the entry's own share may be used. Tokens that are used later would add to those of a later second;
/// with this time, 14 entries that share 32 requests per second send at most 3 each in any second.
const TOKEN_TIME: Duration = Duration::from_millis(250);

/// Time for which a request's demand counts. Requests that wait are offered to servers again within that time.
const WANT_TIME: Duration = Duration::from_millis(100);

/// Interval at which a demand is repeated; well within the time for which the coordinator counts it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(DEMAND_TIME.as_millis() as u64 / 3);

/// Largest number of grants that are kept; a coordinator gives no more at once.
pub const MAX_GRANTS: u32 = 256;

/// Grants and demand of one entry for one incarnation of a server; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Ends of the times in which the grants may be used, in ascending order.
    grants: VecDeque<Duration>,
    wanted: Option<Want>,
    /// When the demand was last sent to the coordinator.
    asked_at: Option<Duration>,
    /// When the next grant may come, as the coordinator says.
    next_at: Option<Duration>,
    /// Tokens of the entry's own share, if the rate is split evenly.
    bucket: Bucket,
}

/// Request that would have been sent to the server.
#[derive(Debug, Clone, Copy)]
struct Want {
    at: Duration,
    priority: u8,
}

impl Allowance {
    /// Adds grants that arrived at `at`.
    pub fn add(&mut self, count: u32, at: Duration) {
        let until = at + GRANT_TIME;
        let left = MAX_GRANTS.saturating_sub(self.grants.len() as u32);
        for _ in 0..count.min(left) {
            self.grants.push_back(until);
        }
        if count > 0 {
            self.asked_at = None;
        }
    }

    /// Records when the next grant may come.
    pub fn set_next(&mut self, at: Duration) {
        self.next_at = Some(at);
    }

    /// Returns whether a grant may be used.
    pub fn has_grant(&self, now: Duration) -> bool {
        self.grants.back().is_some_and(|until| now < *until)
    }

    /// Uses a grant, and returns the time before which its request has to be sent; `None` if there is none.
    pub fn take(&mut self, now: Duration) -> Option<Duration> {
        while let Some(until) = self.grants.pop_front() {
            if now < until {
                return Some(until);
            }
        }
        None
    }

    /// Records that the server begins to have a limit. The entry starts with at most `tokens` of its share.
    pub fn begin(&mut self, split: Split, tokens: f64, now: Duration) {
        if let Split::Even(share) = split {
            self.bucket.restrict(tokens, share, now);
        }
    }

    /// Returns whether a request may be sent to the server.
    pub fn is_open(&self, split: Split, now: Duration) -> bool {
        match split {
            Split::Even(share) => self.bucket.has_token(share, now),
            Split::Granted => self.has_grant(now),
        }
    }

    /// Uses a token or a grant, and returns the time before which its request has to be sent; `None` if there is none.
    pub fn spend(&mut self, split: Split, now: Duration) -> Option<Duration> {
        match split {
            Split::Even(share) => self.bucket.take(share, now).then_some(now + TOKEN_TIME),
            Split::Granted => self.take(now),
        }
    }

    /// Returns the time until a request may be sent to the server, as far as it is known.
    pub fn time_to_opening(&self, split: Split, now: Duration) -> Duration {
        match split {
            Split::Even(share) => self.bucket.time_to_token(share, now),
            Split::Granted => self.time_to_grant(now),
        }
    }

    /// Records that a request would have been sent to the server, had there been a grant.
    pub fn want(&mut self, priority: u8, now: Duration) {
        let known = self.wanted.filter(|wanted| now < wanted.at + WANT_TIME);
        let priority = known.map_or(priority, |known| known.priority.min(priority));
        self.wanted = Some(Want { at: now, priority });
    }

    /// Returns the priority of the demand if it has to be sent to the coordinator now.
    pub fn demand(&self, now: Duration) -> Option<u8> {
        let wanted = self.wanted.filter(|wanted| now < wanted.at + WANT_TIME)?;
        let is_asked = self
            .asked_at
            .is_some_and(|asked_at| now < asked_at + REPEAT_INTERVAL);
        (!is_asked && !self.has_grant(now)).then_some(wanted.priority)
    }

    /// Records that the demand was sent.
    pub fn record_ask(&mut self, now: Duration) {
        self.asked_at = Some(now);
    }

    /// Returns the time until the next grant may come; zero if it may come at any moment.
    pub fn time_to_grant(&self, now: Duration) -> Duration {
        self.next_at.unwrap_or_default().saturating_sub(now)
    }
}
