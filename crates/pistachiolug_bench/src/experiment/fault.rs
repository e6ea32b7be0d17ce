//! Faults that an experiment brings about.

use std::{io, time::Duration};

use http::Method;
use pistachiolug_wire::instance::State;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until, timeout};

use crate::rig::deployment::Deployment;

/// Longest time an operator's edit may take before the next fault is due.
const EDIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Process that a fault meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Agent by index.
    Agent(usize),
    /// Backend server by its agent's index.
    Backend(usize),
    /// Entry by index.
    Entry(usize),
    /// Key-value stand-in.
    KeyValue,
    /// Instance list stand-in.
    Directory,
    /// Origin stand-in.
    Origin,
}

/// What happens to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Ends the process at once.
    Kill(Target),
    /// Asks the process to stop in order.
    Terminate(Target),
    /// Freezes the process.
    Freeze(Target),
    /// Lets a frozen process run again.
    Thaw(Target),
    /// Starts a process again at the same addresses.
    Restart(Target),
    /// Shows an agent as leaving in the instance list.
    Leave(usize),
    /// Asks for a new version of the model, with weights of its own.
    Version(String),
    /// Changes the trial plan's share.
    Share(u32),
    /// Sends a control order to a stand-in.
    Control(ControlRequest),
}

/// Control order to a stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    /// Stand-in.
    pub target: Target,
    /// Path below `/control/`.
    pub path: String,
    /// JSON body.
    pub body: serde_json::Value,
}

/// Action at a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time since the load's start, in seconds.
    pub at_s: f64,
    /// Action.
    pub action: Action,
}

/// Brings about all faults at their times.
///
/// # Errors
/// Returns the first error of a process or stand-in.
pub async fn run(
    deployment: &mut Deployment,
    faults: &[TimedFault],
    start: Instant,
) -> io::Result<()> {
    for fault in faults {
        sleep_until(start + Duration::from_secs_f64(fault.at_s)).await;
        apply(deployment, &fault.action).await?;
    }
    Ok(())
}

async fn apply(deployment: &mut Deployment, action: &Action) -> io::Result<()> {
    match action {
        Action::Kill(target) => kill(deployment, *target),
        Action::Terminate(target) => signal(deployment, *target, "TERM"),
        Action::Freeze(target) => signal(deployment, *target, "STOP"),
        Action::Thaw(target) => signal(deployment, *target, "CONT"),
        Action::Restart(target) => restart(deployment, *target),
        Action::Leave(index) => {
            deployment.agents[*index].state = State::Leaving;
            deployment.publish_instances().await
        }
        Action::Version(version) => {
            edit(deployment.roll_out(version)).await;
            Ok(())
        }
        Action::Share(share) => {
            edit(deployment.write_share("trial", *share)).await;
            Ok(())
        }
        Action::Control(order) => control(deployment, order).await,
    }
}

/// Makes an operator's edit, which fails while another fault holds the platform's services; the run goes on then.
async fn edit(change: impl Future<Output = io::Result<()>>) {
    match timeout(EDIT_TIMEOUT, change).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(error:% = error; "edit failed"),
        Err(_) => log::warn!("edit timed out"),
    }
}

fn kill(deployment: &mut Deployment, target: Target) -> io::Result<()> {
    process(deployment, target)?.kill().map(drop)
}

fn signal(deployment: &mut Deployment, target: Target, name: &str) -> io::Result<()> {
    process(deployment, target)?.signal(name)
}

fn restart(deployment: &mut Deployment, target: Target) -> io::Result<()> {
    process(deployment, target)?.restart()
}

async fn control(deployment: &Deployment, order: &ControlRequest) -> io::Result<()> {
    let address = match order.target {
        Target::Agent(index) => Some(deployment.agents[index].internal),
        Target::Entry(index) => Some(deployment.entries[index].internal),
        Target::Backend(index) => deployment.agents[index].backend,
        Target::KeyValue => Some(deployment.kv),
        Target::Directory => Some(deployment.directory),
        Target::Origin => Some(deployment.origin),
    };
    let address = address.ok_or_else(|| unknown(order.target))?;
    let path = format!("/control/{}", order.path);
    let body = order.body.to_string();
    let sent = deployment
        .http
        .send(Method::POST, address, &path, None, body);
    sent.await.map(drop).map_err(io::Error::other)
}

fn process(
    deployment: &mut Deployment,
    target: Target,
) -> io::Result<&mut crate::rig::process::Process> {
    let found = match target {
        Target::Agent(index) => deployment
            .agents
            .get_mut(index)
            .map(|agent| &mut agent.process),
        Target::Entry(index) => deployment
            .entries
            .get_mut(index)
            .map(|entry| &mut entry.process),
        Target::Backend(index) => deployment
            .agents
            .get_mut(index)
            .and_then(|agent| agent.backend_process.as_mut()),
        Target::KeyValue => deployment.platform.first_mut(),
        Target::Directory => deployment.platform.get_mut(1),
        Target::Origin => deployment.platform.get_mut(2),
    };
    found.ok_or_else(|| unknown(target))
}

fn unknown(target: Target) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no process {target:?}"))
}
