//! Writer of one shard: collects operations and commits them with one compare-and-swap.

use std::{sync::Arc, time::Duration};

use pistachiolug_platform::kv::{self, Entry, Expect, Store, Swap};
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

/// Prefix of the ledger's keys.
const PREFIX: &str = "pistachiolug/ledger/";

/// Most operations in one write: as many rows as survive a trim, so that a lost answer is recognised by them.
const BATCH: usize = ROWS_AFTER_TRIM;

/// Factor by which the least time between writes grows at most under contention.
const CONTENTION: u32 = 4;

/// Claims whose effect is unknown that are remembered for release.
const UNSETTLED: usize = 1024;

/// Calls that were told to run and are remembered; past the bound no claim is given back.
const GRANTED: usize = 65_536;

/// What an operation does.
#[derive(Debug, Clone)]
pub enum Action {
    /// Claims the call.
    Claim,
    /// Records the call's answer.
    Finish(Response),
    /// Gives the claim back.
    Release,
}

/// One operation and where its answer goes.
#[derive(Debug)]
pub struct Operation {
    /// The claim.
    pub claim: Claim,
    /// What to do.
    pub action: Action,
    /// Time of the request in milliseconds since 1970.
    pub now_ms: u64,
    /// Receives the answer; `None` when nobody waits.
    pub reply: Option<oneshot::Sender<Result<Decision, Error>>>,
}

impl Operation {
    fn is_wanted(&self) -> bool {
        let waits = self.reply.as_ref().is_none_or(|reply| !reply.is_closed());
        waits || !matches!(self.action, Action::Claim)
    }
}

