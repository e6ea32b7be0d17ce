//! Weights and calls that an engine holds.

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

/// Age up to which load figures are reported again.
const LOAD_LAG: Duration = Duration::from_millis(500);

/// State of one engine.
#[derive(Debug)]
pub struct State {
    incarnation: u64,
    /// Whether old fencing numbers are refused.
    checks_fence: bool,
    /// Highest fencing number seen; 0 if they are ignored.
    fence: u64,
    /// Bytes handed over, by model and version.
    staged: BTreeMap<(String, String), Vec<u8>>,
    loaded: Vec<Loaded>,
    role: Role,
    /// Everything done, for checks.
    pub record: Record,
    /// Prefix cache.
    pub cache: Cache,
    /// Waiting and running generations, by call id.
    cancels: BTreeMap<String, oneshot::Sender<()>>,
    /// Running generations.
    running: u32,
    /// Load figures as reported, with the time they were taken.
    reported: (Instant, u32, u32),
    /// Calls whose cache was imported.
    imported: BTreeSet<String>,
}

/// Refusal of an order.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing number is older than the one seen.
    StaleFence(u64),
    /// Staged bytes are missing or wrong.
    DigestMismatch,
}

impl State {
    /// Creates an engine without weights.
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
            cancels: BTreeMap::new(),
            running: 0,
            reported: (Instant::now(), 0, 0),
            imported: BTreeSet::new(),
        }
    }

    /// Renders the engine's account of itself; load figures lag.
    pub fn report(&mut self, waiting: u32) -> engine::State {
        if self.reported.0.elapsed() >= LOAD_LAG {
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

    /// Loses everything that a restart loses; the record stays.
    pub fn restart(&mut self, incarnation: u64) {
        let record = std::mem::take(&mut self.record);
        *self = Self {
            record,
            ..Self::new(incarnation, self.checks_fence)
        };
    }

    /// Enters a waiting generation by the way to cancel it.
    pub fn register(&mut self, id: &str, cancel: oneshot::Sender<()>) {
        self.cancels.insert(id.to_owned(), cancel);
    }

    /// Cancels a generation; `false` if none has the id.
    pub fn cancel(&mut self, id: &str) -> bool {
        let cancel = self.cancels.remove(id);
        cancel.is_some_and(|cancel| cancel.send(()).is_ok())
    }

    /// Forgets an ended generation's way to cancel it.
    pub fn unregister(&mut self, id: &str) {
        if self.cancels.get(id).is_some_and(oneshot::Sender::is_closed) {
            self.cancels.remove(id);
        }
    }

    /// Records a generation that got its slot and returns its place in the record.
    pub fn record_start(&mut self, run: Run) -> usize {
        self.running += 1;
        self.record.runs.push(run);
        self.record.runs.len() - 1
    }

    /// Records a sent token.
    pub fn record_token(&mut self, index: usize) {
        self.record.runs[index].sent += 1;
    }

    /// Records the end of a generation.
    pub fn record_end(&mut self, index: usize, end: End) {
        self.running = self.running.saturating_sub(1);
        self.record.runs[index].end = end;
    }

    /// Notes an imported cache.
    pub fn record_import(&mut self, id: &str) {
        self.imported.insert(id.to_owned());
    }

    /// Uses up a call's imported cache; `false` if there is none.
    pub fn take_import(&mut self, id: &str) -> bool {
        self.imported.remove(id)
    }

    /// Tells whether a generation has run here.
    pub fn has_run(&self, id: &str) -> bool {
        self.record.runs.iter().any(|run| run.id == id)
    }

    /// Changes the role.
    pub fn set_role(&mut self, fence: u64, role: Role) -> Result<(), Refusal> {
        self.check_fence(fence)?;
        self.role = role;
        self.record.orders.push(format!("role {role:?}"));
        Ok(())
    }

    /// Finds the weights of a version.
    pub fn weights(&self, version: &str) -> Option<Digest> {
        let loaded = self.loaded.iter().find(|loaded| loaded.version == version);
        loaded.map(|loaded| loaded.digest)
    }

    /// Takes bytes of a version.
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

    /// Serves a staged version if its digest matches.
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

    /// Drops a version.
    pub fn unload(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_fence(order.fence)?;
        self.loaded
            .retain(|loaded| loaded.version != order.version || loaded.model != order.model);
        self.record
            .orders
            .push(format!("unload {} {}", order.model, order.version));
        Ok(())
    }

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
