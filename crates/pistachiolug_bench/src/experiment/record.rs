//! Records that the stand-ins keep of what they ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
};

use bytes::Bytes;
use http::{Method, Response};
use pistachiolug_standin::{engine, plain};
use pistachiolug_wire::digest::Digest;

use crate::rig::deployment::Deployment;

/// What the backend servers ran and the origin sent, according to their own records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Number of runs of each booking, by idempotency key.
    pub bookings: BTreeMap<String, u64>,
    /// Digests of the bodies of the requests that an engine started to answer.
    pub generations: BTreeSet<Digest>,
    /// Number of bytes that the origin sent.
    pub origin_bytes: u64,
}

/// Reads the records of all stand-ins; those that do not answer are left out.
///
/// # Errors
/// Returns the error of a record that is malformed.
pub async fn read(deployment: &Deployment) -> io::Result<Record> {
    let mut record = Record::default();
    for agent in &deployment.agents {
        let backend = agent.backend.unwrap_or(agent.internal);
        let Some(body) = fetch_record(deployment, backend).await else {
            continue;
        };
        if agent.service == "booking" {
            let runs: Vec<plain::Run> = serde_json::from_slice(&body)?;
            for key in runs.into_iter().filter_map(|run| run.key) {
                *record.bookings.entry(key).or_default() += 1;
            }
        } else {
            let engine_record: engine::record::Record = serde_json::from_slice(&body)?;
            let prompts = engine_record.runs.into_iter().map(|run| run.prompt);
            record.generations.extend(prompts);
        }
    }
    if let Some(body) = fetch_record(deployment, deployment.origin).await {
        let value: serde_json::Value = serde_json::from_slice(&body)?;
        record.origin_bytes = value["sent_bytes"].as_u64().unwrap_or(0);
    }
    Ok(record)
}

/// Fetches the record of one stand-in. Returns `None` if it does not answer.
async fn fetch_record(deployment: &Deployment, address: SocketAddr) -> Option<Bytes> {
    let http = &deployment.http;
    let sent = http.send(Method::GET, address, "/control/record", None, "");
    sent.await.ok().map(Response::into_body)
}
