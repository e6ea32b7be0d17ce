//! Poisson arrivals from a seeded generator.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Arrival times of one stream of requests.
#[derive(Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    /// Requests a second.
    rate: f64,
    /// Time of the last arrival; only grows.
    last: Duration,
    until: Duration,
}

impl Arrivals {
    /// Creates arrivals at `rate` a second between two times.
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
