//! Disturbances of the key-value service, as far as an entry can know of them.
//!
//! It answers outages around the announcement of a version: the time allowed for a version counts only while the service is
//! undisturbed. An entry whose own calls fail may just be cut off, or be refused while others are served. What it concludes
//! therefore needs the other entries: none of those that it hears may reach the service. Where the evidence is insufficient,
//! the service counts as undisturbed, so that versions are enforced too early rather than too late.

use std::{collections::VecDeque, time::Duration};

/// Largest number of disturbances that are kept; older ones affect no version that is not due.
const MAX_DISTURBANCES: usize = 16;

/// What an entry sees of the service at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Whether this entry's own calls fail for another reason than their rate.
    pub fails: bool,
    /// Number of entries that this one hears from, without itself.
    pub heard: usize,
    /// Number of those that say that they reach the service.
    pub reaching: usize,
    /// Number of entries that this one has heard from lately, without itself.
    pub members: usize,
}

impl View {
    /// Returns whether the service is known to be disturbed: it answers no entry that this one hears, and these are, with this
    /// one, more than half of all.
    pub fn is_disturbed(&self) -> bool {
        let is_majority = (self.heard + 1) * 2 > self.members + 1;
        self.fails && self.reaching == 0 && self.heard > 0 && is_majority
    }
}

/// Time in which the service was known to be disturbed; times are those of the process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// When it was first known.
    pub since: Duration,
    /// When it was last known.
    pub until: Duration,
}

/// Change of what is known of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A disturbance was noticed.
    Began,
    /// A disturbance is no longer known.
    Ended(Disturbance),
}

/// Disturbances of the service, oldest first.
#[derive(Debug, Default)]
pub struct Disturbances {
    known: VecDeque<Disturbance>,
    /// Whether the last one goes on.
    is_open: bool,
}

impl Disturbances {
    /// Records what the entry sees now, and returns what has changed.
    pub fn record(&mut self, view: &View, now: Duration) -> Option<Change> {
        let was_open = self.is_open;
        self.is_open = view.is_disturbed();
        match (was_open, self.is_open) {
            (false, true) => {
                if self.known.len() >= MAX_DISTURBANCES {
                    self.known.pop_front();
                }
                let (since, until) = (now, now);
                self.known.push_back(Disturbance { since, until });
                Some(Change::Began)
            }
            (true, true) => {
                if let Some(last) = self.known.back_mut() {
                    last.until = now;
                }
                None
            }
            (true, false) => self.known.back().copied().map(Change::Ended),
            (false, false) => None,
        }
    }

    /// Returns when a time allowed for something is over that counts anew after each disturbance. A time that was over when a
    /// disturbance was noticed stays over.
    ///
    /// # Arguments
    /// `due` is when the time is over without disturbances, `allowed` its length.
    pub fn postpone(&self, due: Duration, allowed: Duration) -> Duration {
        let known = self.known.iter();
        known.fold(due, |due, disturbance| {
            if due > disturbance.since {
                due.max(disturbance.until + allowed)
            } else {
                due
            }
        })
    }
}
