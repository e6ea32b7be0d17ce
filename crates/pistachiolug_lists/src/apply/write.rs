//! Write of one row, whatever happens to its answer.

use std::time::Duration;

use pistachiolug_platform::kv::{self, Entry, Expect, Store, Swap};
use tokio::time::sleep;

use super::preview::{Service, conflict, service_of};
use crate::{
    difference::Conflict,
    row::{Edit, Name, Row, Stored},
};

/// Tries of one row before the apply is given up.
const TRIES: u32 = 10;

/// First wait after a failed call.
const FIRST_WAIT: Duration = Duration::from_millis(20);

/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for events of the past.
const EVENTS_WAIT: Duration = Duration::from_millis(200);

/// Why a row was not written.
pub(super) enum Failure {
    /// Someone else wrote the row.
    Conflict(Box<Conflict>),
    /// The service gave no certain answer.
    Service(kv::Error),
}

/// Writes one row over exactly the value that the plan saw, and recognises its own write if the answer was lost.
pub(super) async fn write_row<S: Store>(
    store: &S,
    name: &Name,
    row: Option<&Row>,
    service: Option<&Service>,
    edit: &Edit,
    since: u64,
) -> Result<u64, Failure> {
    let key = name.key();
    let expect = service.map_or(Expect::Absent, |it| Expect::Revision(it.revision));
    let value = row.map(|row| {
        let stored = Stored {
            row: row.clone(),
            edit: Some(edit.clone()),
        };
        stored.render()
    });
    let mut wait = FIRST_WAIT;
    let mut unsure = false;
    let mut tries = TRIES;
    loop {
        let swapped = store.swap(&key, expect, value.as_deref(), None).await;
        let error = match swapped {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Lost { current }) => return settle(name, row, current, edit, unsure),
            Err(error) => error,
        };
        unsure |= matches!(error, kv::Error::Unknown { .. });
        tries -= 1;
        if tries == 0 {
            return Err(Failure::Service(error));
        }
        sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
        wait = (wait * 2).min(LONGEST_WAIT);
        if unsure && expect == Expect::Absent {
            let found = find_own(store, name, since, edit).await;
            if let Some(revision) = found.map_err(Failure::Service)? {
                return Ok(revision);
            }
        }
    }
}

/// Looks for an own write of a new row that someone may have removed since, where writing again would revert that.
async fn find_own<S: Store>(
    store: &S,
    name: &Name,
    since: u64,
    edit: &Edit,
) -> Result<Option<u64>, kv::Error> {
    let events = store.watch(&name.key(), since, EVENTS_WAIT).await?;
    let own = events.iter().find_map(|event| match event {
        kv::Event::Put(entry) if entry.key == name.key() => {
            let stored = Stored::parse(name.kind, &entry.value).ok()?;
            let own = stored.edit.is_some_and(|by| by.token == edit.token);
            own.then_some(entry.revision)
        }
        _ => None,
    });
    Ok(own)
}

/// Judges the value that a row holds instead of the one the plan saw.
fn settle(
    name: &Name,
    row: Option<&Row>,
    current: Option<Entry>,
    edit: &Edit,
    unsure: bool,
) -> Result<u64, Failure> {
    let Some(entry) = current else {
        if row.is_none() {
            return Ok(0);
        }
        return Err(Failure::Conflict(Box::new(conflict(name, row, None))));
    };
    let service = service_of(name.kind, &entry);
    let by = service.stored.as_ref().and_then(|it| it.edit.as_ref());
    let own = unsure && by.is_some_and(|by| by.token == edit.token);
    if own || (row.is_some() && service.row() == row) {
        return Ok(entry.revision);
    }
    Err(Failure::Conflict(Box::new(conflict(
        name,
        row,
        Some(&service),
    ))))
}
