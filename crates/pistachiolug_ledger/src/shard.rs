//! Writer of one shard, which batches operations and commits each batch by one compare-and-swap of the shard's page.

use std::{sync::Arc, time::Duration};

use pistachiolug_platform::kv::{self, Entry, Precondition, Store, Swap};
use pistachiolug_wire::{
    call::{Id, Response},
    codec,
};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::de::DeserializeOwned;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{
    claim::{Claim, Decision, Error},
    ledger::Settings,
    page::{Page, ROWS_AFTER_TRIM},
    segment::{Name, Segment},
};

/// Prefix of the ledger's keys in the key-value service.
const PREFIX: &str = "pistachiolug/ledger/";

/// Maximum number of operations in one write.
///
/// Not more than the rows left after a trim, so that after a lost response the rows of the batch are still in the page
/// and the write is recognised.
const MAX_BATCH: usize = ROWS_AFTER_TRIM;

/// Maximum factor by which contention increases the minimum time between writes.
const MAX_INTERVAL_FACTOR: u32 = 4;

/// Maximum number of claims with an unknown outcome that are queued for release.
const MAX_PENDING_RELEASES: usize = 1024;

/// Maximum number of granted calls that are tracked; above it, claims with an unknown outcome are not released.
const MAX_GRANTED: usize = 65_536;

/// Action of an operation.
#[derive(Debug, Clone)]
pub enum Action {
    /// Claims the call.
    Claim,
    /// Records the call's response.
    Finish(Response),
    /// Releases the claim.
    Release,
}

/// Operation on a claim, with the channel for its result.
#[derive(Debug)]
pub struct Operation {
    /// Claim that the operation concerns.
    pub claim: Claim,
    /// What to do with the claim.
    pub action: Action,
    /// Time of the request in milliseconds since 1970.
    pub now_ms: u64,
    /// Channel for the result; `None` if nobody waits for it.
    pub reply: Option<oneshot::Sender<Result<Decision, Error>>>,
}

impl Operation {
    /// Returns whether the operation must still be carried out: a claim for which nobody waits any more is dropped.
    fn is_wanted(&self) -> bool {
        let has_receiver = self.reply.as_ref().is_none_or(|reply| !reply.is_closed());
        has_receiver || !matches!(self.action, Action::Claim)
    }
}

/// Writer of one shard.
#[derive(Debug)]
pub struct Shard<S> {
    store: S,
    settings: Settings,
    /// Prefix of the shard's keys.
    prefix: String,
    /// Page as last read or written.
    page: Page,
    /// Revision at which `page` was stored; 0 before the first write.
    revision: u64,
    /// Revision that a write without an answer named: it may still be carried out while the page has this revision.
    unanswered: Option<u64>,
    /// Whether `page` is the latest page that this process can know without a read.
    is_current: bool,
    /// Whether other processes have written recently, so that each write needs a read first.
    has_other_writers: bool,
    /// Cache of the page's segments, by name.
    segments: FxHashMap<u128, Arc<Segment>>,
    /// Claims whose outcome was reported as unknown; they are released before the next operations.
    pending_releases: Vec<Claim>,
    /// Calls that were allowed to run and have not finished; the writer never releases their claims by itself.
    granted: FxHashSet<Id>,
    /// Current minimum time between writes; increased by lost races.
    interval: Duration,
}

impl<S: Store> Shard<S> {
    /// Creates the writer of a service's shard.
    pub fn new(store: S, settings: Settings, service: &str, number: u8) -> Self {
        Self {
            store,
            settings,
            prefix: format!("{PREFIX}{service}/{number}/"),
            page: Page::default(),
            revision: 0,
            unanswered: None,
            is_current: false,
            has_other_writers: false,
            segments: FxHashMap::default(),
            pending_releases: Vec::new(),
            granted: FxHashSet::default(),
            interval: settings.interval,
        }
    }

