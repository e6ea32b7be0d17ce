//! Rate of an agent's calls to an engine that limits the requests of all instances together.

use std::{cell::Cell, cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use bytes::Bytes;
use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_routing::rate_limit;
use tokio::time::sleep;

use crate::engine::{Engine, Error, Layers, LoadResponse, Report};

/// Longest interval between two reads of the report while something is left to do.
const MAX_BUSY_INTERVAL: Duration = Duration::from_millis(500);

/// Share of an engine's limit, and requests per second beyond it, that its agent uses while it stages and verifies pieces.
/// Together with what entries send, this keeps within one and a half times the limit and five requests in four seconds.
const BUSY_SHARE: f64 = 0.25;
const BUSY_PER_SECOND: f64 = 0.5;

/// Share of the limit that the agent of an engine uses to which entries send nothing, in place of [`BUSY_SHARE`].
const IDLE_SHARE: f64 = 1.35;

/// Time after which all entries know from the engine's row that it serves nothing: two intervals of its rows.
const IDLE_DELAY: Duration = Duration::from_millis(2500);

/// Window in which requests are counted, with a margin for the way to the engine.
const WINDOW: Duration = Duration::from_millis(4100);

/// Number of calls in a window that are made without waiting for a turn, beside orders.
const MAX_EXTRA_CALLS: usize = 1;

/// Longest time after which a call that waits looks at the limit again, which may have ended.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the time from one read of the engine's report to the next that keeps the agent's part of a limit.
///
/// # Arguments
/// `limit` is in requests per second; `None` if there is none. `is_idle` tells whether the engine has what it should have.
pub fn read_interval(limit: Option<f64>, is_idle: bool) -> Duration {
    let Some(limit) = limit else {
        return Duration::ZERO;
    };
    let interval = Duration::from_secs_f64(rate_limit::agent_rate(limit).recip());
    if is_idle {
        interval
    } else {
        interval.min(MAX_BUSY_INTERVAL)
    }
}

/// Times at which an agent may call an engine with a limit, without any I/O; times are those since the agent's start.
#[derive(Debug, Default)]
pub struct Schedule {
    /// When the next call has its turn.
    next_at: Duration,
    /// Times of the calls in the last window that did not wait for a turn.
    extra_calls: VecDeque<Duration>,
    /// Since when the engine has reported that it serves nothing; `None` if it serves.
    idle_since: Option<Duration>,
}

impl Schedule {
    /// Records whether the engine has reported that it serves requests.
    pub fn record_serving(&mut self, is_serving: bool, now: Duration) {
        if is_serving {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Takes a turn if the next call may be made now, and returns whether it may.
    ///
    /// # Arguments
    /// `limit` is in requests per second. `is_urgent` tells whether the call may be made without a turn.
    pub fn take(&mut self, limit: f64, is_urgent: bool, now: Duration) -> bool {
        if self.next_at <= now {
            self.next_at = now + Duration::from_secs_f64(self.per_second(limit, now).recip());
            return true;
        }
        self.forget_extra_calls(now);
        let may_add = is_urgent && self.is_idle(now) && self.extra_calls.len() < MAX_EXTRA_CALLS;
        if may_add {
            self.extra_calls.push_back(now);
        }
        may_add
    }

    /// Records a call that is made whether it has a turn or not.
    pub fn force(&mut self, limit: f64, now: Duration) {
        if !self.take(limit, false, now) {
            self.forget_extra_calls(now);
            self.extra_calls.push_back(now);
        }
    }

    /// Returns the time that a number of calls takes one after the other.
    pub fn duration(&self, calls: usize, limit: f64, now: Duration) -> Duration {
        Duration::from_secs_f64(calls as f64 / self.per_second(limit, now))
    }

    /// Returns when the next call has its turn.
    pub fn next_at(&self) -> Duration {
        self.next_at
    }

    fn per_second(&self, limit: f64, now: Duration) -> f64 {
        let share = if self.is_idle(now) {
            IDLE_SHARE
        } else {
            BUSY_SHARE
        };
        limit * share + BUSY_PER_SECOND
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.idle_since
            .is_some_and(|since| now >= since + IDLE_DELAY)
    }

    fn forget_extra_calls(&mut self, now: Duration) {
        self.extra_calls.retain(|at| now < *at + WINDOW);
    }
}

/// Engine whose calls are spaced out while it has a limit, but for orders.
#[derive(Debug, Clone)]
pub struct Paced<E> {
    engine: E,
    clock: System,
    schedule: Rc<RefCell<Schedule>>,
    /// Time that calls have waited, summed over all calls.
    waited: Rc<Cell<Duration>>,
    is_urgent: bool,
}

impl<E: Engine> Paced<E> {
    /// Creates an engine whose calls are spaced out by a clock.
    pub fn new(engine: E, clock: System) -> Self {
        Self {
            engine,
            clock,
            schedule: Rc::default(),
            waited: Rc::default(),
            is_urgent: false,
        }
    }

    /// Waits until the next call may be made, and counts it.
    async fn wait(&self) {
        let start = self.clock.now();
        self.wait_for_turn().await;
        let waited = self.clock.now().saturating_sub(start);
        self.waited.set(self.waited.get() + waited);
    }

    async fn wait_for_turn(&self) {
        loop {
            let now = self.clock.now();
            let Some(limit) = self.engine.limit() else {
                return;
            };
            if self.schedule.borrow_mut().take(limit, self.is_urgent, now) {
                return;
            }
            let next_at = self.schedule.borrow().next_at();
            sleep(next_at.saturating_sub(now).min(RECHECK_INTERVAL)).await;
        }
    }

    /// Counts an order, which does not wait.
    fn count_order(&self) {
        if let Some(limit) = self.engine.limit() {
            self.schedule.borrow_mut().force(limit, self.clock.now());
        }
    }
}

impl<E: Engine> Engine for Paced<E> {
    fn limit(&self) -> Option<f64> {
        self.engine.limit()
    }

    fn paced_time(&self) -> Duration {
        self.waited.get()
    }

    fn paced_duration(&self, calls: usize) -> Duration {
        let schedule = self.schedule.borrow();
        let limit = self.engine.limit();
        limit.map_or(Duration::ZERO, |limit| {
            schedule.duration(calls, limit, self.clock.now())
        })
    }

    fn for_verification(&self) -> Self {
        Self {
            engine: self.engine.for_verification(),
            is_urgent: true,
            ..self.clone()
        }
    }

    async fn report(&self) -> Result<Report, Error> {
        self.wait().await;
        let report = self.engine.report().await?;
        let is_serving = !report.models.is_empty() && !report.is_partial;
        let mut schedule = self.schedule.borrow_mut();
        schedule.record_serving(is_serving, self.clock.now());
        Ok(report)
    }

    async fn stage(&self, model: &str, index: usize, bytes: Bytes) -> Result<(), Error> {
        self.wait().await;
        self.engine.stage(model, index, bytes).await
    }

    async fn read_staged(&self, model: &str, index: usize) -> Result<Option<Bytes>, Error> {
        self.wait().await;
        self.engine.read_staged(model, index).await
    }

    async fn load(
        &self,
        model: &str,
        version: u64,
        layers: Layers,
        accepted_orders: u64,
    ) -> Result<LoadResponse, Error> {
        self.count_order();
        self.engine
            .load(model, version, layers, accepted_orders)
            .await
    }

    async fn unload(
        &self,
        model: &str,
        version: u64,
        accepted_orders: u64,
    ) -> Result<LoadResponse, Error> {
        self.count_order();
        self.engine.unload(model, version, accepted_orders).await
    }
}
