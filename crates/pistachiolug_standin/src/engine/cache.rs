//! Prompt prefix cache whose events arrive late and with gaps, as those of a real engine may.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use pistachiolug_platform::engine::CacheEvent;
use pistachiolug_wire::digest::Digest;

/// Number of bytes at the start of a prompt that form its prefix.
const PREFIX_BYTES: usize = 1024;

/// Number of prefixes that the cache holds.
const MAX_PREFIXES: usize = 64;

/// Number of the newest events that are kept for readers.
const MAX_EVENTS: usize = 1024;

/// Every event whose sequence number is divisible by this is dropped, so that readers see gaps.
const LOST_EVENT_INTERVAL: u64 = 7;

/// Time until an event becomes visible to readers.
const EVENT_DELAY: Duration = Duration::from_millis(300);

/// Prefix cache of one engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// Prefixes, least recently used first.
    prefixes: VecDeque<Digest>,
    /// Events with the time at which they happened, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
    /// Sequence number of the last event; dropped events have one too.
    sequence: u64,
}

impl Cache {
    /// Marks the prefix of a prompt as the most recently used one and evicts the least recently used one if needed.
    pub fn touch(&mut self, prompt: &[u8], now: Instant) {
        let prefix = Digest::of(&prompt[..prompt.len().min(PREFIX_BYTES)]);
        let index = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        } else {
            self.publish(prefix, true, now);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(evicted, false, now);
        }
    }

    /// Returns the visible events whose sequence number is above `sequence`.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self
            .events
            .iter()
            .filter(|(at, _)| *at + EVENT_DELAY <= now);
        let events = visible.map(|(_, event)| event);
        let later = events.filter(|event| event.sequence > sequence);
        later.cloned().collect()
    }

    /// Adds an event, unless its sequence number is one of those that are dropped.
    fn publish(&mut self, prefix: Digest, added: bool, now: Instant) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            added,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
