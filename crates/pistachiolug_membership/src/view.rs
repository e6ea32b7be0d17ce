//! Shared view of the instances.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Role, State};
use tokio::sync::watch;

use crate::exclusion::{Cause, Exclusions};

/// Latest list merged with direct signs; clones share them.
#[derive(Debug, Clone)]
pub struct View {
    sender: watch::Sender<Arc<Snapshot>>,
    signs: Arc<Mutex<Exclusions>>,
    /// Grows whenever an instance may have been admitted or barred.
    epoch: Arc<AtomicU64>,
    clock: System,
}

impl Default for View {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
            signs: Arc::default(),
            epoch: Arc::default(),
            clock: System::default(),
        }
    }
}

impl View {
    /// Returns the list of now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.sender.borrow())
    }

    /// Takes a newly read list.
    pub fn replace(&self, snapshot: Snapshot) {
        self.signs()
            .update_listed(&snapshot.instances, self.clock.now());
        self.sender.send_replace(Arc::new(snapshot));
        self.touch();
    }

    /// Subscribes to new lists.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.sender.subscribe()
    }

    /// Records a direct sign; the instance gets no call from now on.
    pub fn exclude(&self, name: &str, cause: Cause) {
        let now = self.clock.now();
        self.signs().exclude(name, cause, now, rand::random());
        self.touch();
    }

    /// Returns the live agents of a service that no direct sign bars.
    pub fn agents(&self, service: &str) -> Vec<Instance> {
        let snapshot = self.snapshot();
        let signs = self.signs();
        agents(&snapshot, service)
            .filter(|instance| signs.admits(instance))
            .cloned()
            .collect()
    }

    /// Returns why a direct sign bars an instance.
    pub fn cause(&self, name: &str) -> Option<Cause> {
        self.signs().cause(name)
    }

    /// Returns a number that grows when the answer of [`View::agents`] may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Returns the number of instances that direct signs bar.
    pub fn excluded_count(&self) -> usize {
        self.signs().len()
    }

    /// Takes instances whose probe is due, with the time at which the probes begin.
    pub(crate) fn take_due_probes(&self, most: usize) -> (std::time::Duration, Vec<Instance>) {
        let now = self.clock.now();
        let names = self.signs().take_due_probes(now, rand::random(), most);
        let snapshot = self.snapshot();
        let listed = snapshot.instances.iter();
        let due = listed.filter(|instance| names.contains(&instance.name));
        (now, due.cloned().collect())
    }

    /// Takes the success of a probe.
    pub(crate) fn readmit(&self, name: &str, began: std::time::Duration) {
        if self.signs().readmit(name, began) {
            self.touch();
        }
    }

    fn signs(&self) -> MutexGuard<'_, Exclusions> {
        self.signs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn touch(&self) {
        self.epoch.fetch_add(1, Ordering::AcqRel);
    }
}

/// Iterates over the agents of a service that the list shows as live.
pub fn agents<'a>(
    snapshot: &'a Snapshot,
    service: &'a str,
) -> impl Iterator<Item = &'a Instance> + 'a {
    snapshot.instances.iter().filter(move |instance| {
        instance.role == Role::Agent && instance.state == State::Live && instance.service == service
    })
}
