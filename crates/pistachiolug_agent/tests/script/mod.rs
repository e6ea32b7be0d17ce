//! Engine that answers load orders with the faults that a test adds.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_platform::engine::{
    CacheEvent, Engine, Error, GenerateRequest, Order, Role, State, http::Http,
};
use pistachiolug_wire::call;

/// Fault of the answer to one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The engine refuses a load order.
    RefuseLoad,
    /// The engine accepts a load order and does nothing.
    ForgetLoad,
    /// The engine executes a load order, but its answer is lost.
    LoseAnswer,
    /// The engine refuses all parts, at any time.
    RefuseParts,
}

/// Engine that injects faults; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct FaultyEngine {
    inner: Http,
    faults: Arc<Mutex<VecDeque<Fault>>>,
    /// Whether it reports an empty state.
    reports_no_state: bool,
}

impl FaultyEngine {
    pub(crate) fn new(inner: Http) -> Self {
        Self {
            inner,
            faults: Arc::default(),
            reports_no_state: false,
        }
    }

    pub(crate) fn add(&self, faults: &[Fault]) {
        self.faults
            .lock()
            .expect("no test panics while it holds the lock")
            .extend(faults);
    }

    /// Returns a client of the same engine that always sees an empty state.
    pub(crate) fn without_state(&self) -> Self {
        Self {
            reports_no_state: true,
            ..self.clone()
        }
    }

    fn refuses_parts(&self) -> bool {
        self.faults
            .lock()
            .expect("no test panics while it holds the lock")
            .contains(&Fault::RefuseParts)
    }
}

impl Engine for FaultyEngine {
    type Generation = <Http as Engine>::Generation;

    async fn generate(&self, call: &GenerateRequest) -> Result<Self::Generation, Error> {
        self.inner.generate(call).await
    }

    async fn cancel(&self, id: call::Id) -> Result<(), Error> {
        self.inner.cancel(id).await
    }

    async fn state(&self) -> Result<State, Error> {
        if self.reports_no_state {
            return Ok(State::default());
        }
        self.inner.state().await
    }

    async fn stage(&self, order: &Order, offset: u64, bytes: Bytes) -> Result<(), Error> {
        if self.refuses_parts() {
            return Err(Error::Refused {
                status: 501,
                reason: "no parts".to_owned(),
            });
        }
        self.inner.stage(order, offset, bytes).await
    }

    async fn load(&self, order: &Order) -> Result<(), Error> {
        let fault = self
            .faults
            .lock()
            .expect("no test panics while it holds the lock")
            .pop_front();
        match fault {
            Some(Fault::RefuseLoad) => Err(Error::Refused {
                status: 500,
                reason: "out of memory".to_owned(),
            }),
            Some(Fault::ForgetLoad) => Ok(()),
            Some(Fault::LoseAnswer) => {
                self.inner.load(order).await?;
                Err(Error::Broken {
                    reason: "timeout".to_owned(),
                })
            }
            Some(Fault::RefuseParts) | None => self.inner.load(order).await,
        }
    }

    async fn unload(&self, order: &Order) -> Result<(), Error> {
        self.inner.unload(order).await
    }

    async fn set_role(&self, fence: u64, role: Role) -> Result<(), Error> {
        self.inner.set_role(fence, role).await
    }

    async fn export_cache(&self, id: call::Id) -> Result<Bytes, Error> {
        self.inner.export_cache(id).await
    }

    async fn import_cache(&self, id: call::Id, cache: Bytes) -> Result<(), Error> {
        self.inner.import_cache(id, cache).await
    }

    async fn cache_events(&self, sequence: u64, wait: Duration) -> Result<Vec<CacheEvent>, Error> {
        self.inner.cache_events(sequence, wait).await
    }
}
