//! Ledger stored in the key-value service and shared by all agents.

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

/// Maximum number of operations queued for one shard.
const QUEUE_CAPACITY: usize = 4096;

/// Settings of the ledger. All processes that use the same ledger need the same number of shards.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of shards per service. It must never change, because a change moves keys to other shards.
    pub shards: u8,
    /// Minimum time between two writes of this process to one shard.
    pub interval: Duration,
    /// Maximum time for which a batch is retried until its outcome is known.
    pub timeout: Duration,
    /// Time for which a batch without claims waits for further operations to share its write.
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
/// Operations are batched: many share one compare-and-swap of their shard's page. A claim has no lease and does not
/// expire, so that a holder that was paused for any length of time is still the only one that may run the call.
#[derive(Debug, Clone)]
pub struct Ledger<S> {
    store: S,
    settings: Settings,
    writers: Arc<Mutex<Writers>>,
}

/// Queues of the shard writers, by service and shard number.
type Writers = FxHashMap<(String, u8), mpsc::Sender<Operation>>;

impl<S: Store> Ledger<S> {
    /// Creates a ledger on a store; the writer of a shard starts with the first operation on it.
    pub fn new(store: S, settings: Settings) -> Self {
        Self {
            store,
            settings,
            writers: Arc::default(),
        }
    }

    async fn run(&self, claim: &Claim, action: Action) -> Result<Decision, Error> {
        let (reply, decision) = oneshot::channel();
        let operation = Operation {
            claim: claim.clone(),
            action,
            now_ms: now_ms(),
            reply: Some(reply),
        };
        let queue = self.shard_queue(claim);
        queue
            .try_send(operation)
            .map_err(|_| unknown_outcome("too many operations wait"))?;
        decision
            .await
            .map_err(|_| unknown_outcome("writer ended"))?
    }

    /// Returns the queue of a claim's shard, starting the writer if none is running.
    fn shard_queue(&self, claim: &Claim) -> mpsc::Sender<Operation> {
        let service = &claim.key.service;
        let number = Hash::of(&claim.key).shard(self.settings.shards);
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let existing = writers.get(&(service.clone(), number));
        if let Some(sender) = existing.filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
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

    async fn finish(&self, claim: &Claim, response: &Response) -> Result<(), Error> {
        self.run(claim, Action::Finish(response.clone()))
            .await
            .map(drop)
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        self.run(claim, Action::Release).await.map(drop)
    }
}

fn unknown_outcome(reason: &str) -> Error {
    Error {
        reason: reason.to_owned(),
    }
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
