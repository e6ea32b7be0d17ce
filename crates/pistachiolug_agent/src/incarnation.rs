//! Fencing number of this process, drawn once the key-value service answers.

use std::sync::{Arc, OnceLock};

use pistachiolug_ledger::incarnation;
use pistachiolug_platform::kv::Store;

/// Fencing number; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Incarnation {
    number: Arc<OnceLock<u64>>,
}

impl Incarnation {
    /// Returns the number, or `None` while the key-value service has not answered.
    pub fn get(&self) -> Option<u64> {
        self.number.get().copied()
    }

    /// Sets the number, once.
    pub fn set(&self, number: u64) {
        // A second number is never drawn.
        let _ = self.number.set(number);
    }

    /// Draws the number, waiting for as long as the service is away.
    pub async fn acquire<S: Store>(self, store: S, instance: String) {
        self.set(incarnation::acquire(&store, &instance).await);
    }
}
