//! Ledger in the key-value service, shared by all agents.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use pistachiolug_platform::kv::Store;
use pistachiolug_wire::call::Response;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};

use crate::{
    claim::{Claim, Claims, Decision, Error},
    page::Hash,
    shard::{Action, Operation, Shard},
};

/// Operations that may wait for one shard.
const QUEUE: usize = 4096;

/// Bounds of the ledger; the same in every process that uses one ledger, but for the times.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of shards per service; changing it moves keys between shards, so it never changes.
    pub shards: u8,
    /// Least time between two writes of this process to one shard.
    pub interval: Duration,
    /// Longest time a claim waits for a certain answer.
    pub timeout: Duration,
    /// Time for which an end waits for other operations to share its write.
    pub linger: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 4,
            interval: Duration::from_millis(250),
            timeout: Duration::from_secs(2),
            linger: Duration::from_millis(400),
        }
    }
}

/// Ledger of claims; clones share one writer per shard.
///
/// Many operations share one compare-and-swap of their shard's page. A claim is permanent: it has no lease, so a holder
/// that was paused for any time finds itself still the only one that may run the call.
#[derive(Debug, Clone)]
pub struct Ledger<S> {
    store: S,
    settings: Settings,
    writers: Arc<Mutex<Writers>>,
}

/// Queue of each service's and shard's writer.
type Writers = FxHashMap<(String, u8), mpsc::Sender<Operation>>;

impl<S: Store> Ledger<S> {
    /// Creates a ledger over a store; writers start with the first operation of their shard.
    pub fn new(store: S, settings: Settings) -> Self {
        Self {
            store,
            settings,
            writers: Arc::default(),
        }
    }

    async fn run(&self, claim: &Claim, action: Action) -> Result<Decision, Error> {
        let (reply, answer) = oneshot::channel();
        let operation = Operation {
            claim: claim.clone(),
            action,
            now_ms: now_ms(),
            reply: Some(reply),
        };
        let shard = self.shard(claim);
        shard
            .try_send(operation)
            .map_err(|_| uncertain("too many operations wait"))?;
        answer.await.map_err(|_| uncertain("writer ended"))?
    }

    fn shard(&self, claim: &Claim) -> mpsc::Sender<Operation> {
        let service = &claim.key.service;
        let number = Hash::of(&claim.key).shard(self.settings.shards);
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let known = writers.get(&(service.clone(), number));
        if let Some(sender) = known.filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE);
        let shard = Shard::new(self.store.clone(), self.settings, service, number);
        tokio::spawn(shard.run(receiver));
        writers.insert((service.clone(), number), sender.clone());
        sender
    }
}

impl<S: Store> Claims for Ledger<S> {
    async fn claim(&self, claim: &Claim) -> Result<Decision, Error> {
        self.run(claim, Action::Claim).await
    }

    async fn finish(&self, claim: &Claim, answer: &Response) -> Result<(), Error> {
        self.run(claim, Action::Finish(answer.clone()))
            .await
            .map(drop)
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        self.run(claim, Action::Release).await.map(drop)
    }
}

fn uncertain(reason: &str) -> Error {
    Error {
        reason: reason.to_owned(),
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
