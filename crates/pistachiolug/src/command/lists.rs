//! `lists`: shows which revisions of the lists are in force, by region and zone.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use pistachiolug_lists::row;
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::instance::Place;
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    args,
    exit::Exit,
    fleet::{self, Member},
    operator::Operator,
    output,
};

/// Interval between two reads of the instances while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Revisions in force in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Number of instances whose revision is known.
    pub instances: usize,
    /// Number of instances whose state or revision could not be read.
    pub silent: usize,
    /// Oldest revision that is in force at an instance; 0 if none is known.
    pub oldest: u64,
    /// Newest revision that is in force at an instance; 0 if none is known.
    pub newest: u64,
}

/// Oldest and newest revision of the lists in force in each zone of the deployment, and whether the expected revision
/// is in force at all instances.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Expected revision; `None` if the command line gives none and the key-value service does not answer.
    pub accepted: Option<u64>,
    /// Whether all instances are known to have this or a newer revision; `false` if an instance's revision is unknown.
    pub in_force: bool,
    /// One row for each zone.
    pub places: Vec<Row>,
}

/// Shows the revisions, after waiting for the expected one if the flags say so.
pub fn run(flags: &args::Lists) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        let max_wait = Duration::from_secs(flags.wait.unwrap_or(0));
        match wait(&operator, flags.revision, max_wait).await {
            Ok(report) => show(&report, flags),
            Err(error) => output::fail(Exit::Unavailable, &error),
        }
    })
}

/// Waits at most `seconds` until a revision is in force everywhere; prints the report if it is not.
pub(super) async fn wait_for(operator: &Operator, revision: u64, seconds: u64) -> Exit {
    let result = wait(operator, Some(revision), Duration::from_secs(seconds)).await;
    match result {
        Ok(report) if report.in_force => Exit::Done,
        Ok(report) => output::fail(Exit::TimedOut, &render(&report)),
        Err(error) => output::fail(Exit::Unavailable, &error),
    }
}

/// Reads the revisions until the expected one is in force everywhere or `max_wait` has passed.
async fn wait(
    operator: &Operator,
    expected: Option<u64>,
    max_wait: Duration,
) -> Result<Report, String> {
    let start = Instant::now();
    loop {
        let report = read_report(operator, expected).await?;
        if report.in_force || start.elapsed() >= max_wait {
            return Ok(report);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the revisions once.
async fn read_report(operator: &Operator, expected: Option<u64>) -> Result<Report, String> {
    let members = fleet::read(operator).await;
    let members = members.map_err(|error| error.to_string())?;
    // The key-value service may be unavailable; the revisions in force are useful then as well.
    let accepted = match expected {
        Some(revision) => Some(revision),
        None => newest_revision(operator).await,
    };
    Ok(summarize(&members, accepted))
}

/// Returns the revision of the newest row in the key-value service; `None` if the service does not answer.
///
/// A deletion leaves no row, so this does not show the revision of a later deletion. `--revision` gives that one.
async fn newest_revision(operator: &Operator) -> Option<u64> {
    let range = operator.store.range(row::PREFIX).await.ok()?;
    Some(
        range
            .entries
            .iter()
            .map(|entry| entry.revision)
            .max()
            .unwrap_or(0),
    )
}

/// Groups the instances by zone and compares their revisions with the expected one.
pub fn summarize(members: &[Member], accepted: Option<u64>) -> Report {
    let mut places: BTreeMap<&Place, Vec<&Member>> = BTreeMap::new();
    for member in members {
        let place = &member.instance.place;
        places.entry(place).or_default().push(member);
    }
    let places: Vec<Row> = places
        .into_iter()
        .map(|(place, members)| summarize_zone(place, &members))
        .collect();
    // An instance whose revision is unknown may have older lists.
    let has_revision = |row: &Row, revision| row.silent == 0 && row.oldest >= revision;
    let in_force = accepted.is_some_and(|revision| {
        !places.is_empty() && places.iter().all(|row| has_revision(row, revision))
    });
    Report {
        accepted,
        in_force,
        places,
    }
}

/// Summarizes the instances of one zone.
fn summarize_zone(place: &Place, members: &[&Member]) -> Row {
    let revisions: Vec<u64> = members
        .iter()
        .filter_map(|member| member.revision())
        .collect();
    Row {
        region: place.region.clone(),
        zone: place.zone.clone(),
        instances: revisions.len(),
        silent: members.len() - revisions.len(),
        oldest: revisions.iter().copied().min().unwrap_or(0),
        newest: revisions.iter().copied().max().unwrap_or(0),
    }
}

/// Prints the report; the exit code says whether a requested wait was successful.
fn show(report: &Report, flags: &args::Lists) -> Exit {
    if flags.json {
        output::print_json(report);
    } else {
        output::print(&render(report));
    }
    if flags.wait.is_some() && !report.in_force {
        return output::fail(Exit::TimedOut, "not in force everywhere yet");
    }
    Exit::Done
}

/// Renders the report as a table.
fn render(report: &Report) -> String {
    let rows: Vec<Vec<String>> = report
        .places
        .iter()
        .map(|row| {
            vec![
                row.region.clone(),
                row.zone.clone(),
                row.instances.to_string(),
                row.silent.to_string(),
                row.oldest.to_string(),
                row.newest.to_string(),
            ]
        })
        .collect();
    let titles = ["REGION", "ZONE", "INSTANCES", "SILENT", "OLDEST", "NEWEST"];
    let accepted = match report.accepted {
        Some(revision) => format!("accepted revision {revision}"),
        None => "key-value service does not answer".to_owned(),
    };
    format!("{accepted}\n{}", output::table(&titles, &rows))
}
