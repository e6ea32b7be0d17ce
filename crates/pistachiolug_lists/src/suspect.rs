//! Contents whose calls crashed backend servers: rows with an expiry that agents write and every process reads.

use std::time::Duration;

use pistachiolug_platform::kv::{Error, Expect, Store, Swap};
use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::row::{Kind, Name, Row, Stored};

/// Time after its first crash at which a suspect is forgotten.
pub const EXPIRY: Duration = Duration::from_secs(3600);

/// Crashes of a suspect that are kept.
const CRASHES: usize = 8;

/// End of a backend server that was running a suspect's call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Name of the agent's instance beside the backend server.
    pub instance: String,
    /// Call that was running; names the crash, so that reporting it twice counts once.
    pub call: String,
}

/// Content whose calls were running when a backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Digest of the content.
    pub digest: Digest,
    /// Crashes in order of their report; at least one.
    pub crashes: Vec<Crash>,
}

impl Suspect {
    /// Returns the number of crashes.
    pub fn count(&self) -> usize {
        self.crashes.len()
    }
}

/// Adds a crash to a suspect's row, which ends by itself after [`EXPIRY`].
///
/// Reporting the same crash again changes nothing, so a report whose answer was lost may be repeated.
///
/// # Errors
/// Returns the service's error; [`Error::Unknown`] when the row may have been written.
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
        if suspect.crashes.contains(crash) || suspect.count() >= CRASHES {
            return Ok(suspect);
        }
        suspect.crashes.push(crash.clone());
        let expect = current
            .as_ref()
            .map_or(Expect::Absent, |entry| Expect::Revision(entry.revision));
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
