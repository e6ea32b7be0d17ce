//! Pace of a server: how much slower it works now than usual. Answers the load of servers that slow down for about half a
//! second, which the moving averages of whole requests notice too late.
//!
//! An engine sends the events of its streams once per pass, so that the time between two events is compared with the time that
//! its parameters predict for a pass. A plain service's answers are compared with their usual time.

use std::time::Duration;

use crate::config::Engine;

/// Range of the pace. Ratios below 1 come from predictions that allow for more prompts than were read, not from faster servers.
const RANGE: (f64, f64) = (1.0, 8.0);

/// Age of the newest sample from which the pace is 1; slowdowns last about as long.
const MAX_AGE: Duration = Duration::from_millis(500);

/// Age of an own sample up to which paces from other entries are not used: a sound engine passes within it.
const OWN_AGE: Duration = Duration::from_millis(150);

/// Share of the predicted time of a pass within which the events of several streams count as those of one pass.
const SAME_PASS_SHARE: f64 = 0.5;

/// Weight of a sample's excess over 1 if the sample before it was usual. In trials 0.5, 0.75 and 1 differed by less than seeds
/// do; the least of them avoids a sound server least after one long prompt.
const UNCONFIRMED_WEIGHT: f64 = 0.5;

/// Pace from which other entries are told; smaller ones are within the spread of sound servers.
const MIN_SHARED: f64 = 1.25;

/// Steps of the pace per unit on the wire.
const UNITS: f64 = 16.0;

/// Factor by which one answer moves the usual time of answers up or down. Steps of equal size lead to the median, which
/// slowdowns during a small share of the time don't move far.
const USUAL_STEP: f64 = 1.03;

/// Prediction for a pass of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prediction {
    /// Milliseconds of the pass if it reads no prompts.
    pub pass_ms: f64,
    /// Milliseconds that reading one prompt token adds.
    pub token_ms: f64,
}

impl Prediction {
    /// Predicts a pass of an engine with `calls` running requests.
    pub fn new(engine: &Engine, calls: u32) -> Self {
        let step_ms = engine.step_ms + engine.step_ms_per_call * f64::from(calls);
        Self {
            pass_ms: step_ms * engine.stride,
            token_ms: engine.prompt_tokens_per_ms.recip(),
        }
    }

    /// Returns the ratio of a measured time to the prediction for passes that read `prompt_tokens` altogether.
    fn ratio(&self, taken: Duration, passes: u64, prompt_tokens: u32) -> f64 {
        let expected_ms = self.pass_ms * passes as f64 + self.token_ms * f64::from(prompt_tokens);
        millis(taken) / expected_ms.max(1.0)
    }
}

/// Samples of one server; times are those of the process's clock.
///
/// A pass that takes long is weak evidence, because it may have read prompts that this entry does not know. The pass that is
/// running counts as one that takes as long as it has run.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Ratios of the newest sample and the one before it.
    ratios: [f64; 2],
    /// Time of the newest sample; `None` before the first one.
    sampled_at: Option<Duration>,
    /// End of the newest pass.
    passed_at: Duration,
    /// Prediction for the passes at that time.
    prediction: Prediction,
    /// Largest number of unread prompt tokens at the server in the newest pass; an upper bound of what it read.
    read: u32,
    /// The same for the pass that is running.
    unread: u32,
    /// Streams of this entry at the server that have begun.
    streams: u32,
    /// Usual milliseconds of an answer of a plain service; `None` before the first one.
    usual_ms: Option<f64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            ratios: [1.0; 2],
            sampled_at: None,
            passed_at: Duration::ZERO,
            prediction: Prediction::default(),
            read: 0,
            unread: 0,
            streams: 0,
            usual_ms: None,
        }
    }
}

impl Pace {
    /// Records the number of prompt tokens that the server has not read, by all entries, after it has changed.
    pub fn record_unread(&mut self, prompt_tokens: u32) {
        self.unread = self.unread.max(prompt_tokens);
    }

    /// Records that a stream has begun.
    ///
    /// # Arguments
    /// `unread` are the prompt tokens that the server has still not read.
    pub fn begin_stream(&mut self, prediction: Prediction, unread: u32, now: Duration) {
        self.streams += 1;
        self.record_pass(prediction, unread, now);
    }

