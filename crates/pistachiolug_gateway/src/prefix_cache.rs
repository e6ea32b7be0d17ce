//! Prompt prefixes that servers may still hold, and whether servers of a service keep them at all.
//!
//! See `docs/design/prompt-prefixes.md`. An estimate only changes the cost of a server, so a wrong one costs time and nothing
//! else.

use std::{hash::Hasher, sync::Arc, time::Duration};

use http::HeaderMap;
use rustc_hash::{FxHashMap, FxHasher};

use crate::{names::Names, prefix};

mod regression;

use regression::{Regression, Sample};

/// Time after which an unused estimate ends; within it, other traffic may have used the memory.
const MAX_AGE: Duration = Duration::from_secs(120);

/// Largest number of boundaries that are remembered of one server; about 16 KiB.
const MAX_BOUNDARIES: usize = 512;

/// Prompt tokens that this entry may send to a server before an estimate ends, as long as nothing is learnt. It is small
/// compared with the memory of an engine, so that the test of a service does not depend on it.
const INITIAL_RANGE: f64 = 32_768.0;

/// Bounds of the learnt range, in prompt tokens.
const RANGE_BOUNDS: (f64, f64) = (2_048.0, 4_194_304.0);

/// Factor of the range after a measured time that agrees with an estimate from its older half.
const RANGE_GROWTH: f64 = 1.05;

/// Factor of the range after a measured time that contradicts such an estimate.
const RANGE_REDUCTION: f64 = 0.9;

/// Saving in milliseconds from which a single measured time says something about it, and from which a probe is worthwhile.
const MIN_MEASURABLE_MS: f64 = 5.0;

/// Share of the reading time of held prefixes that has to be saved for servers to count as keeping them.
const MIN_SHARE: f64 = 0.25;

/// Lowest certain share with which a service that was found to keep prefixes still counts as such. Below [`MIN_SHARE`], so
/// that the decision does not alternate.
const MIN_SHARE_TO_STAY: f64 = 0.125;

/// Number of standard errors between the estimated and the certain share.
const CERTAINTY: f64 = 3.0;

/// Largest standard error with which anything is decided. With [`MIN_SHARE`] it demands more than four standard errors,
/// because the check is repeated after each sample.
const MAX_STANDARD_ERROR: f64 = 0.2;

/// Smallest number of measurable savings, with forgetting, with which anything is decided.
const MIN_MEASURABLE: f64 = 16.0;

/// Number of samples after which a test without a decision ends.
const MAX_TEST_SAMPLES: u32 = 2048;

/// First pause after a test that has shown no saving; doubles with each further one.
const MIN_REST: Duration = Duration::from_secs(5 * 60);

/// Longest pause between two tests.
const MAX_REST: Duration = Duration::from_secs(2 * 60 * 60);

/// Bound of the deviation of one measured time in milliseconds; a stalled link says nothing of prefixes.
const MAX_DEVIATION_MS: f64 = 250.0;

/// One request in this many is placed during a test as if a held prefix saved all of its reading time.
pub const PROBE_INTERVAL: u32 = 16;

/// Prompt as a chain of the prefixes that end with its parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Shortest prefix first; empty if prefixes are not considered for the request.
    boundaries: Arc<[Boundary]>,
}

/// End of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Boundary {
    /// Hash of the model, the ids and sizes of the parts before, and the id of the part that ends here.
    key: u64,
    /// Tokens before the part.
    start: u32,
    /// Tokens up to the end of the part; above `start`.
    end: u32,
}

impl Prompt {
    /// Reads the parts of a prompt from a request's headers, the last one included. The chain ends before the first part
    /// without a valid size, and after 33 parts.
    pub fn from_headers(headers: &HeaderMap, names: &Names, model: &str) -> Self {
        Self::new(model, prefix::parts(headers, names))
    }

    /// Creates the chain of a model's prompt from the ids and tokens of its parts.
    pub fn new<I: AsRef<str>>(
        model: &str,
        parts: impl IntoIterator<Item = (I, Option<u32>)>,
    ) -> Self {
        let mut hasher = FxHasher::default();
        hasher.write(model.as_bytes());
        hasher.write_u8(u8::MAX);
        let mut start = 0_u32;
        let mut boundaries = Vec::new();
        for (id, tokens) in parts {
            let Some(end) = tokens
                .filter(|tokens| *tokens > 0)
                .and_then(|tokens| start.checked_add(tokens))
            else {
                break;
            };
            hasher.write(id.as_ref().as_bytes());
            boundaries.push(Boundary {
                key: hasher.finish(),
                start,
                end,
            });
            hasher.write_u32(end);
            start = end;
        }
        Self {
            boundaries: boundaries.into(),
        }
    }

    /// Returns whether prefixes are not considered for the request.
    pub fn is_empty(&self) -> bool {
        self.boundaries.is_empty()
    }

