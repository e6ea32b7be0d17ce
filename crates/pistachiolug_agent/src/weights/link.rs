//! Pacing of transfers by what calls leave over on the instance's link.

use std::{fs, time::Duration};

use pistachiolug_weights::{
    shaping::{Controller, Sample, logistic::Logistic},
    swarm::Swarm,
};
use tokio::time::{Instant, sleep};

/// Interval between two updates of the rates.
const INTERVAL: Duration = Duration::from_millis(100);

/// Counters of the machine's network interfaces.
const COUNTERS: &str = "/proc/net/dev";

/// Column of the received bytes after the interface's name.
const RECEIVED: usize = 0;

/// Column of the sent bytes.
const SENT: usize = 8;

/// Bytes on the link since the start of the machine, both ways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Received by all interfaces but loopback.
    pub down: u64,
    /// Sent by them.
    pub up: u64,
}

/// One direction of the link.
struct Direction {
    controller: Logistic,
    total: u64,
    transfers: u64,
}

/// Sums the counters of all interfaces but loopback; lines of another shape count nothing.
pub fn parse(counters: &str) -> Bytes {
    let rows = counters.lines().filter_map(|line| line.split_once(':'));
    let mut bytes = Bytes::default();
    for (_, row) in rows.filter(|(name, _)| name.trim() != "lo") {
        let columns: Vec<u64> = row
            .split_whitespace()
            .filter_map(|column| column.parse().ok())
            .collect();
        bytes.down += columns.get(RECEIVED).copied().unwrap_or(0);
        bytes.up += columns.get(SENT).copied().unwrap_or(0);
    }
    bytes
}

/// Keeps the rates of the link in line with the calls on it until the process stops.
pub async fn run<S: Send + Sync + 'static>(swarm: Swarm<S>, capacity: u64) {
    let now = read();
    let mut down = Direction::new(now.down);
    let mut up = Direction::new(now.up);
    let mut last = Instant::now();
    loop {
        sleep(INTERVAL).await;
        let within = last.elapsed();
        last = Instant::now();
        let now = read();
        let rate = down.update(now.down, swarm.download_bucket().taken(), capacity, within);
        swarm.download_bucket().set_rate(rate);
        let rate = up.update(now.up, swarm.upload_bucket().taken(), capacity, within);
        swarm.upload_bucket().set_rate(rate);
    }
}

impl Direction {
    fn new(total: u64) -> Self {
        Self {
            controller: Logistic::default(),
            total,
            transfers: 0,
        }
    }

    /// Returns the rate of transfers in bytes a second.
    fn update(&mut self, total: u64, transfers: u64, capacity: u64, within: Duration) -> u64 {
        let room = capacity as f64 * within.as_secs_f64();
        let passed = total.saturating_sub(self.total) as f64;
        let moved = transfers.saturating_sub(self.transfers) as f64;
        self.total = total;
        self.transfers = transfers;
        let share = self.controller.update(Sample {
            total: passed.max(moved) / room,
            transfers: moved / room,
        });
        ((capacity as f64 * share) as u64).max(1)
    }
}

fn read() -> Bytes {
    let counters = fs::read_to_string(COUNTERS).unwrap_or_default();
    parse(&counters)
}
