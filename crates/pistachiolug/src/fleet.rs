//! States of all instances, read concurrently.

use std::{net::SocketAddr, sync::Arc};

use pistachiolug_wire::instance::Instance;
use serde::Serialize;
use serde_json::Value;
use snafu::Whatever;
use tokio::{sync::Semaphore, task::JoinSet};

use crate::operator::Operator;

/// Maximum number of instances whose states are read at the same time.
const MAX_CONCURRENT_READS: usize = 32;

/// Instance of the instance list with its state.
#[derive(Debug, Clone, Serialize)]
pub struct Member {
    /// Instance as the instance list shows it.
    pub instance: Instance,
    /// State dump of the process; `None` if it could not be read.
    pub state: Option<Value>,
    /// Why the state could not be read; `None` if it was read.
    pub error: Option<String>,
}

/// Transfer of one version to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Transfer {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// State of the transfer, such as `pulling` or `serving`.
    pub state: String,
    /// Why the version was refused or failed; empty otherwise.
    pub finding: String,
    /// Number of bytes that the instance already has.
    pub done_bytes: u64,
    /// Size of the version in bytes.
    pub total_bytes: u64,
}

/// Reads the states of all instances; returns them in the order of the instance list.
///
/// # Errors
/// Returns an error if the instance list can't be read. An instance whose state can't be read is a [`Member`] with an
/// error.
pub async fn read(operator: &Operator) -> Result<Vec<Member>, Whatever> {
    let snapshot = operator.instances().await?;
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_READS));
    let mut reads = JoinSet::new();
    for (index, instance) in snapshot.instances.into_iter().enumerate() {
        let (operator, permits) = (operator.clone(), Arc::clone(&permits));
        reads.spawn(async move {
            let _permit = permits.acquire().await;
            (index, read_member(&operator, instance).await)
        });
    }
    let mut members = reads.join_all().await;
    members.sort_by_key(|(index, _)| *index);
    Ok(members.into_iter().map(|(_, member)| member).collect())
}

/// Reads the state of one instance.
async fn read_member(operator: &Operator, instance: Instance) -> Member {
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
    /// Returns a number of the state by its JSON pointer, such as `/calls/queued`; `None` if there is none.
    pub fn number(&self, path: &str) -> Option<u64> {
        self.state.as_ref()?.pointer(path)?.as_u64()
    }

    /// Returns a string of the state by its JSON pointer; `None` if there is none.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.state.as_ref()?.pointer(path)?.as_str()
    }

    /// Returns the revision of the lists in force at the instance; `None` if its state is unknown.
    pub fn revision(&self) -> Option<u64> {
        self.number("/lists/revision")
            .or_else(|| self.number("/lists_revision"))
    }

    /// Returns the transfers of the instance, including finished ones.
    pub fn transfers(&self) -> Vec<Transfer> {
        let rows = self
            .state
            .as_ref()
            .and_then(|state| state.pointer("/weights/versions"));
        let rows = rows.and_then(Value::as_array);
        rows.into_iter().flatten().map(parse_transfer).collect()
    }
}

/// Reads a transfer from the state; missing fields are empty or 0.
fn parse_transfer(row: &Value) -> Transfer {
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
