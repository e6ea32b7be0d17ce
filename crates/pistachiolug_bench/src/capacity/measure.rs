//! Measurement of a deployment that serves no calls, with or without list changes.

use std::{io, time::Duration};

use pistachiolug_lists::{customer::Customer, row::Kind};
use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::traffic::{self, Traffic};
use crate::{
    experiment::usage::Usage,
    rig::deployment::{Daemon, Deployment, Size},
};

/// Wait before the measurement, so that the start of the deployment is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Length of the weights in bytes; the cost of control does not depend on it.
const WEIGHTS_BYTES: usize = 256 << 10;

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// Number of agents, all of one service.
    pub agents: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of rows of the customers list.
    pub customers: usize,
    /// List changes per second; 0 means none.
    pub changes_per_s: f64,
    /// Length of the measurement in seconds.
    pub seconds: u64,
}

/// Mean and largest cost of the processes of one role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Mean processor time, in percent of one core.
    pub core_percent: f64,
    /// Largest processor time of a process, in percent of one core.
    pub core_percent_most: f64,
    /// Mean resident memory at the end, in MiB.
    pub resident_mib: f64,
    /// Largest resident memory of a process at the end, in MiB.
    pub resident_mib_most: f64,
    /// Mean control traffic, sent and received, in kB per second.
    pub kb_per_s: f64,
    /// Largest control traffic of a process, sent and received, in kB per second.
    pub kb_per_s_most: f64,
    /// Mean number of control messages per second.
    pub messages_per_s: f64,
}

/// Costs that were measured in one case.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Parameters of the measurement.
    pub case: Case,
    /// Cost of the agents.
    pub agent: Cost,
    /// Cost of the entries.
    pub entry: Cost,
}

/// Counters of one process at one moment.
#[derive(Debug, Clone, Copy)]
struct Reading {
    usage: Usage,
    traffic: Traffic,
}

/// Measures one case.
///
/// # Errors
/// Returns the first error of a process, request or list change.
pub async fn run(case: Case) -> io::Result<Row> {
    let deployment = Deployment::start(&size(case)).await?;
    deployment.prepare("v1").await?;
    for index in 0..case.customers {
        write_customer(&deployment, index, 0).await?;
    }
    sleep(SETTLE_TIME).await;
    let agents = read_all(&deployment, &deployment.agents).await;
    let entries = read_all(&deployment, &deployment.entries).await;
    let start = Instant::now();
    run_changes(&deployment, case, start).await?;
    let elapsed = start.elapsed().as_secs_f64();
    let agents_after = read_all(&deployment, &deployment.agents).await;
    let entries_after = read_all(&deployment, &deployment.entries).await;
    Ok(Row {
        case,
        agent: cost(&agents, &agents_after, elapsed),
        entry: cost(&entries, &entries_after, elapsed),
    })
}

fn size(case: Case) -> Size {
    Size {
        weights_bytes: WEIGHTS_BYTES,
        ..Size::new(case.agents, 0, case.entries)
    }
}

/// Changes customer rows at the rate of the case until its time is over.
async fn run_changes(deployment: &Deployment, case: Case, start: Instant) -> io::Result<()> {
    let duration = Duration::from_secs(case.seconds);
    if case.changes_per_s <= 0.0 {
        sleep(duration).await;
        return Ok(());
    }
    let interval = Duration::from_secs_f64(1.0 / case.changes_per_s);
    let mut number = 0;
    while start.elapsed() < duration {
        number += 1;
        write_customer(deployment, number % case.customers.max(1), number as u64).await?;
        sleep(interval).await;
    }
    Ok(())
}

async fn write_customer(deployment: &Deployment, index: usize, limit: u64) -> io::Result<()> {
    let name = format!("customer-{index:05}");
    let customer = Customer {
        keys: vec![Digest::of(name.as_bytes())],
        name: name.clone(),
        plan: "paid".to_owned(),
        tokens_per_minute: limit,
    };
    deployment
        .write_row(Kind::Customers, &name, &customer)
        .await
}

/// Reads the counters of all processes; those that can't be read count as zero.
async fn read_all(deployment: &Deployment, daemons: &[Daemon]) -> Vec<Reading> {
    let mut readings = Vec::with_capacity(daemons.len());
    for daemon in daemons {
        let traffic = traffic::read(&deployment.http, daemon.internal).await;
        readings.push(Reading {
            usage: Usage::of(daemon.process.id()).unwrap_or_default(),
            traffic: traffic.unwrap_or_default(),
        });
    }
    readings
}

fn cost(before: &[Reading], after: &[Reading], elapsed: f64) -> Cost {
    let pairs = || before.iter().zip(after);
    let core = pairs().map(|(before, after)| {
        (after.usage.processor_s - before.usage.processor_s) / elapsed * 100.0
    });
    let bytes = pairs().map(|(before, after)| {
        let sent = after.traffic.sent.saturating_sub(before.traffic.sent);
        let received = after
            .traffic
            .received
            .saturating_sub(before.traffic.received);
        (sent + received) as f64 / elapsed / 1_000.0
    });
    let messages = pairs().map(|(before, after)| {
        after
            .traffic
            .messages
            .saturating_sub(before.traffic.messages) as f64
            / elapsed
    });
    let resident = after
        .iter()
        .map(|reading| reading.usage.resident_bytes as f64 / f64::from(1 << 20));
    let (core_percent, core_percent_most) = mean_and_max(core);
    let (resident_mib, resident_mib_most) = mean_and_max(resident);
    let (kb_per_s, kb_per_s_most) = mean_and_max(bytes);
    Cost {
        core_percent,
        core_percent_most,
        resident_mib,
        resident_mib_most,
        kb_per_s,
        kb_per_s_most,
        messages_per_s: mean_and_max(messages).0,
    }
}

/// Returns the mean and the largest value; 0 for no values.
fn mean_and_max(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    (mean, values.iter().copied().fold(0.0, f64::max))
}
