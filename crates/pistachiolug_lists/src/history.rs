//! Who applied what and when: a bounded record in the key-value service.

use std::time::Duration;

use pistachiolug_platform::kv::{Error, Expect, Store, Swap};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::row::Name;

/// Key of the record; outside the lists' prefix, so that it is not spread.
const KEY: &str = "pistachiolug/history";

/// Most applies that are kept.
const RECORDS: usize = 500;

/// Most rows that one apply's record names.
const ROWS: usize = 50;

/// Tries before a record is given up; each row still says who wrote it.
const TRIES: u32 = 8;

/// One row of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Row's name.
    pub name: Name,
    /// Revision of the write.
    pub revision: u64,
}

/// One apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Operator's name.
    pub by: String,
    /// Time in milliseconds since 1970 by the operator's clock.
    pub at_ms: u64,
    /// Drawn at random, so that a record is not added twice.
    pub token: String,
    /// Number of rows written.
    pub count: usize,
    /// First rows written.
    pub rows: Vec<Written>,
}

impl Record {
    /// Creates a record of an apply.
    pub fn new(by: &str, at_ms: u64, token: &str, written: &[Written]) -> Self {
        Self {
            by: by.to_owned(),
            at_ms,
            token: token.to_owned(),
            count: written.len(),
            rows: written.iter().take(ROWS).cloned().collect(),
        }
    }
}

/// Reads the kept records, oldest first.
///
/// # Errors
/// Returns the service's error.
pub async fn read<S: Store>(store: &S) -> Result<Vec<Record>, Error> {
    let entry = store.get(KEY).await?;
    let value = entry.map(|entry| entry.value).unwrap_or_default();
    // A record that someone overwrote is started anew.
    Ok(serde_json::from_slice(&value).unwrap_or_default())
}

/// Adds a record and drops the oldest above the bound.
///
/// # Errors
/// Returns the last error when the record could not be added.
pub async fn add<S: Store>(store: &S, record: &Record) -> Result<(), Error> {
    let mut failed = None;
    for attempt in 0..TRIES {
        match try_add(store, record).await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => failed = Some(error),
        }
        sleep(Duration::from_millis(10 << attempt)).await;
    }
    failed.map_or(Ok(()), Err)
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
    let surplus = records.len().saturating_sub(RECORDS);
    records.drain(..surplus);
    let expect = entry.map_or(Expect::Absent, |entry| Expect::Revision(entry.revision));
    let value = serde_json::to_vec(&records).unwrap_or_default();
    let swap = store.swap(KEY, expect, Some(&value), None).await?;
    Ok(matches!(swap, Swap::Done { .. }))
}
