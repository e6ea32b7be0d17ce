//! Run of an experiment: starts a deployment, applies load and faults, reads the records and checks the invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use pistachiolug_wire::digest::Digest;
use tokio::{sync::mpsc, time::sleep};

use super::{
    check,
    document::Document,
    fault::{self, Action},
    record,
    result::{Bookings, Outcome},
    usage::Usage,
    watch::{self, Sighting},
};
use crate::{
    load::{caller::Caller, plan, runner, sample::Sample, summary},
    rig::{
        deployment::{Deployment, PAID_KEY, Size, TRIAL_KEY},
        operator,
    },
};

/// Version of the model that a run starts with.
const FIRST_VERSION: &str = "v1";

/// Wait before the load, in which membership and lists settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Wait after the load, in which the last list changes may still come into force.
const LIST_CHANGE_GRACE: Duration = Duration::from_secs(2);

/// Result with the samples that it was computed from.
#[derive(Debug)]
pub struct Run {
    /// Figures and violations.
    pub outcome: Outcome,
    /// Samples, in no particular order.
    pub samples: Vec<Sample>,
}

/// Runs an experiment on a deployment of its own.
///
/// # Errors
/// Returns the first error of a process, request or list change. Violations are part of the result.
pub async fn run(document: &Document) -> io::Result<Run> {
    let mut deployment = Deployment::start(&size(document)).await?;
    deployment.prepare(FIRST_VERSION).await?;
    sleep(SETTLE_TIME).await;
    let caller = caller(document);
    let planned = plan::build(&document.load, document.seed);
    let entries = targets(&deployment, document);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let watcher = watch::run(
        deployment.http.clone(),
        watch::addresses(&deployment),
        sender,
    );
    let watcher = tokio::spawn(watcher);
    let before = usage(&deployment);
    let start = tokio::time::Instant::now();
    let load = runner::run(&caller, &planned, &entries);
    let faults = fault::run(&mut deployment, &document.faults, start);
    let (samples, faults) = tokio::join!(load, faults);
    faults?;
    let usage_during_load = usage_during(&before, &usage(&deployment));
    sleep(LIST_CHANGE_GRACE).await;
    watcher.abort();
    let mut sightings = Vec::new();
    while let Ok(sighting) = receiver.try_recv() {
        sightings.push(sighting);
    }
    let record = record::read(&deployment).await?;
    let outcome = Outcome {
        document: document.clone(),
        customers: summary::by_customer(&samples),
        usage: usage_during_load,
        bookings: Bookings {
            ran: record.bookings.len() as u64,
            twice: record.bookings.values().filter(|runs| **runs > 1).count() as u64,
        },
        in_force_ms: propagation_times_ms(&sightings),
        origin_copies: record.origin_bytes as f64 / document.deployment.weights_bytes.max(1) as f64,
        violations: check::run(&samples, &record, &sightings, document.allow),
    };
    Ok(Run { outcome, samples })
}

fn caller(document: &Document) -> Caller {
    let caller = Caller::new(keys(), versions(document));
    if document.deployment.direct {
        return caller.with_direct_version(FIRST_VERSION);
    }
    caller
}

fn size(document: &Document) -> Size {
    let sizes = &document.deployment;
    let first = sizes.first_ms.to_string();
    let gap = sizes.gap_ms.to_string();
    let slots = sizes.slots.to_string();
    let engine_args = ["--first-ms", &first, "--gap-ms", &gap, "--slots", &slots];
    Size {
        models: sizes.models,
        plains: sizes.plains,
        entries: sizes.entries,
        engine_args: engine_args.map(str::to_owned).to_vec(),
        origin_rate: sizes.origin_rate,
        weights_bytes: sizes.weights_bytes,
        slots: sizes.slots,
    }
}

/// Returns the addresses that callers send to: those of the entries, or of the engines in a direct run.
fn targets(deployment: &Deployment, document: &Document) -> Vec<SocketAddr> {
    if document.deployment.direct {
        let engines = deployment.agents.iter().filter_map(|agent| agent.backend);
        return engines.collect();
    }
    let entries = deployment.entries.iter().filter_map(|entry| entry.callers);
    entries.collect()
}

fn keys() -> BTreeMap<String, String> {
    [("paid", PAID_KEY), ("trial", TRIAL_KEY)]
        .map(|(name, key)| (name.to_owned(), key.to_owned()))
        .into()
}

/// Returns the digest of the weights of each version that may answer.
fn versions(document: &Document) -> BTreeMap<String, Digest> {
    let later = document
        .faults
        .iter()
        .filter_map(|fault| match &fault.action {
            Action::Version(version) => Some(version.as_str()),
            _ => None,
        });
    let length = document.deployment.weights_bytes;
    std::iter::once(FIRST_VERSION)
        .chain(later)
        .map(|version| {
            let weights = operator::weights(version, length);
            (version.to_owned(), Digest::of(&weights))
        })
        .collect()
}

fn usage(deployment: &Deployment) -> BTreeMap<String, Usage> {
    let daemons = deployment.agents.iter().chain(&deployment.entries);
    daemons
        .filter_map(|daemon| {
            let usage = Usage::of(daemon.process.id()).ok()?;
            Some((daemon.name.clone(), usage))
        })
        .collect()
}

/// Returns what each daemon used between two readings.
fn usage_during(
    before: &BTreeMap<String, Usage>,
    after: &BTreeMap<String, Usage>,
) -> BTreeMap<String, Usage> {
    let usage_since = |name: &String, after: &Usage| {
        let before = before.get(name).map_or(0.0, |usage| usage.processor_s);
        Usage {
            processor_s: (after.processor_s - before).max(0.0),
            ..*after
        }
    };
    after
        .iter()
        .map(|(name, usage)| (name.clone(), usage_since(name, usage)))
        .collect()
}

/// Returns, for each revision that all processes reached, the time from the first process to the last one in
/// milliseconds. The lowest revision is left out, since it was in force before the observation began.
fn propagation_times_ms(sightings: &[Sighting]) -> Vec<u64> {
    let addresses: BTreeSet<SocketAddr> = sightings.iter().map(|seen| seen.address).collect();
    let revisions: BTreeSet<u64> = sightings.iter().map(|seen| seen.revision).collect();
    let reached = |revision: u64| -> Option<Vec<Instant>> {
        let first_at = |address: &SocketAddr| {
            let mut of_process = sightings.iter().filter(|seen| seen.address == *address);
            of_process
                .find(|seen| seen.revision >= revision)
                .map(|seen| seen.at)
        };
        addresses.iter().map(first_at).collect()
    };
    revisions
        .into_iter()
        .skip(1)
        .filter_map(reached)
        .filter_map(|times| {
            let first = times.iter().min()?;
            let last = times.iter().max()?;
            Some((*last - *first).as_millis() as u64)
        })
        .collect()
}
