//! Fencing token of this process, acquired as soon as the key-value service answers.

use std::sync::{Arc, OnceLock};

use pistachiolug_ledger::incarnation;
use pistachiolug_platform::kv::Store;

/// Fencing token of this process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Incarnation {
    token: Arc<OnceLock<u64>>,
}

impl Incarnation {
    /// Returns the token, or `None` while the key-value service has not answered.
    pub fn get(&self) -> Option<u64> {
        self.token.get().copied()
    }

    /// Sets the token; only the first call has an effect.
    pub fn set(&self, token: u64) {
        // An error means that the token is already set; it never changes.
        let _ = self.token.set(token);
    }

    /// Acquires and sets the token; waits as long as the key-value service is unavailable.
    pub async fn acquire<S: Store>(self, store: S, instance: String) {
        self.set(incarnation::acquire(&store, &instance).await);
    }
}
