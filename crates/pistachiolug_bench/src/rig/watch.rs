//! Waits for conditions of a running deployment and reads of its records.

use std::{io, net::SocketAddr, time::Duration};

use http::Method;
use pistachiolug_http::client::Client;
use pistachiolug_lists::row::PREFIX;
use pistachiolug_platform::kv::{Store, etcd::Etcd};
use pistachiolug_standin::{engine::answer, plain::Run};
use pistachiolug_wire::digest::Digest;
use serde_json::Value;
use tokio::time::sleep;

use super::{
    deployment::{Daemon, Deployment},
    operator::weights,
    process::Process,
};

/// Wait between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Looks at a condition before it counts as failed.
const POLLS: u32 = 1500;

impl Deployment {
    /// Returns the text that a version must answer to a request body.
    pub fn expected_text(&self, version: &str, body: &str) -> String {
        let weights = Digest::of(&weights(version, self.weights_bytes()));
        answer::full_text(&weights, body.as_bytes())
    }

    /// Reads a JSON document of a process.
    ///
    /// # Errors
    /// Returns the error of the request, or `InvalidData` for another answer.
    pub async fn read_json(&self, address: SocketAddr, path: &str) -> io::Result<Value> {
        let answer = self.http.send(Method::GET, address, path, None, "").await;
        let answer = answer.map_err(io::Error::other)?;
        serde_json::from_slice(answer.body()).map_err(io::Error::from)
    }

    /// Waits until a document of a process meets a condition.
    ///
    /// # Errors
    /// `TimedOut` when it does not in time.
    pub async fn wait_for(
        &self,
        address: SocketAddr,
        path: &str,
        done: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        for _ in 0..POLLS {
            if self
                .read_json(address, path)
                .await
                .is_ok_and(|value| done(&value))
            {
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("{address}{path}"),
        ))
    }

    /// Waits until every entry knows all instances and the newest row of the lists.
    ///
    /// # Errors
    /// `TimedOut` when one does not in time.
    pub async fn wait_for_entries(&self) -> io::Result<()> {
        let rows = self.agents.len() + self.entries.len();
        let newest = self.newest_revision().await?;
        for entry in &self.entries {
            self.wait_for(entry.internal, "/debug/state", |state| {
                state["instances"]["rows"] == rows
                    && state["lists_revision"].as_u64() >= Some(newest)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the revision of the newest row of the lists.
    async fn newest_revision(&self) -> io::Result<u64> {
        let store = Etcd::new(Client::new(1), &format!("http://{}", self.kv));
        let range = store.range(PREFIX).await.map_err(io::Error::other)?;
        let revisions = range.entries.iter().map(|entry| entry.revision);
        Ok(revisions.max().unwrap_or(0))
    }

    /// Waits until an engine runs a generation and returns its agent's index.
    ///
    /// # Errors
    /// `TimedOut` when none does in time.
    pub async fn wait_for_generation(&self) -> io::Result<usize> {
        for _ in 0..POLLS {
            for (index, agent) in self.agents.iter().enumerate() {
                let Some(backend) = agent.backend.filter(|_| agent.service == "assistant") else {
                    continue;
                };
                let state = self.read_json(backend, "/v1/engine/state").await?;
                if state["running"].as_u64() > Some(0) {
                    return Ok(index);
                }
            }
            sleep(POLL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Returns the runs that a plain service recorded.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn recorded_runs(&self, agent: &Daemon) -> io::Result<Vec<Run>> {
        let backend = agent.backend.unwrap_or(agent.internal);
        let record = self.read_json(backend, "/control/record").await?;
        serde_json::from_value(record).map_err(io::Error::from)
    }
}

/// Waits until a process has ended and returns whether it ended well.
///
/// # Errors
/// `TimedOut` when it does not end in time.
pub async fn wait_for_exit(process: &mut Process) -> io::Result<bool> {
    for _ in 0..POLLS {
        if let Some(status) = process.try_wait()? {
            return Ok(status.success());
        }
        sleep(POLL).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}
