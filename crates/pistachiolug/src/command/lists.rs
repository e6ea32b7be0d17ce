//! `lists`: the revision of the lists that is in force, per place.

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

/// Wait between two looks at the instances.
const POLL: Duration = Duration::from_millis(500);

/// Revisions in force at one place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Instances that gave their state.
    pub instances: usize,
    /// Instances that gave none.
    pub silent: usize,
    /// Oldest revision in force at one of them.
    pub oldest: u64,
    /// Newest revision in force at one of them.
    pub newest: u64,
}

/// Revisions in force everywhere.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Revision that is looked for; `None` when none was named and the key-value service does not answer.
    pub accepted: Option<u64>,
    /// Whether every instance of the list holds it; one that gives no state is not known to.
    pub in_force: bool,
    /// One row per place.
    pub places: Vec<Row>,
}

/// Runs the command.
pub fn run(flags: &args::Lists) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        let within = Duration::from_secs(flags.wait.unwrap_or(0));
        match wait(&operator, flags.revision, within).await {
            Ok(report) => show(&report, flags),
            Err(error) => output::fail(Exit::Unavailable, &error),
        }
    })
}

/// Waits until a revision is in force everywhere.
pub(super) async fn wait_for(operator: &Operator, revision: u64, seconds: u64) -> Exit {
    let waited = wait(operator, Some(revision), Duration::from_secs(seconds)).await;
    match waited {
        Ok(report) if report.in_force => Exit::Done,
        Ok(report) => output::fail(Exit::TimedOut, &text(&report)),
        Err(error) => output::fail(Exit::Unavailable, &error),
    }
}

async fn wait(
    operator: &Operator,
    wanted: Option<u64>,
    within: Duration,
) -> Result<Report, String> {
    let start = Instant::now();
    loop {
        let report = read(operator, wanted).await?;
        if report.in_force || start.elapsed() >= within {
            return Ok(report);
        }
        sleep(POLL).await;
    }
}

async fn read(operator: &Operator, wanted: Option<u64>) -> Result<Report, String> {
    let members = fleet::read(operator).await;
    let members = members.map_err(|error| error.to_string())?;
    // During an outage the revisions in force are still worth showing.
    let accepted = match wanted {
        Some(revision) => Some(revision),
        None => accepted(operator).await,
    };
    Ok(summarize(&members, accepted))
}

/// Returns the revision of the newest row; a later deletion leaves none, so `--revision` names that one.
async fn accepted(operator: &Operator) -> Option<u64> {
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

/// Sums up the instances by place.
pub fn summarize(members: &[Member], accepted: Option<u64>) -> Report {
    let mut places: BTreeMap<&Place, Vec<&Member>> = BTreeMap::new();
    for member in members {
        let place = &member.instance.place;
        places.entry(place).or_default().push(member);
    }
    let places: Vec<Row> = places
        .into_iter()
        .map(|(place, members)| place_row(place, &members))
        .collect();
    // An instance that gives no state may hold older lists.
    let holds = |row: &Row, revision| row.silent == 0 && row.oldest >= revision;
    let in_force = accepted.is_some_and(|revision| {
        !places.is_empty() && places.iter().all(|row| holds(row, revision))
    });
    Report {
        accepted,
        in_force,
        places,
    }
}

fn place_row(place: &Place, members: &[&Member]) -> Row {
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

fn show(report: &Report, flags: &args::Lists) -> Exit {
    if flags.json {
        output::print_json(report);
    } else {
        output::print(&text(report));
    }
    if flags.wait.is_some() && !report.in_force {
        return output::fail(Exit::TimedOut, "not in force everywhere yet");
    }
    Exit::Done
}

fn text(report: &Report) -> String {
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