    /// Returns the tokens of all parts.
    pub fn tokens(&self) -> u32 {
        self.boundaries.last().map_or(0, |boundary| boundary.end)
    }
}

/// Prefixes that one server may hold.
#[derive(Debug, Default)]
pub struct Holdings {
    boundaries: FxHashMap<u64, Held>,
    /// Prompt tokens that the server has read for this entry, without those that it held.
    read_tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// Tokens of the part that were sent.
    tokens: u32,
    /// When the server was chosen for the last request with it whose answer has begun.
    at: Duration,
    /// [`Holdings::read_tokens`] at that time.
    read_tokens: u64,
}

/// Part of a prompt that a server may hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Match {
    /// Held tokens from the start of the prompt; 0 if none.
    pub tokens: u32,
    /// Prompt tokens that the server has read for this entry since it last used the prefix.
    pub distance: u64,
    /// Time since then.
    pub age: Duration,
}

impl Holdings {
    /// Returns the longest prefix of a prompt that the server may hold.
    ///
    /// # Arguments
    /// `since` is when the server's models last changed, which ends all estimates from before. `range` is the number of prompt
    /// tokens after which an unused prefix is assumed to be evicted.
    pub fn find(&self, prompt: &Prompt, since: Duration, range: u64, now: Duration) -> Match {
        let valid = |boundary: &Boundary| {
            let held = self.boundaries.get(&boundary.key)?;
            let distance = self.read_tokens - held.read_tokens;
            let age = now.saturating_sub(held.at);
            let is_valid = held.at > since && age < MAX_AGE && distance <= range;
            is_valid.then(|| Match {
                tokens: (boundary.start + held.tokens).min(boundary.end),
                distance,
                age,
            })
        };
        let mut boundaries = prompt.boundaries.iter().rev();
        boundaries.find_map(valid).unwrap_or_default()
    }

    /// Records that the server has read a prompt, of which it held `held_tokens`.
    ///
    /// # Arguments
    /// `chosen_at` is when the server was chosen; what it loads later discards the prompt.
    pub fn record(&mut self, prompt: &Prompt, held_tokens: u32, chosen_at: Duration) {
        self.read_tokens += u64::from(prompt.tokens().saturating_sub(held_tokens));
        for boundary in prompt.boundaries.iter() {
            let held = Held {
                tokens: boundary.end - boundary.start,
                at: chosen_at,
                read_tokens: self.read_tokens,
            };
            self.boundaries.insert(boundary.key, held);
        }
        while self.boundaries.len() > MAX_BOUNDARIES {
            let oldest = self.boundaries.iter().min_by_key(|(_, held)| held.at);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                break;
            };
            self.boundaries.remove(&key);
        }
    }

    /// Discards all estimates.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of remembered boundaries.
    pub fn count(&self) -> usize {
        self.boundaries.len()
    }
}

/// What was expected of a request when its server was chosen.
#[derive(Debug, Clone, Default)]
pub struct Expectation {
    /// Prompt; empty if prefixes are not considered for the request.
    pub prompt: Prompt,
    /// Part that the server may hold.
    pub held: Match,
    /// Milliseconds in which the server would read the held part without load.
    pub held_ms: f64,
    /// Milliseconds in which it would read the whole prompt.
    pub prompt_ms: f64,
    /// Expected milliseconds to the first event without a held prefix, divided by `slowdown`.
    pub wait_ms: f64,
    /// Slowdown of the server; at least 1.0.
    pub slowdown: f64,
    /// Milliseconds by which the first event is expected to come sooner; 0 unless servers are known to keep prefixes.
    pub saving_ms: f64,
}

/// Whether prefixes are weighed for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not known to keep prefixes; measured, with rare probes.
    Testing,
    /// Known to keep prefixes.
    Weighing,
    /// Not found to keep prefixes: nothing is estimated until this time.
    Resting(Duration),
}

impl Phase {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Testing => "testing",
            Self::Weighing => "weighing",
            Self::Resting(_) => "resting",
        }
    }
}

/// What a measured time says of an expected saving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Tokens that were expected to be saved; 0 if nothing was.
    pub expected_tokens: u32,
    /// Those of them that were not, as far as one time can tell.
    pub wrong_tokens: u32,
    /// Whether the phase has changed.
    pub is_phase_changed: bool,
}

/// Measured times of a service's servers, and what follows from them.
#[derive(Debug)]
pub struct Evidence {
    regression: Regression,
    /// Samples of the current test.
    test_samples: u32,
    phase: Phase,
    /// Length of the next rest.
    next_rest: Duration,
    /// Prompt tokens after which an unused prefix is assumed to be evicted, within [`RANGE_BOUNDS`].
    range: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            regression: Regression::default(),
            test_samples: 0,
            phase: Phase::Testing,
            next_rest: MIN_REST,
            range: INITIAL_RANGE,
        }
    }
}

