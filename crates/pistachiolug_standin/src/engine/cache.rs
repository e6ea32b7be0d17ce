//! Prompt prefix cache, whose events come late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use pistachiolug_platform::engine::CacheEvent;
use pistachiolug_wire::digest::Digest;

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 1024;

/// Prefixes that fit.
const PREFIXES: usize = 64;

/// Events kept for readers.
const EVENTS: usize = 1024;

/// Every event with a number divisible by this is lost.
const LOST_EVERY: u64 = 7;

/// Time after which an event shows.
const LAG: Duration = Duration::from_millis(300);

/// Prefix cache of one engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// Prefixes, least recently used first.
    prefixes: VecDeque<Digest>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl Cache {
    /// Uses a prompt's prefix.
    pub fn touch(&mut self, prompt: &[u8], now: Instant) {
        let prefix = Digest::of(&prompt[..prompt.len().min(PREFIX_BYTES)]);
        let place = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
        } else {
            self.publish(prefix, true, now);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES
            && let Some(dropped) = self.prefixes.pop_front()
        {
            self.publish(dropped, false, now);
        }
    }

    /// Returns the visible events after a number.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| *at + LAG <= now);
        let events = visible.map(|(_, event)| event);
        let later = events.filter(|event| event.sequence > sequence);
        later.cloned().collect()
    }

    fn publish(&mut self, prefix: Digest, added: bool, now: Instant) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(LOST_EVERY) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            added,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