    /// Records that a stream that had begun has ended.
    pub fn end_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records events of a stream, which the server sent in `passes` passes since the stream's last ones.
    pub fn record_events(
        &mut self,
        gap: Duration,
        passes: u64,
        prediction: Prediction,
        unread: u32,
        now: Duration,
    ) {
        let is_same_pass = self
            .sampled_at
            .is_some_and(|at| is_same_pass(at, &prediction, now));
        self.record_pass(prediction, unread, now);
        let ratio = prediction.ratio(gap, passes, self.read);
        if is_same_pass {
            // A pause of one stream is not the server's.
            self.ratios[0] = self.ratios[0].min(ratio);
        } else {
            self.record_ratio(ratio, now);
        }
    }

    /// Records the time of a plain service's answer.
    ///
    /// # Arguments
    /// `load` is the number of open requests per slot when the request was sent, without it.
    pub fn record_answer(&mut self, taken: Duration, load: f64, now: Duration) {
        let unloaded_ms = millis(taken) / load.max(1.0);
        let usual_ms = self.usual_ms.get_or_insert(unloaded_ms);
        let ratio = unloaded_ms / usual_ms.max(f64::MIN_POSITIVE);
        if unloaded_ms > *usual_ms {
            *usual_ms *= USUAL_STEP;
        } else {
            *usual_ms /= USUAL_STEP;
        }
        self.record_ratio(ratio, now);
    }

    /// Returns the usual milliseconds of an answer of a plain service; 0 before the first one.
    pub fn usual_ms(&self) -> f64 {
        self.usual_ms.unwrap_or_default()
    }

    /// Returns the pace by this entry's samples; 1 without new ones.
    pub fn own(&self, now: Duration) -> f64 {
        let Some(sampled_at) = self.sampled_at else {
            return RANGE.0;
        };
        let [newest, previous] = self.ratios;
        let age = now.saturating_sub(sampled_at);
        let complete = decay(confirm(newest, previous), age);
        let running = if self.streams > 0 && age < MAX_AGE {
            let open = now.saturating_sub(self.passed_at);
            confirm(self.prediction.ratio(open, 1, self.unread), newest)
        } else {
            RANGE.0
        };
        complete.max(running).clamp(RANGE.0, RANGE.1)
    }

    /// Returns the pace by this entry's samples and, if they are not new, what others say.
    pub fn with_peers(&self, peers: f64, now: Duration) -> f64 {
        let own = self.own(now);
        let is_new = self
            .sampled_at
            .is_some_and(|sampled_at| now < sampled_at + OWN_AGE);
        if is_new { own } else { own.max(peers) }
    }

    fn record_pass(&mut self, prediction: Prediction, unread: u32, now: Duration) {
        if !is_same_pass(self.passed_at, &prediction, now) {
            self.passed_at = now;
            self.read = self.unread.max(unread);
            self.unread = unread;
        }
        self.prediction = prediction;
    }

    fn record_ratio(&mut self, ratio: f64, now: Duration) {
        let is_outdated = self.sampled_at.is_none_or(|at| now >= at + MAX_AGE);
        let previous = if is_outdated { RANGE.0 } else { self.ratios[0] };
        self.ratios = [ratio, previous];
        self.sampled_at = Some(now);
    }
}

/// Returns the pace by a sample and the one before it: the smaller one, or a share of the excess of the newer one.
fn confirm(newest: f64, previous: f64) -> f64 {
    let unconfirmed = RANGE.0 + (newest - RANGE.0) * UNCONFIRMED_WEIGHT;
    newest.min(previous.max(unconfirmed))
}

fn is_same_pass(at: Duration, prediction: &Prediction, now: Duration) -> bool {
    millis(now.saturating_sub(at)) < prediction.pass_ms * SAME_PASS_SHARE
}

/// Returns a pace that is `age` old, moved towards 1.
pub fn decay(pace: f64, age: Duration) -> f64 {
    let weight = 1.0 - age.div_duration_f64(MAX_AGE).min(1.0);
    RANGE.0 + (pace - RANGE.0) * weight
}

/// Returns the pace in the unit of beacons; `None` if other entries need not know it.
pub fn encode(pace: f64) -> Option<u8> {
    // Conversions from floating point numbers saturate.
    (pace >= MIN_SHARED).then_some((pace * UNITS).round() as u8)
}

/// Returns the pace of a beacon.
pub fn decode(units: u8) -> f64 {
    (f64::from(units) / UNITS).clamp(RANGE.0, RANGE.1)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