impl Evidence {
    /// Returns the phase; a rest that has passed counts as a test.
    pub fn phase(&self, now: Duration) -> Phase {
        match self.phase {
            Phase::Resting(until) if until <= now => Phase::Testing,
            phase => phase,
        }
    }

    /// Returns the share of the reading time of held prefixes that is certainly saved, within 0.0..=1.0; 0 unless servers
    /// are known to keep prefixes.
    pub fn share(&self) -> f64 {
        match self.phase {
            Phase::Weighing => self
                .certain_share()
                .map_or(0.0, |(low, _)| low.clamp(0.0, 1.0)),
            Phase::Testing | Phase::Resting(_) => 0.0,
        }
    }

    /// Returns the number of prompt tokens after which an unused prefix is assumed to be evicted.
    pub fn range(&self) -> u64 {
        self.range as u64
    }

    /// Returns the milliseconds that a held prefix is taken to save in a probe; 0 if that could not be measured.
    pub fn probe_saving_ms(held_ms: f64) -> f64 {
        if held_ms >= MIN_MEASURABLE_MS {
            held_ms
        } else {
            0.0
        }
    }

    /// Records the time to a first event.
    ///
    /// # Arguments
    /// `taken_ms` is the time in milliseconds from the request's send to its first event.
    pub fn record(&mut self, expectation: &Expectation, taken_ms: f64, now: Duration) -> Verdict {
        if self.phase != self.phase(now) {
            self.regression = Regression::default();
            self.test_samples = 0;
            self.phase = Phase::Testing;
        }
        let sooner_ms = expectation.wait_ms - taken_ms / expectation.slowdown.max(1.0);
        let sample = Sample {
            held: expectation.held_ms,
            prompt: expectation.prompt_ms,
            sooner: sooner_ms.clamp(-MAX_DEVIATION_MS, MAX_DEVIATION_MS),
        };
        let mut verdict = self.judge(expectation, &sample);
        self.regression.add(&sample, MIN_MEASURABLE_MS);
        let before = self.phase;
        self.advance(now);
        verdict.is_phase_changed = self.phase != before;
        verdict
    }

    /// Compares one measured time with the saving that was expected, and adapts the range.
    fn judge(&mut self, expectation: &Expectation, sample: &Sample) -> Verdict {
        if expectation.saving_ms <= 0.0 {
            return Verdict::default();
        }
        let tokens = expectation.held.tokens;
        let saved_ms = self.regression.saved_ms(sample);
        let is_measurable = sample.held >= MIN_MEASURABLE_MS;
        let Some((saved_ms, share)) = saved_ms.filter(|_| is_measurable) else {
            return Verdict {
                expected_tokens: tokens,
                ..Verdict::default()
            };
        };
        let is_saved = saved_ms >= share * sample.held / 2.0;
        if expectation.held.distance as f64 > self.range / 2.0 {
            let factor = if is_saved {
                RANGE_GROWTH
            } else {
                RANGE_REDUCTION
            };
            self.range = (self.range * factor).clamp(RANGE_BOUNDS.0, RANGE_BOUNDS.1);
        }
        Verdict {
            expected_tokens: tokens,
            wrong_tokens: if is_saved { 0 } else { tokens },
            is_phase_changed: false,
        }
    }

    /// Returns the lowest and the highest share of the reading time of held prefixes that may be saved; `None` if too little
    /// is known.
    fn certain_share(&self) -> Option<(f64, f64)> {
        let share = self.regression.share()?;
        let is_known = self.regression.measurable() >= MIN_MEASURABLE
            && share.standard_error <= MAX_STANDARD_ERROR;
        let margin = CERTAINTY * share.standard_error;
        is_known.then_some((share.value - margin, share.value + margin))
    }

    fn advance(&mut self, now: Duration) {
        let certain = self.certain_share();
        match self.phase {
            Phase::Testing => {
                self.test_samples += 1;
                let is_kept = certain.is_some_and(|(low, _)| low >= MIN_SHARE);
                let is_not_kept = certain.is_some_and(|(_, high)| high < MIN_SHARE);
                if is_kept {
                    self.phase = Phase::Weighing;
                    self.next_rest = MIN_REST;
                } else if is_not_kept || self.test_samples >= MAX_TEST_SAMPLES {
                    self.phase = Phase::Resting(now + self.next_rest);
                    self.next_rest = (self.next_rest * 2).min(MAX_REST);
                    self.range = INITIAL_RANGE;
                }
            }
            Phase::Weighing => {
                if certain.is_none_or(|(low, _)| low < MIN_SHARE_TO_STAY) {
                    self.phase = Phase::Testing;
                    self.test_samples = 0;
                }
            }
            Phase::Resting(_) => {}
        }
    }
}
