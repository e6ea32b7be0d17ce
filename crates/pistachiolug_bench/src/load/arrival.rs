//! Poisson arrivals from a seeded generator.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Arrival times of one stream of requests.
#[derive(Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    /// Requests per second.
    rate: f64,
    /// Time of the last arrival since the start of the run.
    last: Duration,
    /// Time since the start of the run at which arrivals end.
    until: Duration,
}

impl Arrivals {
    /// Creates arrivals at a mean of `rate` per second between two times since the start of the run.
    pub fn new(random: ChaCha8Rng, rate: f64, from: Duration, until: Duration) -> Self {
        Self {
            random,
            rate,
            last: from,
            until,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        self.last += Duration::from_secs_f64(-uniform.ln() / self.rate);
        (self.last < self.until).then_some(self.last)
    }
}