    /// Commits queued operations until the queue is closed.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Operation>) {
        let mut next_write = Instant::now();
        while let Some(first) = queue.recv().await {
            sleep_until(next_write).await;
            let batch = self.collect(first, &mut queue).await;
            self.commit(batch).await;
            next_write = Instant::now() + self.interval;
        }
    }

    /// Takes all queued operations; a batch without claims waits for further operations, up to [`Settings::linger`].
    async fn collect(
        &self,
        first: Operation,
        queue: &mut mpsc::Receiver<Operation>,
    ) -> Vec<Operation> {
        let deadline = Instant::now() + self.settings.linger;
        let mut has_claim = matches!(first.action, Action::Claim);
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let next = match queue.try_recv() {
                Ok(next) => next,
                Err(_) if has_claim => break,
                Err(_) => match timeout_at(deadline, queue.recv()).await {
                    Ok(Some(next)) => next,
                    _ => break,
                },
            };
            has_claim |= matches!(next.action, Action::Claim);
            batch.push(next);
        }
        batch
    }

    async fn commit(&mut self, mut batch: Vec<Operation>) {
        batch.retain(Operation::is_wanted);
        let mut releases = std::mem::take(&mut self.pending_releases);
        let limit = self.settings.timeout;
        let written = timeout(limit, self.write(&releases, &batch)).await;
        match written.unwrap_or_else(|_| Err(unknown_outcome("no certain write in time"))) {
            Ok(decisions) => self.send_decisions(batch, decisions),
            Err(error) => {
                self.pending_releases.append(&mut releases);
                self.fail(batch, &error);
            }
        }
    }

    /// Applies the releases and a batch to the page, retrying until a write of it is confirmed.
    async fn write(
        &mut self,
        releases: &[Claim],
        batch: &[Operation],
    ) -> Result<Vec<Result<Decision, Error>>, Error> {
        let mut is_fresh = false;
        self.is_current &= !self.has_other_writers;
        loop {
            if !self.is_current {
                self.read().await?;
                is_fresh = true;
            }
            let mut page = self.page.clone();
            let Some(segments) = self.load_segments(&page).await? else {
                self.is_current = false;
                continue;
            };
            let decisions = apply(&mut page, &segments, releases, batch);
            let all_granted = decisions
                .iter()
                .all(|decision| decision == &Ok(Decision::Granted));
            if !all_granted && !is_fresh {
                // An earlier run is reported only from the latest page, so read it before refusing a claim.
                self.is_current = false;
                continue;
            }
            // A write without an answer is carried out later as long as the revision is the same.
            if page == self.page && self.unanswered != Some(self.revision) {
                return Ok(decisions);
            }
            if self.store_page(page).await? {
                return Ok(decisions);
            }
            if is_fresh {
                self.increase_interval();
            }
            is_fresh = self.is_current;
            sleep(self.interval.mul_f64(rand::random_range(0.0..0.2))).await;
        }
    }

    /// Writes a page; returns `false` if the stored page has changed or may have changed, so that the batch must be
    /// applied again.
    async fn store_page(&mut self, mut page: Page) -> Result<bool, Error> {
        while let Some(seal) = page.trim(Name(rand::random())) {
            let key = self.segment_key(seal.reference.name);
            let value = codec::encode(&seal.segment);
            let stored = self
                .store
                .swap(&key, Precondition::Absent, Some(&value), None)
                .await;
            stored.map_err(store_error)?;
            let name = seal.reference.name.0;
            self.segments.insert(name, Arc::new(seal.segment));
        }
        let value = codec::encode(&page);
        let expect = match self.revision {
            0 => Precondition::Absent,
            revision => Precondition::Revision(revision),
        };
        let key = self.page_key();
        // Before the call, since it may be dropped.
        let before = self.unanswered.replace(self.revision);
        let swapped = self.store.swap(&key, expect, Some(&value), None).await;
        if !matches!(swapped, Err(kv::Error::Unknown { .. })) {
            self.unanswered = before.filter(|_| swapped.is_err());
        }
        match swapped {
            Ok(Swap::Done { revision }) => {
                self.decrease_interval();
                self.page = page;
                self.revision = revision;
                self.is_current = true;
                self.delete_dropped_segments().await;
                Ok(true)
            }
            Ok(Swap::Lost { current }) => {
                self.adopt(current)?;
                Ok(false)
            }
            Err(kv::Error::Unknown { .. }) => {
                self.is_current = false;
                Ok(false)
            }
            Err(error) => Err(store_error(error)),
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let entry = self
            .store
            .get(&self.page_key())
            .await
            .map_err(store_error)?;
        self.adopt(entry)
    }

    /// Makes a stored page the current one.
    fn adopt(&mut self, entry: Option<Entry>) -> Result<(), Error> {
        let (page, revision) = match &entry {
            Some(entry) => (decode(&entry.value)?, entry.revision),
            None => (Page::default(), 0),
        };
        if revision < self.revision {
            return Err(unknown_outcome("the service answered with an older page"));
        }
        self.has_other_writers = revision > self.revision;
        self.page = page;
        self.revision = revision;
        self.is_current = true;
        Ok(())
    }

    /// Returns the page's segments, or `None` if one is missing because another process dropped it with a newer page.
    async fn load_segments(&mut self, page: &Page) -> Result<Option<Vec<Arc<Segment>>>, Error> {
        let mut loaded = Vec::with_capacity(page.segments().len());
        for reference in page.segments() {
            if !self.segments.contains_key(&reference.name.0) {
                let key = self.segment_key(reference.name);
                let entry = self.store.get(&key).await.map_err(store_error)?;
                let Some(entry) = entry else {
                    return Ok(None);
                };
                let segment: Segment = decode(&entry.value)?;
                self.segments.insert(reference.name.0, Arc::new(segment));
            }
            loaded.extend(self.segments.get(&reference.name.0).cloned());
        }
        Ok(Some(loaded))
    }

    /// Deletes the cached segments that the stored page no longer refers to.
    async fn delete_dropped_segments(&mut self) {
        let page = &self.page;
        let is_listed = |name: &u128| page.segments().iter().any(|it| it.name.0 == *name);
        let dropped: Vec<u128> = self
            .segments
            .keys()
            .copied()
            .filter(|it| !is_listed(it))
            .collect();
        for name in dropped {
            self.segments.remove(&name);
            let key = self.segment_key(Name(name));
            // A segment whose deletion fails only takes up space: no page refers to it.
            if let Ok(Some(entry)) = self.store.get(&key).await {
                let expect = Precondition::Revision(entry.revision);
                let _ = self.store.swap(&key, expect, None, None).await;
            }
        }
    }

    /// Sends the decisions of a committed batch; claims granted to nobody are queued for release.
    fn send_decisions(&mut self, batch: Vec<Operation>, decisions: Vec<Result<Decision, Error>>) {
        let mut undelivered = Vec::new();
        for (operation, decision) in batch.into_iter().zip(decisions) {
            let call = operation.claim.call;
            let is_granted =
                decision == Ok(Decision::Granted) && matches!(operation.action, Action::Claim);
            if !matches!(operation.action, Action::Claim) {
                self.granted.remove(&call);
            }
            let is_sent = operation
                .reply
                .is_none_or(|reply| reply.send(decision).is_ok());
            match (is_granted, is_sent) {
                (true, true) => drop(self.granted.insert(call)),
                (true, false) => undelivered.push(operation.claim),
                (false, _) => {}
            }
        }
        for claim in undelivered {
            self.queue_release(claim);
        }
    }

    /// Reports an error for a batch whose outcome is unknown; its claims are released with the next write.
    fn fail(&mut self, batch: Vec<Operation>, error: &Error) {
        self.is_current = false;
        self.increase_interval();
        for operation in batch {
            if matches!(operation.action, Action::Claim) {
                self.queue_release(operation.claim);
            }
            if let Some(reply) = operation.reply {
                // Sending fails only if the caller no longer waits.
                let _ = reply.send(Err(error.clone()));
            }
        }
    }

    /// Queues the release of a claim that nobody runs; above the limits the key stays claimed, which is safe.
    fn queue_release(&mut self, claim: Claim) {
        let may_run = self.granted.contains(&claim.call) || self.granted.len() >= MAX_GRANTED;
        if !may_run && self.pending_releases.len() < MAX_PENDING_RELEASES {
            self.pending_releases.push(claim);
        }
    }

    fn increase_interval(&mut self) {
        self.interval = (self.interval * 2).min(self.settings.interval * MAX_INTERVAL_FACTOR);
    }

    fn decrease_interval(&mut self) {
        self.interval = (self.interval * 3 / 4).max(self.settings.interval);
    }

    fn page_key(&self) -> String {
        format!("{}page", self.prefix)
    }

    fn segment_key(&self, name: Name) -> String {
        format!("{}{:032x}", self.prefix, name.0)
    }
}

/// Applies the releases and then the operations to a page.
fn apply(
    page: &mut Page,
    segments: &[Arc<Segment>],
    releases: &[Claim],
    batch: &[Operation],
) -> Vec<Result<Decision, Error>> {
    for claim in releases {
        page.release(claim);
    }
    let apply_one = |operation: &Operation| match &operation.action {
        Action::Claim => page
            .claim(&operation.claim, segments, operation.now_ms)
            .map_err(|_| unknown_outcome("the ledger holds as many keys without a time as it can")),
        Action::Finish(response) => {
            page.finish(&operation.claim, response);
            Ok(Decision::Granted)
        }
        Action::Release => {
            page.release(&operation.claim);
            Ok(Decision::Granted)
        }
    };
    batch.iter().map(apply_one).collect()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|error| unknown_outcome(&error.to_string()))
}

fn store_error(error: kv::Error) -> Error {
    unknown_outcome(&error.to_string())
}

fn unknown_outcome(reason: &str) -> Error {
    Error {
        reason: reason.to_owned(),
    }
}
