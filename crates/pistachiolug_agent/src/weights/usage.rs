//! Numbers of running calls by version, counted by a wrapper around the engine.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_platform::engine::{
    CacheEvent, Chunk, Engine, Error, GenerateRequest, Generation, Order, Role, State,
};
use pistachiolug_wire::call;

/// Numbers of running calls by version; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    /// Counts by version; a version without a running call is absent.
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

/// Engine whose running generations are counted.
#[derive(Debug, Clone)]
pub struct CountingEngine<E> {
    engine: E,
    usage: Usage,
}

/// Generation that is counted until it is dropped.
#[derive(Debug)]
pub struct CountedGeneration<T> {
    generation: T,
    _guard: UsageGuard,
}

/// Count of one running call; dropping it subtracts the call.
#[derive(Debug)]
struct UsageGuard {
    usage: Usage,
    version: String,
}

impl Usage {
    /// Returns the number of running calls of a version.
    pub fn running(&self, version: &str) -> u32 {
        self.counts().get(version).copied().unwrap_or(0)
    }

    fn add(&self, version: &str) -> UsageGuard {
        *self.counts().entry(version.to_owned()).or_default() += 1;
        UsageGuard {
            usage: self.clone(),
            version: version.to_owned(),
        }
    }

    fn counts(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut counts = self.usage.counts();
        if let Some(count) = counts.get_mut(&self.version) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.version);
            }
        }
    }
}

impl<E> CountingEngine<E> {
    /// Wraps an engine, so that `usage` counts its running generations.
    pub fn new(engine: E, usage: Usage) -> Self {
        Self { engine, usage }
    }
}

impl<T: Generation> Generation for CountedGeneration<T> {
    async fn next(&mut self) -> Result<Chunk, Error> {
        self.generation.next().await
    }
}

impl<E: Engine> Engine for CountingEngine<E> {
    type Generation = CountedGeneration<E::Generation>;

    async fn generate(&self, call: &GenerateRequest) -> Result<Self::Generation, Error> {
        // Counted before the request is sent, so that the version is not unloaded in between.
        let guard = self.usage.add(&call.version);
        let generation = self.engine.generate(call).await?;
        Ok(CountedGeneration {
            generation,
            _guard: guard,
        })
    }

    async fn cancel(&self, id: call::Id) -> Result<(), Error> {
        self.engine.cancel(id).await
    }

    async fn state(&self) -> Result<State, Error> {
        self.engine.state().await
    }

    async fn stage(&self, order: &Order, offset: u64, bytes: Bytes) -> Result<(), Error> {
        self.engine.stage(order, offset, bytes).await
    }

    async fn load(&self, order: &Order) -> Result<(), Error> {
        self.engine.load(order).await
    }

    async fn unload(&self, order: &Order) -> Result<(), Error> {
        self.engine.unload(order).await
    }

    async fn set_role(&self, fence: u64, role: Role) -> Result<(), Error> {
        self.engine.set_role(fence, role).await
    }

    async fn export_cache(&self, id: call::Id) -> Result<Bytes, Error> {
        self.engine.export_cache(id).await
    }

    async fn import_cache(&self, id: call::Id, cache: Bytes) -> Result<(), Error> {
        self.engine.import_cache(id, cache).await
    }

    async fn cache_events(&self, sequence: u64, wait: Duration) -> Result<Vec<CacheEvent>, Error> {
        self.engine.cache_events(sequence, wait).await
    }
}
