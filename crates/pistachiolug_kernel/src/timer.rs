//! Timer service with subscriptions for periodic ticks; services use it instead of sleeping themselves.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::RngExt;
use tokio::{
    sync::{Notify, mpsc},
    time,
};

use crate::clock::{Clock, System};

/// Timer service; clones share its subscriptions.
///
/// One task per process sends the ticks of all subscriptions, see [`Timer::run`]. Tests send them through
/// [`Timer::fire`] on a [`Manual`](crate::clock::Manual) clock.
#[derive(Debug, Clone, Default)]
pub struct Timer<C = System> {
    clock: C,
    subscriptions: Arc<Mutex<Vec<Subscription>>>,
    /// Wakes [`Timer::run`] when a subscription is added.
    subscription_added: Arc<Notify>,
}

/// Receiver of the ticks of one subscription; dropping it ends the subscription.
#[derive(Debug)]
pub struct Ticks {
    receiver: mpsc::Receiver<()>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    /// Maximum random delay that is added to each period.
    jitter: Duration,
    /// Time of the next tick on the timer's clock.
    due: Duration,
    sender: mpsc::Sender<()>,
}

impl<C: Clock> Timer<C> {
    /// Creates a timer that reads the time from a clock.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            subscriptions: Arc::default(),
            subscription_added: Arc::default(),
        }
    }

    /// Subscribes to a tick every `period`, plus a random delay of up to `jitter` so that instances do not act at the
    /// same moment.
    ///
    /// At most one tick is pending: while the subscriber has not received it, further ticks are dropped.
    pub fn subscribe(&self, period: Duration, jitter: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        let due = self.clock.now() + jittered(period, jitter);
        self.lock().push(Subscription {
            period,
            jitter,
            due,
            sender,
        });
        self.subscription_added.notify_one();
        Ticks { receiver }
    }

    /// Sends the ticks that are due and returns the time until the next one; `None` without subscriptions.
    pub fn fire(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mut subscriptions = self.lock();
        subscriptions.retain(|subscription| !subscription.sender.is_closed());
        for subscription in subscriptions.iter_mut() {
            subscription.fire(now);
        }
        let due_times = subscriptions.iter().map(|subscription| subscription.due);
        due_times.min().map(|due| due.saturating_sub(now))
    }

    /// Sends the ticks of all subscriptions until the process stops.
    pub async fn run(self) {
        loop {
            match self.fire() {
                Some(wait) => {
                    // A timeout and a new subscription have the same effect: the subscriptions are checked again.
                    let _ = time::timeout(wait, self.subscription_added.notified()).await;
                }
                None => self.subscription_added.notified().await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Subscription>> {
        self.subscriptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Subscription {
    /// Sends a tick if one is due. Ticks that were missed while the process was paused are not sent later.
    fn fire(&mut self, now: Duration) {
        if self.due > now {
            return;
        }
        // A full channel means that the previous tick is still pending.
        let _ = self.sender.try_send(());
        self.due = now + jittered(self.period, self.jitter);
    }
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) {
        if self.receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Receives the pending tick without waiting; returns whether there was one.
    pub fn try_next(&mut self) -> bool {
        self.receiver.try_recv().is_ok()
    }
}

/// Returns the time until the next tick: `period` plus a random part of `jitter`, at least one millisecond.
fn jittered(period: Duration, jitter: Duration) -> Duration {
    let fraction: f64 = rand::rng().random_range(0.0..=1.0);
    // Without the minimum, a tick that is always due would keep `run` busy without a pause.
    (period + jitter.mul_f64(fraction)).max(Duration::from_millis(1))
}
