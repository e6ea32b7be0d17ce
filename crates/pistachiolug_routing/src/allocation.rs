//! Allocation of a server's limited rate of requests to the entries that want to send some.
//!
//! One entry, the server's coordinator, gives out grants of one request each, so that the entries together keep the limit
//! and each gets what its callers need. A grant that is lost or expires is not replaced.

use std::{collections::VecDeque, time::Duration};

/// Time for which a demand counts after an entry has sent it. Entries repeat it meanwhile.
pub const DEMAND_TIME: Duration = Duration::from_millis(400);

/// Time in which grants that nobody wanted may be made up for.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Window over which grants are counted, so that a limit that falls also covers those given before.
const WINDOW: Duration = Duration::from_secs(4);

/// Largest number of grants in a window, as a multiple of what the limit allows in it.
const WINDOW_SHARE: f64 = 1.25;

/// Time within which grants are counted together.
const COUNT_TIME: Duration = Duration::from_millis(100);

/// Demand of one entry.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Number of requests.
    count: u32,
    /// Priority of the most urgent one; 0 is served first.
    priority: u8,
    /// When the entry last got a grant, or else first sent its demand.
    since: Duration,
    /// When the demand expires.
    until: Duration,
}

/// Allocation of one server's rate, by entries that are identified by `K`; times are those of the process's clock.
#[derive(Debug)]
pub struct Allocation<K> {
    /// Rate in requests per second for which `next_at` holds.
    per_second: f64,
    /// When the next grant is due if all are evenly spaced; up to [`BURST_TIME`] earlier ones are given.
    next_at: Duration,
    /// Grants of the last [`WINDOW`], counted by their times.
    granted: VecDeque<(Duration, u32)>,
    demands: Vec<(K, Demand)>,
}

impl<K: Copy + Ord> Allocation<K> {
    /// Begins to allocate a rate. The first grant follows after a full interval, since other entries may have given some
    /// just before.
    pub fn new(per_second: f64, now: Duration) -> Self {
        Self {
            per_second,
            next_at: now + BURST_TIME + interval(per_second),
            granted: VecDeque::new(),
            demands: Vec::new(),
        }
    }

    /// Sets the rate in requests per second.
    pub fn set_rate(&mut self, per_second: f64, now: Duration) {
        let left = self.next_at.saturating_sub(now);
        if (self.per_second - per_second).abs() > f64::EPSILON {
            self.next_at = now + left.mul_f64(self.per_second / per_second);
            self.per_second = per_second;
        }
    }

    /// Replaces the demand of an entry.
    ///
    /// # Arguments
    /// `count` is the number of requests that the entry could send now.
    pub fn set_demand(&mut self, entry: K, count: u32, priority: u8, now: Duration) {
        let until = now + DEMAND_TIME;
        let known = self.demands.iter_mut().find(|(known, _)| *known == entry);
        if let Some((_, demand)) = known.filter(|(_, demand)| now < demand.until) {
            (demand.count, demand.priority, demand.until) = (count, priority, until);
            return;
        }
        self.demands.retain(|(known, _)| *known != entry);
        let demand = Demand {
            count,
            priority,
            since: now,
            until,
        };
        self.demands.push((entry, demand));
    }

    /// Gives the grants that are due, and returns their number by entry. The most urgent demands come first, then those
    /// that have waited longest for their size.
    pub fn grant(&mut self, now: Duration) -> Vec<(K, u32)> {
        self.demands.retain(|(_, demand)| now < demand.until);
        let mut grants: Vec<(K, u32)> = Vec::new();
        while self.is_due(now) {
            let Some((entry, demand)) = self.find_next(now) else {
                break;
            };
            demand.count -= 1;
            demand.since = now;
            let entry = *entry;
            match grants.iter_mut().find(|(granted, _)| *granted == entry) {
                Some((_, count)) => *count += 1,
                None => grants.push((entry, 1)),
            }
            self.record_grant(now);
        }
        grants
    }

    /// Returns the time until an entry's next grant, if the other demands stay as they are.
    pub fn time_to_grant(&self, entry: K, now: Duration) -> Duration {
        let others = self.demands.iter();
        let others = others.filter(|(other, demand)| *other != entry && now < demand.until);
        let ahead: u32 = others.map(|(_, demand)| demand.count).sum();
        let due_at = self.next_at.saturating_sub(BURST_TIME);
        due_at.saturating_sub(now) + interval(self.per_second) * ahead
    }

    fn is_due(&mut self, now: Duration) -> bool {
        while let Some((at, _)) = self.granted.front()
            && *at + WINDOW <= now
        {
            self.granted.pop_front();
        }
        let granted: u32 = self.granted.iter().map(|(_, count)| count).sum();
        let allowed = self.per_second * WINDOW.as_secs_f64() * WINDOW_SHARE;
        f64::from(granted) < allowed.max(1.0) && self.next_at <= now + BURST_TIME
    }

    fn find_next(&mut self, now: Duration) -> Option<&mut (K, Demand)> {
        let demands = self.demands.iter_mut();
        let demands = demands.filter(|(_, demand)| demand.count > 0);
        demands.max_by(|(left_entry, left), (right_entry, right)| {
            let weight = |demand: &Demand| {
                let waited = now.saturating_sub(demand.since) + Duration::from_millis(1);
                waited * demand.count
            };
            let urgency = right.priority.cmp(&left.priority);
            urgency
                .then(weight(left).cmp(&weight(right)))
                .then(right_entry.cmp(left_entry))
        })
    }

    fn record_grant(&mut self, now: Duration) {
        self.next_at = self.next_at.max(now) + interval(self.per_second);
        match self.granted.back_mut() {
            Some((at, count)) if now < *at + COUNT_TIME => *count += 1,
            _ => self.granted.push_back((now, 1)),
        }
    }
}

fn interval(per_second: f64) -> Duration {
    Duration::from_secs_f64(per_second.recip())
}
