//! State of an engine: its weights, its calls and the record of what it did.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use pistachiolug_platform::engine::{self, Loaded, Order, Role};
use pistachiolug_wire::digest::Digest;
use tokio::sync::oneshot;

use super::{
    cache::Cache,
    record::{End, Record, Run},
};

/// Age up to which load figures are reported unchanged, as a real engine reports them late.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// State of one engine.
#[derive(Debug)]
pub struct State {
    /// Random number of this start; a restart draws a new one.
    incarnation: u64,
    /// Whether orders with an old fencing token are refused.
    checks_fence: bool,
    /// Highest fencing token seen; 0 if tokens are ignored.
    fence: u64,
    /// Uploaded weights that are not loaded yet, by model and version.
    staged: BTreeMap<(String, String), Vec<u8>>,
    loaded: Vec<Loaded>,
    role: Role,
    /// Record of everything that the engine did.
    pub record: Record,
    /// Prefix cache.
    pub cache: Cache,
    /// Senders that cancel waiting and running generations, by call id.
    cancel_senders: BTreeMap<String, oneshot::Sender<()>>,
    /// Number of generations that hold a slot.
    running: u32,
    /// Load figures as reported: when they were taken, running and waiting generations.
    reported: (Instant, u32, u32),
    /// Ids of calls whose cache was imported and not used yet.
    imported_caches: BTreeSet<String>,
}

/// Refusal of an order.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing token is older than the highest one seen, which is given here.
    StaleFence(u64),
    /// The staged bytes are missing or do not match the digest.
    DigestMismatch,
}

impl State {
    /// Creates the state of an engine without weights.
    pub fn new(incarnation: u64, checks_fence: bool) -> Self {
        Self {
            incarnation,
            checks_fence,
            fence: 0,
            staged: BTreeMap::new(),
            loaded: Vec::new(),
            role: Role::default(),
            record: Record::default(),
            cache: Cache::default(),
            cancel_senders: BTreeMap::new(),
            running: 0,
            reported: (Instant::now(), 0, 0),
            imported_caches: BTreeSet::new(),
        }
    }

    /// Returns the state that the engine reports over HTTP; its load figures may be up to half a second old.
    pub fn report(&mut self, waiting: u32) -> engine::State {
        if self.reported.0.elapsed() >= LOAD_REPORT_INTERVAL {
            self.reported = (Instant::now(), self.running, waiting);
        }
        engine::State {
            incarnation: self.incarnation,
            loaded: self.loaded.clone(),
            role: self.role,
            fence: self.fence,
            running: self.reported.1,
            queued: self.reported.2,
        }
    }

    /// Resets the state as a restart of the process does, but keeps the record.
    pub fn restart(&mut self, incarnation: u64) {
        let record = std::mem::take(&mut self.record);
        *self = Self {
            record,
            ..Self::new(incarnation, self.checks_fence)
        };
    }

    /// Adds a waiting generation with the sender that cancels it.
    pub fn register(&mut self, id: &str, cancel: oneshot::Sender<()>) {
        self.cancel_senders.insert(id.to_owned(), cancel);
    }

    /// Cancels a generation. Returns `false` if no waiting or running one has the id.
    pub fn cancel(&mut self, id: &str) -> bool {
        let cancel = self.cancel_senders.remove(id);
        cancel.is_some_and(|cancel| cancel.send(()).is_ok())
    }

    /// Removes the sender of a generation if its receiver has been dropped.
    pub fn unregister(&mut self, id: &str) {
        if self
            .cancel_senders
            .get(id)
            .is_some_and(oneshot::Sender::is_closed)
        {
            self.cancel_senders.remove(id);
        }
    }

    /// Records a generation that got its slot and returns its index in the record.
    pub fn record_start(&mut self, run: Run) -> usize {
        self.running += 1;
        self.record.runs.push(run);
        self.record.runs.len() - 1
    }

    /// Records that the generation at `index` sent a token.
    pub fn record_token(&mut self, index: usize) {
        self.record.runs[index].sent += 1;
    }

    /// Records the end of the generation at `index`.
    pub fn record_end(&mut self, index: usize, end: End) {
        self.running = self.running.saturating_sub(1);
        self.record.runs[index].end = end;
    }

    /// Records that the cache of a call was imported.
    pub fn record_import(&mut self, id: &str) {
        self.imported_caches.insert(id.to_owned());
    }

    /// Removes the imported cache of a call. Returns `false` if there is none.
    pub fn take_import(&mut self, id: &str) -> bool {
        self.imported_caches.remove(id)
    }

    /// Tells whether a generation with this id got a slot here.
    pub fn has_run(&self, id: &str) -> bool {
        self.record.runs.iter().any(|run| run.id == id)
    }

    /// Changes the role.
    ///
    /// # Errors
    /// `StaleFence` for an old fencing token.
    pub fn set_role(&mut self, fence: u64, role: Role) -> Result<(), Refusal> {
        self.check_fence(fence)?;
        self.role = role;
        self.record.orders.push(format!("role {role:?}"));
        Ok(())
    }

    /// Returns the digest of the weights of a version, `None` if it is not loaded.
    pub fn weights(&self, version: &str) -> Option<Digest> {
        let loaded = self.loaded.iter().find(|loaded| loaded.version == version);
        loaded.map(|loaded| loaded.digest)
    }

    /// Stores a part of the weights of the model and version in `name`, `length` bytes in all, at `offset`.
    pub fn stage(
        &mut self,
        fence: u64,
        name: (String, String),
        length: u64,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), Refusal> {
        self.check_fence(fence)?;
        let end = offset as usize + bytes.len();
        let buffer = self.staged.entry(name).or_default();
        buffer.resize(end.max(length as usize), 0);
        buffer[offset as usize..end].copy_from_slice(bytes);
        Ok(())
    }

    /// Loads a staged version if its digest matches the order, in place of an earlier one of the same name.
    pub fn load(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_fence(order.fence)?;
        let name = (order.model.clone(), order.version.clone());
        let staged = self.staged.remove(&name).unwrap_or_default();
        if Digest::of(&staged) != order.digest {
            return Err(Refusal::DigestMismatch);
        }
        self.loaded
            .retain(|loaded| loaded.version != order.version || loaded.model != order.model);
        self.loaded.push(Loaded {
            model: order.model.clone(),
            version: order.version.clone(),
            digest: order.digest,
        });
        self.record
            .orders
            .push(format!("load {} {}", order.model, order.version));
        Ok(())
    }

    /// Unloads a version.
    pub fn unload(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_fence(order.fence)?;
        self.loaded
            .retain(|loaded| loaded.version != order.version || loaded.model != order.model);
        self.record
            .orders
            .push(format!("unload {} {}", order.model, order.version));
        Ok(())
    }

    /// Refuses an old fencing token and stores a new one.
    fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if !self.checks_fence {
            return Ok(());
        }
        if fence < self.fence {
            return Err(Refusal::StaleFence(self.fence));
        }
        self.fence = fence;
        Ok(())
    }
}
