//! Faults of an experiment and how they are caused.

use std::{io, time::Duration};

use http::Method;
use pistachiolug_wire::instance::State;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until, timeout};

use crate::rig::deployment::Deployment;

/// Time after which a list change is abandoned, so that it does not delay the next fault.
const EDIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Process that a fault hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Agent with this index.
    Agent(usize),
    /// Backend server of the agent with this index.
    Backend(usize),
    /// Entry with this index.
    Entry(usize),
    /// Stand-in of the key-value service.
    KeyValue,
    /// Stand-in of the instance list service.
    Directory,
    /// Stand-in of the origin.
    Origin,
}

/// Action of an experiment, such as a fault or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Kills the process with SIGKILL.
    Kill(Target),
    /// Asks the process to shut down, with SIGTERM.
    Terminate(Target),
    /// Freezes the process, with SIGSTOP.
    Freeze(Target),
    /// Lets a frozen process run again, with SIGCONT.
    Thaw(Target),
    /// Restarts a process with the same arguments and addresses.
    Restart(Target),
    /// Marks the agent with this index as leaving in the instance list.
    Leave(usize),
    /// Uploads new weights and asks for a new version of the model.
    Version(String),
    /// Changes the share of the trial plan.
    Share(u32),
    /// Sends a control request to a stand-in.
    Control(ControlRequest),
}

/// Control request to a stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    /// Stand-in that receives it.
    pub target: Target,
    /// Path below `/control/`.
    pub path: String,
    /// JSON body.
    pub body: serde_json::Value,
}

/// Action with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Action to carry out.
    pub action: Action,
}

/// Carries out all actions at their times.
///
/// # Errors
/// Returns the first error of a process or control request. A list change that fails is only logged.
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
            change_lists(deployment.roll_out(version)).await;
            Ok(())
        }
        Action::Share(share) => {
            change_lists(deployment.write_share("trial", *share)).await;
            Ok(())
        }
        Action::Control(request) => control(deployment, request).await,
    }
}

/// Changes the lists. This may fail while another fault affects the platform's services; the run goes on then.
async fn change_lists(change: impl Future<Output = io::Result<()>>) {
    match timeout(EDIT_TIMEOUT, change).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(error:% = error; "list change failed"),
        Err(_) => log::warn!("list change timed out"),
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

async fn control(deployment: &Deployment, request: &ControlRequest) -> io::Result<()> {
    let address = match request.target {
        Target::Agent(index) => Some(deployment.agents[index].internal),
        Target::Entry(index) => Some(deployment.entries[index].internal),
        Target::Backend(index) => deployment.agents[index].backend,
        Target::KeyValue => Some(deployment.kv),
        Target::Directory => Some(deployment.directory),
        Target::Origin => Some(deployment.origin),
    };
    let address = address.ok_or_else(|| no_process(request.target))?;
    let path = format!("/control/{}", request.path);
    let body = request.body.to_string();
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
    found.ok_or_else(|| no_process(target))
}

fn no_process(target: Target) -> io::Error {
    io::Error::new(
        io::ErrorKind::NotFound,
        format!("the deployment has no process for {target:?}"),
    )
}
