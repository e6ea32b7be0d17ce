//! Write of one row by compare-and-swap, with retries that recognise a write whose response was lost.

use std::time::Duration;

use pistachiolug_platform::kv::{self, Entry, Position, Precondition, Store, Swap};
use tokio::time::sleep;

use super::preview::{ServiceRow, conflict, parse_service_row};
use crate::{
    difference::Conflict,
    row::{Edit, Name, Row, Stored},
};

/// Maximum number of attempts to write one row before the apply fails.
const MAX_ATTEMPTS: u32 = 10;

/// Backoff after the first failed attempt; doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum time to wait for past events of a row.
const EVENTS_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a row was not written.
pub(super) enum Failure {
    /// Someone else changed the row after it was read.
    Conflict(Box<Conflict>),
    /// The key-value service failed or its response was lost, so the outcome may be unknown.
    Service(kv::Error),
}

/// Replaces exactly the value that the preview read, and recognises its own earlier write if the response was lost.
///
/// Returns the revision of the write, or 0 if the row was gone before its removal could be confirmed.
pub(super) async fn write_row<S: Store>(
    store: &S,
    name: &Name,
    row: Option<&Row>,
    service: Option<&ServiceRow>,
    edit: &Edit,
    since: u64,
) -> Result<u64, Failure> {
    let key = name.key();
    let expect = service.map_or(Precondition::Absent, |it| {
        Precondition::Revision(it.revision)
    });
    let value = row.map(|row| {
        let stored = Stored {
            row: row.clone(),
            edit: Some(edit.clone()),
        };
        stored.render()
    });
    let mut backoff = INITIAL_BACKOFF;
    let mut is_unsure = false;
    let mut attempts = MAX_ATTEMPTS;
    loop {
        let swapped = store.swap(&key, expect, value.as_deref(), None).await;
        let error = match swapped {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Lost { current }) => return resolve_lost(name, row, current, edit, is_unsure),
            Err(error) => error,
        };
        is_unsure |= matches!(error, kv::Error::Unknown { .. });
        attempts -= 1;
        if attempts == 0 {
            return Err(Failure::Service(error));
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if is_unsure && expect == Precondition::Absent {
            let found = find_own_write(store, name, since, edit).await;
            if let Some(revision) = found.map_err(Failure::Service)? {
                return Ok(revision);
            }
        }
    }
}

/// Returns the revision of an earlier own write of a new row, if there is one.
///
/// Someone may have removed the row since then, and writing it again would revert the removal.
async fn find_own_write<S: Store>(
    store: &S,
    name: &Name,
    since: u64,
    edit: &Edit,
) -> Result<Option<u64>, kv::Error> {
    let events = store
        .watch(&name.key(), Position::without_era(since), EVENTS_TIMEOUT)
        .await?;
    let own = events.iter().find_map(|event| match event {
        kv::Event::Put(entry) if entry.key == name.key() => {
            let stored = Stored::parse(name.kind, &entry.value).ok()?;
            let is_own = stored.edit.is_some_and(|by| by.token == edit.token);
            is_own.then_some(entry.revision)
        }
        _ => None,
    });
    Ok(own)
}

/// Decides whether a lost compare-and-swap still counts as success, from the value that the row has now.
///
/// It does if the value is an own earlier write, or if the row already has the wanted content or is already removed.
fn resolve_lost(
    name: &Name,
    row: Option<&Row>,
    current: Option<Entry>,
    edit: &Edit,
    is_unsure: bool,
) -> Result<u64, Failure> {
    let Some(entry) = current else {
        if row.is_none() {
            return Ok(0);
        }
        return Err(Failure::Conflict(Box::new(conflict(name, row, None))));
    };
    let service = parse_service_row(name.kind, &entry);
    let by = service.stored.as_ref().and_then(|it| it.edit.as_ref());
    let is_own = is_unsure && by.is_some_and(|by| by.token == edit.token);
    if is_own || (row.is_some() && service.row() == row) {
        return Ok(entry.revision);
    }
    Err(Failure::Conflict(Box::new(conflict(
        name,
        row,
        Some(&service),
    ))))
}
