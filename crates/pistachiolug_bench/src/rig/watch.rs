//! Waits for states of a running deployment, and reads of its documents and records.

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

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of polls after which a wait fails; with the interval, at least 30 s.
const MAX_POLLS: u32 = 1500;

impl Deployment {
    /// Returns the text with which a version answers a request body.
    pub fn expected_text(&self, version: &str, body: &str) -> String {
        let weights = Digest::of(&weights(version, self.weights_bytes()));
        answer::full_text(&weights, body.as_bytes())
    }

    /// Reads the JSON document at a path of a process.
    ///
    /// # Errors
    /// Returns the error of the request, or `InvalidData` for an answer that is no JSON.
    pub async fn read_json(&self, address: SocketAddr, path: &str) -> io::Result<Value> {
        let answer = self.http.send(Method::GET, address, path, None, "").await;
        let answer = answer.map_err(io::Error::other)?;
        serde_json::from_slice(answer.body()).map_err(io::Error::from)
    }

    /// Waits until the JSON document at a path of a process meets a condition.
    ///
    /// # Errors
    /// `TimedOut` if it does not in time.
    pub async fn wait_for(
        &self,
        address: SocketAddr,
        path: &str,
        is_done: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        for _ in 0..MAX_POLLS {
            if self
                .read_json(address, path)
                .await
                .is_ok_and(|value| is_done(&value))
            {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("http://{address}{path} did not meet the condition in time"),
        ))
    }

    /// Waits until every entry has all instances and the newest row of the lists.
    ///
    /// # Errors
    /// `TimedOut` if one does not in time.
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

    /// Returns the revision of the newest row of the lists; 0 if there are no rows.
    async fn newest_revision(&self) -> io::Result<u64> {
        let store = Etcd::new(Client::new(1), &format!("http://{}", self.kv));
        let range = store.range(PREFIX).await.map_err(io::Error::other)?;
        let revisions = range.entries.iter().map(|entry| entry.revision);
        Ok(revisions.max().unwrap_or(0))
    }

    /// Waits until an engine runs a generation and returns the index of its agent.
    ///
    /// # Errors
    /// `TimedOut` if none does in time.
    pub async fn wait_for_generation(&self) -> io::Result<usize> {
        for _ in 0..MAX_POLLS {
            for (index, agent) in self.agents.iter().enumerate() {
                let Some(backend) = agent.backend.filter(|_| agent.service == "assistant") else {
                    continue;
                };
                let state = self.read_json(backend, "/v1/engine/state").await?;
                if state["running"].as_u64() > Some(0) {
                    return Ok(index);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Returns the runs that the plain service of an agent recorded.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn recorded_runs(&self, agent: &Daemon) -> io::Result<Vec<Run>> {
        let backend = agent.backend.unwrap_or(agent.internal);
        let record = self.read_json(backend, "/control/record").await?;
        serde_json::from_value(record).map_err(io::Error::from)
    }
}

/// Waits until a process has exited and returns whether it exited with code 0.
///
/// # Errors
/// `TimedOut` if it does not exit in time.
pub async fn wait_for_exit(process: &mut Process) -> io::Result<bool> {
    for _ in 0..MAX_POLLS {
        if let Some(status) = process.try_wait()? {
            return Ok(status.success());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}
