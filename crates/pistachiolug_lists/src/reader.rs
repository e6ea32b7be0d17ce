//! Reading of the lists from the key-value service: one range, then a watch.

use std::{sync::Arc, time::Duration};

use pistachiolug_platform::kv::{Entry, Error, Event, Store};
use tokio::time::sleep;

use crate::{
    force::Force,
    lists::Lists,
    row::{Name, PREFIX, Row},
};

/// Longest time one watch call waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Wait after a failed call.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Keeps `force` in line with the service until the process stops.
pub async fn run<S: Store>(store: S, force: Force) {
    loop {
        if let Err(error) = follow(&store, &force).await {
            log::warn!(error:% = error; "lists not read");
            sleep(RETRY_WAIT).await;
        }
    }
}

async fn follow<S: Store>(store: &S, force: &Force) -> Result<(), Error> {
    let range = store.range(PREFIX).await?;
    let mut lists = Lists::default();
    for entry in &range.entries {
        store_row(&mut lists, entry);
    }
    lists.advance(range.revision);
    force.advance(Arc::new(lists.clone()));
    loop {
        let events = store.watch(PREFIX, lists.revision(), WATCH_WAIT).await?;
        for event in &events {
            take_event(&mut lists, event);
        }
        force.advance(Arc::new(lists.clone()));
    }
}

fn take_event(lists: &mut Lists, event: &Event) {
    if event.revision() <= lists.revision() {
        return;
    }
    match event {
        Event::Put(entry) => store_row(lists, entry),
        Event::Delete { key, .. } => {
            if let Some(name) = Name::parse(key) {
                lists.remove(&name);
            }
        }
    }
    lists.advance(event.revision());
}

fn store_row(lists: &mut Lists, entry: &Entry) {
    let Some(name) = Name::parse(&entry.key) else {
        return;
    };
    match Row::parse(name.kind, &entry.value) {
        Ok(row) => lists.insert(row),
        Err(error) => log::warn!(key = entry.key.as_str(), error:% = error; "bad row left out"),
    }
}
