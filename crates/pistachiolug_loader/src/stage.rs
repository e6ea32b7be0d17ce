//! Access to the pieces that the engine stages: none is written while they are verified and loaded.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use pistachiolug_kernel::clock::{Clock, System};
use tokio::{
    sync::{OwnedRwLockReadGuard, OwnedRwLockWriteGuard, RwLock},
    task::spawn_local,
};

use crate::{
    engine::{Engine, Error},
    staged::{Shelf, StagedVersion},
};

/// Right to write a piece.
#[derive(Debug)]
pub struct Permit {
    _guard: OwnedRwLockReadGuard<()>,
}

/// Time in which no piece is written, until it is dropped.
#[derive(Debug)]
pub struct Pause {
    _guard: OwnedRwLockWriteGuard<()>,
}

/// Pieces that the engine stages.
#[derive(Debug)]
pub struct Stage {
    writes: Arc<RwLock<()>>,
    /// When a write was last left without an answer, as time since the agent's start. The engine may still carry it out.
    unanswered_at: Rc<Cell<Option<Duration>>>,
    /// When the last write ended, as time since the agent's start.
    written_at: Rc<Cell<Option<Duration>>>,
    clock: System,
}

impl Stage {
    /// Creates the access to the pieces of an engine.
    pub fn new(clock: System) -> Self {
        Self {
            writes: Arc::default(),
            // A predecessor may have left one without an answer.
            unanswered_at: Rc::new(Cell::new(Some(clock.now()))),
            written_at: Rc::default(),
            clock,
        }
    }

    /// Records that no predecessor of the agent has written a piece.
    pub fn forget_predecessor(&self) {
        if self.written_at.get().is_none() {
            self.unanswered_at.set(None);
        }
    }

    /// Waits until pieces may be written.
    pub async fn permit(&self) -> Permit {
        Permit {
            _guard: Arc::clone(&self.writes).read_owned().await,
        }
    }

    /// Waits until the engine has dealt with all writes, and keeps further ones waiting.
    pub async fn pause(&self) -> Pause {
        Pause {
            _guard: Arc::clone(&self.writes).write_owned().await,
        }
    }

    /// Returns when a write was last left without an answer, as time since the agent's start.
    pub fn unanswered_at(&self) -> Option<Duration> {
        self.unanswered_at.get()
    }

    /// Returns when the last write ended, as time since the agent's start.
    pub fn written_at(&self) -> Option<Duration> {
        self.written_at.get()
    }

    /// Writes a piece in place of the one that is staged at its index. The write goes on if its caller does not wait for it,
    /// since the engine would carry it out all the same.
    ///
    /// # Errors
    /// [`Error`] if the engine gave no answer; it may still carry out the write.
    pub async fn write<E: Engine>(
        &self,
        permit: Permit,
        engine: &E,
        shelf: &Shelf,
        staged: &Rc<StagedVersion>,
        index: usize,
        bytes: Bytes,
    ) -> Result<(), Error> {
        shelf.replace_piece(staged, index);
        let (engine, staged) = (engine.clone(), Rc::clone(staged));
        let (unanswered_at, written_at) =
            (Rc::clone(&self.unanswered_at), Rc::clone(&self.written_at));
        let clock = self.clock.clone();
        let write = spawn_local(async move {
            let result = engine.stage(&staged.model, index, bytes).await;
            let now = Some(clock.now());
            match &result {
                Ok(()) => staged.set_staged(index, true),
                Err(_) => unanswered_at.set(now),
            }
            written_at.set(now);
            drop(permit);
            result
        });
        write.await.map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?
    }
}
