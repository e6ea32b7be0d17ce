//! Timer service that parts subscribe to instead of sleeping on their own.

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

/// Hands out ticks; clones share one service.
///
/// One task per process drives all subscriptions, see [`Timer::run`]; a test drives them with a
/// [`Manual`](crate::clock::Manual) clock and [`Timer::fire`].
#[derive(Debug, Clone, Default)]
pub struct Timer<C = System> {
    clock: C,
    subscriptions: Arc<Mutex<Vec<Subscription>>>,
    /// Wakes the driver when a subscription is added.
    added: Arc<Notify>,
}

/// Ticks of one subscription; dropping it ends the subscription.
#[derive(Debug)]
pub struct Ticks {
    receiver: mpsc::Receiver<()>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    jitter: Duration,
    /// Time of the next tick on the service's clock.
    due: Duration,
    sender: mpsc::Sender<()>,
}

impl<C: Clock> Timer<C> {
    /// Creates a service on a clock.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            subscriptions: Arc::default(),
            added: Arc::default(),
        }
    }

    /// Subscribes to a tick every `period`, each moved by up to `jitter` so that instances do not act in step.
    ///
    /// A tick that the subscriber has not taken yet is not doubled.
    pub fn subscribe(&self, period: Duration, jitter: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        let due = self.clock.now() + spread(period, jitter);
        self.lock().push(Subscription {
            period,
            jitter,
            due,
            sender,
        });
        self.added.notify_one();
        Ticks { receiver }
    }

    /// Sends the ticks that are due and returns the wait until the next one; `None` without subscriptions.
    pub fn fire(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mut subscriptions = self.lock();
        subscriptions.retain(|subscription| !subscription.sender.is_closed());
        for subscription in subscriptions.iter_mut() {
            subscription.fire(now);
        }
        let next = subscriptions.iter().map(|subscription| subscription.due);
        next.min().map(|due| due.saturating_sub(now))
    }

    /// Drives the subscriptions until the process stops.
    pub async fn run(self) {
        loop {
            match self.fire() {
                Some(wait) => {
                    // Either end of the wait means that the subscriptions are looked at again.
                    let _ = time::timeout(wait, self.added.notified()).await;
                }
                None => self.added.notified().await,
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
    /// Sends a tick if it is due; ticks missed by a paused process are not made up for.
    fn fire(&mut self, now: Duration) {
        if self.due > now {
            return;
        }
        // A full channel means that the last tick still waits.
        let _ = self.sender.try_send(());
        self.due = now + spread(self.period, self.jitter);
    }
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) {
        if self.receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes a tick that waits, without waiting for one.
    pub fn try_next(&mut self) -> bool {
        self.receiver.try_recv().is_ok()
    }
}

fn spread(period: Duration, jitter: Duration) -> Duration {
    let part: f64 = rand::rng().random_range(0.0..=1.0);
    // A tick that is due at once would never let the driver wait.
    (period + jitter.mul_f64(part)).max(Duration::from_millis(1))
}
