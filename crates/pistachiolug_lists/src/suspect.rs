//! Crash suspects: contents whose calls were running when backend servers crashed.
//!
//! Agents write them as rows with an expiry, and every process reads them.

use std::time::Duration;

use pistachiolug_platform::kv::{Error, Precondition, Store, Swap};
use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::row::{Kind, Name, Row, Stored};

/// Time after which a suspect's row expires; every recorded crash restarts it.
pub const EXPIRY: Duration = Duration::from_secs(3600);

/// Maximum number of crashes stored per suspect.
const MAX_CRASHES: usize = 8;

/// Crash of a backend server while it was running a suspect's call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Name of the agent instance that manages the backend server.
    pub instance: String,
    /// Id of the running call; identifies the crash, so that reporting it twice counts once.
    pub call: String,
}

/// Content whose calls were running when backend servers crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Digest of the call's content.
    pub digest: Digest,
    /// Crashes in the order in which they were reported; at least one.
    pub crashes: Vec<Crash>,
}

impl Suspect {
    /// Returns the number of recorded crashes.
    pub fn count(&self) -> usize {
        self.crashes.len()
    }
}

/// Adds a crash to a suspect's row, which expires after [`EXPIRY`], and returns the suspect.
///
/// Idempotent: a report whose response was lost may be repeated.
///
/// # Errors
/// Returns the key-value service's error; [`Error::Unknown`] means that the row may have been written.
pub async fn report<S: Store>(
    store: &S,
    content: &Digest,
    crash: &Crash,
) -> Result<Suspect, Error> {
    let name = Name {
        kind: Kind::Suspects,
        name: content.to_string(),
    };
    let key = name.key();
    let mut current = store.get(&key).await?;
    loop {
        let mut suspect = match current
            .as_ref()
            .map(|entry| Row::parse(name.kind, &entry.value))
        {
            Some(Ok(Row::Suspect(suspect))) => suspect,
            _ => Suspect {
                digest: *content,
                crashes: Vec::new(),
            },
        };
        if suspect.crashes.contains(crash) || suspect.count() >= MAX_CRASHES {
            return Ok(suspect);
        }
        suspect.crashes.push(crash.clone());
        let expect = current.as_ref().map_or(Precondition::Absent, |entry| {
            Precondition::Revision(entry.revision)
        });
        let lease = store.grant(EXPIRY).await?;
        let value = Stored {
            row: Row::Suspect(suspect.clone()),
            edit: None,
        }
        .render();
        match store.swap(&key, expect, Some(&value), Some(lease)).await? {
            Swap::Done { .. } => return Ok(suspect),
            Swap::Lost { current: newer } => current = newer,
        }
    }
}
