//! History of applies: a bounded log in the key-value service of who wrote which rows and when.

use std::time::Duration;

use pistachiolug_platform::kv::{Error, Precondition, Store, Swap};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::row::Name;

/// Key of the history; outside the lists' prefix, so that it is not replicated to all processes.
const KEY: &str = "pistachiolug/history";

/// Maximum number of records kept.
const MAX_RECORDS: usize = 500;

/// Maximum number of rows listed in one record.
const MAX_ROWS_PER_RECORD: usize = 50;

/// Maximum number of attempts to add a record; if all fail, each row still names its author.
const MAX_ATTEMPTS: u32 = 8;

/// Row written or removed by an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Kind and name of the row.
    pub name: Name,
    /// Revision of the write; 0 if the row was gone before its removal could be confirmed.
    pub revision: u64,
}

/// Record of one apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the operator who applied the documents.
    pub by: String,
    /// Time of the apply in milliseconds since 1970, by the operator's clock.
    pub at_ms: u64,
    /// Random token that prevents a retry from adding the same record twice.
    pub token: String,
    /// Total number of rows written.
    pub count: usize,
    /// First rows written, up to `MAX_ROWS_PER_RECORD`.
    pub rows: Vec<Written>,
}

impl Record {
    /// Creates a record, keeping only the first rows of `written`.
    pub fn new(by: &str, at_ms: u64, token: &str, written: &[Written]) -> Self {
        Self {
            by: by.to_owned(),
            at_ms,
            token: token.to_owned(),
            count: written.len(),
            rows: written.iter().take(MAX_ROWS_PER_RECORD).cloned().collect(),
        }
    }
}

/// Reads the records, oldest first.
///
/// # Errors
/// Returns the key-value service's error.
pub async fn read<S: Store>(store: &S) -> Result<Vec<Record>, Error> {
    let entry = store.get(KEY).await?;
    let value = entry.map(|entry| entry.value).unwrap_or_default();
    // A history that another client overwrote with something else counts as empty.
    Ok(serde_json::from_slice(&value).unwrap_or_default())
}

/// Adds a record and drops the oldest records above the bound, retrying on failures and lost races.
///
/// # Errors
/// Returns the last error of the key-value service if no attempt succeeded. If all attempts only lost races, the record
/// is dropped without an error.
pub async fn add<S: Store>(store: &S, record: &Record) -> Result<(), Error> {
    let mut last_error = None;
    for attempt in 0..MAX_ATTEMPTS {
        match try_add(store, record).await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last_error = Some(error),
        }
        sleep(Duration::from_millis(10 << attempt)).await;
    }
    last_error.map_or(Ok(()), Err)
}

async fn try_add<S: Store>(store: &S, record: &Record) -> Result<bool, Error> {
    let entry = store.get(KEY).await?;
    let mut records: Vec<Record> = entry
        .as_ref()
        .and_then(|entry| serde_json::from_slice(&entry.value).ok())
        .unwrap_or_default();
    if records.iter().any(|kept| kept.token == record.token) {
        return Ok(true);
    }
    records.push(record.clone());
    let surplus = records.len().saturating_sub(MAX_RECORDS);
    records.drain(..surplus);
    let expect = entry.map_or(Precondition::Absent, |entry| {
        Precondition::Revision(entry.revision)
    });
    let value = serde_json::to_vec(&records).unwrap_or_default();
    let swap = store.swap(KEY, expect, Some(&value), None).await?;
    Ok(matches!(swap, Swap::Done { .. }))
}
