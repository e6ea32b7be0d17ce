//! Weights and calls that an engine holds.

use std::collections::BTreeMap;

use pistachiolug_platform::engine::{self, Loaded, Order};
use pistachiolug_wire::digest::Digest;

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
    /// Running generations.
    pub running: u32,
    /// Every order that took effect, for checks.
    pub orders: Vec<String>,
}

/// Refusal of an order.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing number is older than the one seen.
    Fenced(u64),
    /// Staged bytes are missing or wrong.
    Mismatch,
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
            running: 0,
            orders: Vec::new(),
        }
    }

    /// Renders the engine's account of itself.
    pub fn report(&self) -> engine::State {
        engine::State {
            incarnation: self.incarnation,
            loaded: self.loaded.clone(),
            fence: self.fence,
            running: self.running,
            ..engine::State::default()
        }
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
            return Err(Refusal::Mismatch);
        }
        self.loaded
            .retain(|loaded| loaded.version != order.version || loaded.model != order.model);
        self.loaded.push(Loaded {
            model: order.model.clone(),
            version: order.version.clone(),
            digest: order.digest,
        });
        self.orders
            .push(format!("load {} {}", order.model, order.version));
        Ok(())
    }

    /// Drops a version.
    pub fn unload(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_fence(order.fence)?;
        self.loaded
            .retain(|loaded| loaded.version != order.version || loaded.model != order.model);
        self.orders
            .push(format!("unload {} {}", order.model, order.version));
        Ok(())
    }

    fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if !self.checks_fence {
            return Ok(());
        }
        if fence < self.fence {
            return Err(Refusal::Fenced(self.fence));
        }
        self.fence = fence;
        Ok(())
    }
}
