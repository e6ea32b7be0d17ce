//! States of all instances, read side by side.

use std::{net::SocketAddr, sync::Arc};

use pistachiolug_wire::instance::Instance;
use serde::Serialize;
use serde_json::Value;
use snafu::Whatever;
use tokio::{sync::Semaphore, task::JoinSet};

use crate::operator::Operator;

/// Instances that are asked at the same time.
const CONCURRENT_READS: usize = 32;

/// Instance with its state.
#[derive(Debug, Clone, Serialize)]
pub struct Member {
    /// Row of the instance list.
    pub instance: Instance,
    /// Whole state, or `None` if the process gave none.
    pub state: Option<Value>,
    /// Why there is no state.
    pub error: Option<String>,
}

/// Transfer of one version to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Transfer {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Stage, such as `pulling` or `serving`.
    pub state: String,
    /// Why the version is refused or failed; empty otherwise.
    pub finding: String,
    /// Bytes that are there.
    pub done_bytes: u64,
    /// Bytes of the version.
    pub total_bytes: u64,
}

/// Reads the states of all instances in the order of the list.
///
/// # Errors
/// Returns why the instance list can't be read; an instance that can't be read is a [`Member`] with an error.
pub async fn read(operator: &Operator) -> Result<Vec<Member>, Whatever> {
    let snapshot = operator.instances().await?;
    let turns = Arc::new(Semaphore::new(CONCURRENT_READS));
    let mut reads = JoinSet::new();
    for (index, instance) in snapshot.instances.into_iter().enumerate() {
        let (operator, turns) = (operator.clone(), Arc::clone(&turns));
        reads.spawn(async move {
            let _turn = turns.acquire().await;
            (index, member(&operator, instance).await)
        });
    }
    let mut members = reads.join_all().await;
    members.sort_by_key(|(index, _)| *index);
    Ok(members.into_iter().map(|(_, member)| member).collect())
}

async fn member(operator: &Operator, instance: Instance) -> Member {
    let address: SocketAddr = instance.address;
    match operator.dump(address).await {
        Ok(state) => Member {
            instance,
            state: Some(state),
            error: None,
        },
        Err(error) => Member {
            instance,
            state: None,
            error: Some(error.to_string()),
        },
    }
}

impl Member {
    /// Returns a number of the state by its path, such as `/calls/queued`.
    pub fn number(&self, path: &str) -> Option<u64> {
        self.state.as_ref()?.pointer(path)?.as_u64()
    }

    /// Returns a text of the state by its path.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.state.as_ref()?.pointer(path)?.as_str()
    }

    /// Returns the revision of the lists in force at the instance.
    pub fn revision(&self) -> Option<u64> {
        self.number("/lists/revision")
            .or_else(|| self.number("/lists_revision"))
    }

    /// Returns the instance's transfers, finished ones included.
    pub fn transfers(&self) -> Vec<Transfer> {
        let rows = self
            .state
            .as_ref()
            .and_then(|state| state.pointer("/weights/versions"));
        let rows = rows.and_then(Value::as_array);
        rows.into_iter().flatten().map(transfer).collect()
    }
}

fn transfer(row: &Value) -> Transfer {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let number = |name: &str| row[name].as_u64().unwrap_or_default();
    Transfer {
        model: text("model"),
        version: text("version"),
        state: text("state"),
        finding: text("finding"),
        done_bytes: number("done_bytes"),
        total_bytes: number("total_bytes"),
    }
}
