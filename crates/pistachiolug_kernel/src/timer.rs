//! Timer service that parts subscribe to instead of sleeping on their own.

use std::time::Duration;

use rand::RngExt;
use tokio::{sync::mpsc, time};

/// Hands out ticks; clones share one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Timer;

/// Ticks of one subscription.
#[derive(Debug)]
pub struct Ticks {
    receiver: mpsc::Receiver<()>,
}

impl Timer {
    /// Subscribes to a tick every `period`, each moved by up to `jitter` so that instances do not act in step.
    ///
    /// A tick that the subscriber has not taken yet is not doubled.
    pub fn subscribe(&self, period: Duration, jitter: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            while !sender.is_closed() {
                let extra = rand::rng().random_range(0.0..=1.0);
                time::sleep(period + jitter.mul_f64(extra)).await;
                // A full channel means that the last tick still waits.
                let _ = sender.try_send(());
            }
        });
        Ticks { receiver }
    }
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) {
        if self.receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}
