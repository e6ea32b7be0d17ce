//! One measured spread.

use std::{io, time::Duration};

use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::cluster::{Cluster, Size, Topology, weights};

/// What one spread took.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Report {
    /// Members that finished.
    pub members: usize,
    /// Seconds from the first start to the last end.
    pub seconds: f64,
    /// Seconds that the slowest link needs at least.
    pub bound: f64,
    /// Copies that the origin sent.
    pub origin_copies: f64,
    /// Copies that the busiest member sent.
    pub largest_upload: f64,
}

/// Members to kill during a spread.
#[derive(Debug, Clone, Copy, Default)]
pub struct Kill {
    /// Number of members.
    pub members: usize,
    /// Time of the kill after the start.
    pub after: Duration,
}

/// Spreads a version drawn from `seed` to all members and measures it.
///
/// # Errors
/// Returns the error of a start, or of a pull.
pub async fn run(size: Size, topology: Topology, kill: Kill, seed: u64) -> io::Result<Report> {
    let cluster = Cluster::start(size, topology)?;
    let want = cluster.upload("v1", &weights(seed, size.bytes));
    let start = Instant::now();
    let pulls: Vec<_> = (0..size.members)
        .map(|index| cluster.pull(index, &want))
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
            Ok(ended) => {
                ended.map_err(io::Error::other)?;
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
