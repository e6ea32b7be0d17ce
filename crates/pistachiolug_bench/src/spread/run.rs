//! Measurement of one spread.

use std::{io, time::Duration};

use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::cluster::{Cluster, Size, Topology, weights};

/// Figures of one spread.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Report {
    /// Number of members that finished.
    pub members: usize,
    /// Seconds from the start of the pulls to the end of the last one.
    pub seconds: f64,
    /// Lower bound in seconds: the time that one copy takes on the slowest link.
    pub bound: f64,
    /// Number of bytes that the origin sent, in copies of the version.
    pub origin_copies: f64,
    /// Largest number of bytes that a member sent, in copies of the version.
    pub largest_upload: f64,
}

/// Members to kill during a spread.
#[derive(Debug, Clone, Copy, Default)]
pub struct Kill {
    /// Number of members to kill.
    pub members: usize,
    /// Time from the start of the pulls to the kill.
    pub after: Duration,
}

/// Spreads a version drawn from `seed` to all members, kills some on the way, and returns the figures.
///
/// # Errors
/// Returns the error of a start or of a pull.
pub async fn run(size: Size, topology: Topology, kill: Kill, seed: u64) -> io::Result<Report> {
    let cluster = Cluster::start(size, topology)?;
    let target = cluster.upload("v1", &weights(seed, size.bytes));
    let start = Instant::now();
    let pulls: Vec<_> = (0..size.members)
        .map(|index| cluster.pull(index, &target))
        .collect();
    if let Some(stride) = size.members.checked_div(kill.members) {
        sleep(kill.after).await;
        for victim in 0..kill.members {
            pulls[victim * stride].abort();
            cluster.members[victim * stride].stop();
        }
    }
    let mut finished = 0;
    for pull in pulls {
        match pull.await {
            Ok(result) => {
                result.map_err(io::Error::other)?;
                finished += 1;
            }
            Err(error) if error.is_cancelled() => {}
            Err(error) => return Err(io::Error::other(error)),
        }
    }
    Ok(Report {
        members: finished,
        seconds: start.elapsed().as_secs_f64(),
        bound: bound(size),
        origin_copies: cluster.origin_copies(size.bytes),
        largest_upload: cluster.largest_upload(size.bytes),
    })
}

fn bound(size: Size) -> f64 {
    let seconds = |rate: u64| {
        if rate == 0 {
            return 0.0;
        }
        size.bytes as f64 / rate as f64
    };
    seconds(size.origin_rate).max(seconds(size.link_rate))
}
