//! Subcommand that measures spreads and prints one row for each number of members.

use std::{io, time::Duration};

use pistachiolug_weights::planner::policy::Policy;

use super::{
    cluster::{Size, Topology},
    run::{self, Kill, Report},
};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub struct Options {
    /// How members get their chunks: `time-first`, `bytes-first`, `origin` or `chain`.
    pub policy: String,
    /// Numbers of members to measure, separated by commas.
    pub members: String,
    /// Length of the version in bytes.
    pub bytes: usize,
    /// Length of a chunk in bytes.
    pub chunk_bytes: usize,
    /// Rate of the origin's link in bytes per second.
    pub origin_rate: u64,
    /// Rate of each member's link in bytes per second.
    pub link_rate: u64,
    /// Share of the members to kill half way through the spread, in percent.
    pub kill_percent: usize,
    /// Seed of the content of the version.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: "bytes-first".to_owned(),
            members: "1,2,4,8,16,32".to_owned(),
            bytes: 8 << 20,
            chunk_bytes: 32 << 10,
            origin_rate: 8_000_000,
            link_rate: 4_000_000,
            kill_percent: 0,
            seed: 1,
        }
    }
}

/// Runs the spreads one after another and prints their rows.
///
/// # Errors
/// Returns the error of a spread, or `InvalidInput` for an unknown policy or a malformed number of members.
#[allow(clippy::print_stdout)]
pub fn run(options: &Options) -> io::Result<()> {
    let topology = parse_topology(&options.policy)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    println!("policy n finished seconds bound ratio origin_copies largest_upload");
    for members in options.members.split(',') {
        let members: usize = members.parse().map_err(invalid)?;
        let report = runtime.block_on(measure(options, topology, members))?;
        print_row(&options.policy, members, &report);
    }
    Ok(())
}

async fn measure(options: &Options, topology: Topology, members: usize) -> io::Result<Report> {
    let size = Size {
        members,
        bytes: options.bytes,
        chunk_bytes: options.chunk_bytes,
        origin_rate: options.origin_rate,
        link_rate: options.link_rate,
        stall_timeout: Duration::from_secs(1),
        query_interval: Duration::from_millis(20),
    };
    let half_time_s = size.bytes as f64 / size.link_rate.max(1) as f64 / 2.0;
    let kill = Kill {
        members: members * options.kill_percent / 100,
        after: Duration::from_secs_f64(half_time_s),
    };
    run::run(size, topology, kill, options.seed).await
}

#[allow(clippy::print_stdout)]
fn print_row(policy: &str, members: usize, report: &Report) {
    println!(
        "{policy} {members} {} {:.2} {:.2} {:.2} {:.3} {:.2}",
        report.members,
        report.seconds,
        report.bound,
        report.seconds / report.bound,
        report.origin_copies,
        report.largest_upload,
    );
}

fn parse_topology(policy: &str) -> io::Result<Topology> {
    match policy {
        "time-first" => Ok(Topology::Swarm(Policy::TimeFirst)),
        "bytes-first" => Ok(Topology::Swarm(Policy::BytesFirst)),
        "origin" => Ok(Topology::Origin),
        "chain" => Ok(Topology::Chain),
        _ => Err(invalid(format!("unknown policy `{policy}`"))),
    }
}

fn invalid(reason: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, reason.to_string())
}
