//! Records that the stand-ins keep of what ran.

use std::{collections::BTreeMap, io};

use http::Method;
use pistachiolug_standin::plain::Run;

use crate::rig::deployment::Deployment;

/// What the backend servers ran, by their own account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Runs of bookings by idempotency key.
    pub bookings: BTreeMap<String, u64>,
    /// Bytes that the origin sent.
    pub origin_bytes: u64,
}

/// Reads the records of all stand-ins that still answer.
///
/// # Errors
/// Returns the error of a record that is no JSON.
pub async fn read(deployment: &Deployment) -> io::Result<Record> {
    let mut record = Record::default();
    for agent in deployment
        .agents
        .iter()
        .filter(|agent| agent.service == "booking")
    {
        let backend = agent.backend.unwrap_or(agent.internal);
        let sent = deployment
            .http
            .send(Method::GET, backend, "/control/record", None, "");
        let Ok(reply) = sent.await else {
            continue;
        };
        let runs: Vec<Run> = serde_json::from_slice(reply.body())?;
        for key in runs.into_iter().filter_map(|run| run.key) {
            *record.bookings.entry(key).or_default() += 1;
        }
    }
    let sent = deployment
        .http
        .send(Method::GET, deployment.origin, "/control/record", None, "");
    if let Ok(reply) = sent.await {
        let value: serde_json::Value = serde_json::from_slice(reply.body())?;
        record.origin_bytes = value["sent_bytes"].as_u64().unwrap_or(0);
    }
    Ok(record)
}
