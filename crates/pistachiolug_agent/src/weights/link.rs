//! Pacing of weight transfers: they may use the part of the instance's link that calls leave free.

use std::{fs, time::Duration};

use pistachiolug_weights::{
    shaping::{Controller, Sample, logistic::Logistic},
    swarm::Swarm,
};
use tokio::time::{Instant, sleep};

/// Interval between two updates of the download and upload rates of weight transfers.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// File with the counters of the machine's network interfaces.
const COUNTERS_PATH: &str = "/proc/net/dev";

/// Column of the received bytes, counted from the one after the interface's name.
const RECEIVED_COLUMN: usize = 0;

/// Column of the sent bytes, counted likewise.
const SENT_COLUMN: usize = 8;

/// Bytes that passed the link in both directions since the machine started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// Bytes received by all interfaces but loopback.
    pub down: u64,
    /// Bytes sent by all interfaces but loopback.
    pub up: u64,
}

/// Rate control of one direction of the link.
struct Direction {
    controller: Logistic,
    total: u64,
    transfers: u64,
}

/// Sums the counters of all interfaces but loopback; a line in another format adds nothing.
pub fn parse(counters: &str) -> ByteCounts {
    let rows = counters.lines().filter_map(|line| line.split_once(':'));
    let mut bytes = ByteCounts::default();
    for (_, row) in rows.filter(|(name, _)| name.trim() != "lo") {
        let columns: Vec<u64> = row
            .split_whitespace()
            .filter_map(|column| column.parse().ok())
            .collect();
        bytes.down += columns.get(RECEIVED_COLUMN).copied().unwrap_or(0);
        bytes.up += columns.get(SENT_COLUMN).copied().unwrap_or(0);
    }
    bytes
}

/// Adjusts the rates of transfers to the traffic of calls on the link, until the process stops.
///
/// `capacity` is that of the link in bytes per second, for each direction.
pub async fn run<S: Send + Sync + 'static>(swarm: Swarm<S>, capacity: u64) {
    let now = read_counters();
    let mut down = Direction::new(now.down);
    let mut up = Direction::new(now.up);
    let mut last = Instant::now();
    loop {
        sleep(UPDATE_INTERVAL).await;
        let elapsed = last.elapsed();
        last = Instant::now();
        let now = read_counters();
        let rate = down.update(now.down, swarm.download_bucket().taken(), capacity, elapsed);
        swarm.download_bucket().set_rate(rate);
        let rate = up.update(now.up, swarm.upload_bucket().taken(), capacity, elapsed);
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

    /// Returns the new rate of transfers in bytes per second.
    fn update(&mut self, total: u64, transfers: u64, capacity: u64, elapsed: Duration) -> u64 {
        let available_bytes = capacity as f64 * elapsed.as_secs_f64();
        let link_bytes = total.saturating_sub(self.total) as f64;
        let transfer_bytes = transfers.saturating_sub(self.transfers) as f64;
        self.total = total;
        self.transfers = transfers;
        let share = self.controller.update(Sample {
            total: link_bytes.max(transfer_bytes) / available_bytes,
            transfers: transfer_bytes / available_bytes,
        });
        ((capacity as f64 * share) as u64).max(1)
    }
}

fn read_counters() -> ByteCounts {
    let counters = fs::read_to_string(COUNTERS_PATH).unwrap_or_default();
    parse(&counters)
}