/// Writer of one shard.
#[derive(Debug)]
pub struct Shard<S> {
    store: S,
    settings: Settings,
    /// Prefix of the shard's keys.
    prefix: String,
    /// Page as last seen, and the revision it was stored at; 0 before the first write.
    page: Page,
    revision: u64,
    /// Whether `page` is the newest this process can know without a read.
    known: bool,
    /// Whether other processes wrote lately, so that a read comes before each write.
    shared: bool,
    segments: FxHashMap<u128, Arc<Segment>>,
    /// Releases of claims that were answered as not certain; they come before newer operations.
    unsettled: Vec<Claim>,
    /// Calls that were told to run and have not reported an end; their claims are never given back on our own.
    granted: FxHashSet<Id>,
    /// Least time to the next write, grown by lost races.
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
            known: false,
            shared: false,
            segments: FxHashMap::default(),
            unsettled: Vec::new(),
            granted: FxHashSet::default(),
            interval: settings.interval,
        }
    }

    /// Commits operations until the queue is closed.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Operation>) {
        let mut next_write = Instant::now();
        while let Some(first) = queue.recv().await {
            sleep_until(next_write).await;
            let batch = self.collect(first, &mut queue).await;
            self.commit(batch).await;
            next_write = Instant::now() + self.interval;
        }
    }

    /// Takes all operations that wait; a batch without a claim lingers for one.
    async fn collect(
        &self,
        first: Operation,
        queue: &mut mpsc::Receiver<Operation>,
    ) -> Vec<Operation> {
        let deadline = Instant::now() + self.settings.linger;
        let mut urgent = matches!(first.action, Action::Claim);
        let mut batch = vec![first];
        while batch.len() < BATCH {
            let next = match queue.try_recv() {
                Ok(next) => next,
                Err(_) if urgent => break,
                Err(_) => match timeout_at(deadline, queue.recv()).await {
                    Ok(Some(next)) => next,
                    _ => break,
                },
            };
            urgent |= matches!(next.action, Action::Claim);
            batch.push(next);
        }
        batch
    }

    async fn commit(&mut self, mut batch: Vec<Operation>) {
        batch.retain(Operation::is_wanted);
        let mut settled = std::mem::take(&mut self.unsettled);
        let limit = self.settings.timeout;
        let written = timeout(limit, self.write(&settled, &batch)).await;
        match written.unwrap_or_else(|_| Err(uncertain("no certain write in time"))) {
            Ok(decisions) => self.answer(batch, decisions),
            Err(error) => {
                self.unsettled.append(&mut settled);
                self.fail(batch, &error);
            }
        }
    }

    /// Applies a batch to the page until one write of it is certain.
    async fn write(
        &mut self,
        releases: &[Claim],
        batch: &[Operation],
    ) -> Result<Vec<Result<Decision, Error>>, Error> {
        let mut fresh = false;
        self.known &= !self.shared;
        loop {
            if !self.known {
                self.read().await?;
                fresh = true;
            }
            let mut page = self.page.clone();
            let Some(segments) = self.load_segments(&page).await? else {
                self.known = false;
                continue;
            };
            let decisions = apply(&mut page, &segments, releases, batch);
            let all_granted = decisions
                .iter()
                .all(|decision| decision == &Ok(Decision::Granted));
            if !all_granted && !fresh {
                // An earlier run is reported from the newest page only.
                self.known = false;
                continue;
            }
            if page == self.page {
                return Ok(decisions);
            }
            if self.store_page(page).await? {
                return Ok(decisions);
            }
            if fresh {
                self.contend();
            }
            fresh = self.known;
            sleep(self.interval.mul_f64(rand::random_range(0.0..0.2))).await;
        }
    }

    /// Writes a page; `false` means that the page moved or may have moved, and has to be applied anew.
    async fn store_page(&mut self, mut page: Page) -> Result<bool, Error> {
        while let Some(seal) = page.trim(Name(rand::random())) {
            let key = self.segment_key(seal.reference.name);
            let value = codec::encode(&seal.segment);
            let stored = self
                .store
                .swap(&key, Expect::Absent, Some(&value), None)
                .await;
            stored.map_err(failed)?;
            let name = seal.reference.name.0;
            self.segments.insert(name, Arc::new(seal.segment));
        }
        let value = codec::encode(&page);
        let expect = match self.revision {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        let key = self.page_key();
        match self.store.swap(&key, expect, Some(&value), None).await {
            Ok(Swap::Done { revision }) => {
                self.calm();
                self.page = page;
                self.revision = revision;
                self.known = true;
                self.drop_segments().await;
                Ok(true)
            }
            Ok(Swap::Lost { current }) => {
                self.take(current)?;
                Ok(false)
            }
            Err(kv::Error::Unknown { .. }) => {
                self.known = false;
                Ok(false)
            }
            Err(error) => Err(failed(error)),
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let entry = self.store.get(&self.page_key()).await.map_err(failed)?;
        self.take(entry)
    }

    fn take(&mut self, entry: Option<Entry>) -> Result<(), Error> {
        let (page, revision) = match &entry {
            Some(entry) => (decode(&entry.value)?, entry.revision),
            None => (Page::default(), 0),
        };
        if revision < self.revision {
            return Err(uncertain("the service answered with an older page"));
        }
        self.shared = revision > self.revision;
        self.page = page;
        self.revision = revision;
        self.known = true;
        Ok(())
    }

    /// Returns the page's segments, or `None` if another process has dropped one with a newer page.
    async fn load_segments(&mut self, page: &Page) -> Result<Option<Vec<Arc<Segment>>>, Error> {
        let mut loaded = Vec::with_capacity(page.segments().len());
        for reference in page.segments() {
            if !self.segments.contains_key(&reference.name.0) {
                let key = self.segment_key(reference.name);
                let entry = self.store.get(&key).await.map_err(failed)?;
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

    /// Deletes the segments that the stored page no longer refers to.
    async fn drop_segments(&mut self) {
        let page = &self.page;
        let listed = |name: &u128| page.segments().iter().any(|kept| kept.name.0 == *name);
        let gone: Vec<u128> = self
            .segments
            .keys()
            .copied()
            .filter(|it| !listed(it))
            .collect();
        for name in gone {
            self.segments.remove(&name);
            let key = self.segment_key(Name(name));
            // A segment that stays is never read again.
            if let Ok(Some(entry)) = self.store.get(&key).await {
                let expect = Expect::Revision(entry.revision);
                let _ = self.store.swap(&key, expect, None, None).await;
            }
        }
    }

    fn answer(&mut self, batch: Vec<Operation>, decisions: Vec<Result<Decision, Error>>) {
        let mut unheard = Vec::new();
        for (operation, decision) in batch.into_iter().zip(decisions) {
            let call = operation.claim.call;
            let won =
                decision == Ok(Decision::Granted) && matches!(operation.action, Action::Claim);
            if !matches!(operation.action, Action::Claim) {
                self.granted.remove(&call);
            }
            let sent = operation
                .reply
                .is_none_or(|reply| reply.send(decision).is_ok());
            match (won, sent) {
                (true, true) => drop(self.granted.insert(call)),
                (true, false) => unheard.push(operation.claim),
                (false, _) => {}
            }
        }
        for claim in unheard {
            self.remember(claim);
        }
    }

    /// Answers a batch whose effect is not certain; its claims are given back with the next write.
    fn fail(&mut self, batch: Vec<Operation>, error: &Error) {
        self.known = false;
        self.contend();
        for operation in batch {
            if matches!(operation.action, Action::Claim) {
                self.remember(operation.claim);
            }
            if let Some(reply) = operation.reply {
                // A closed channel means that the caller is gone.
                let _ = reply.send(Err(error.clone()));
            }
        }
    }

    /// Remembers a claim that nobody runs; past the bounds it stays claimed, which is safe.
    fn remember(&mut self, claim: Claim) {
        let granted = self.granted.contains(&claim.call) || self.granted.len() >= GRANTED;
        if !granted && self.unsettled.len() < UNSETTLED {
            self.unsettled.push(claim);
        }
    }

    fn contend(&mut self) {
        self.interval = (self.interval * 2).min(self.settings.interval * CONTENTION);
    }

    fn calm(&mut self) {
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
    let apply = |operation: &Operation| match &operation.action {
        Action::Claim => page
            .claim(&operation.claim, segments, operation.now_ms)
            .map_err(|_| uncertain("the ledger holds as many keys without a time as it can")),
        Action::Finish(answer) => {
            page.finish(&operation.claim, answer);
            Ok(Decision::Granted)
        }
        Action::Release => {
            page.release(&operation.claim);
            Ok(Decision::Granted)
        }
    };
    batch.iter().map(apply).collect()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|error| uncertain(&error.to_string()))
}

fn failed(error: kv::Error) -> Error {
    uncertain(&error.to_string())
}

fn uncertain(reason: &str) -> Error {
    Error {
        reason: reason.to_owned(),
    }
}
