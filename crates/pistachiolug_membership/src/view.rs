//! View of the instances that the parts of a process share.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Role, State};
use tokio::sync::watch;

use crate::exclusion::{Cause, Exclusions};

/// Latest instance list and the excluded instances; clones share both.
#[derive(Debug, Clone)]
pub struct View {
    sender: watch::Sender<Arc<Snapshot>>,
    exclusions: Arc<Mutex<Exclusions>>,
    /// Grows whenever an instance may have been listed, excluded or readmitted.
    epoch: Arc<AtomicU64>,
    clock: System,
}

impl Default for View {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
            exclusions: Arc::default(),
            epoch: Arc::default(),
            clock: System::default(),
        }
    }
}

impl View {
    /// Returns the latest list; empty before the first one was read.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.sender.borrow())
    }

    /// Replaces the list with a newly read one.
    pub fn replace(&self, snapshot: Snapshot) {
        self.exclusions()
            .update_listed(&snapshot.instances, self.clock.now());
        self.sender.send_replace(Arc::new(snapshot));
        self.advance_epoch();
    }

    /// Returns a receiver of new lists, which starts with the latest one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.sender.subscribe()
    }

    /// Excludes an instance from calls until a probe that starts later succeeds.
    pub fn exclude(&self, name: &str, cause: Cause) {
        let now = self.clock.now();
        self.exclusions().exclude(name, cause, now, rand::random());
        self.advance_epoch();
    }

    /// Returns the agents of a service that are live and not excluded.
    pub fn agents(&self, service: &str) -> Vec<Instance> {
        let snapshot = self.snapshot();
        let exclusions = self.exclusions();
        agents(&snapshot, service)
            .filter(|instance| exclusions.admits(instance))
            .cloned()
            .collect()
    }

    /// Returns why an instance is excluded; `None` if it is not.
    pub fn cause(&self, name: &str) -> Option<Cause> {
        self.exclusions().cause(name)
    }

    /// Returns a number that grows whenever the result of [`View::agents`] may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Returns the number of excluded instances.
    pub fn excluded_count(&self) -> usize {
        self.exclusions().len()
    }

    /// Returns at most `max_probes` instances whose probe is due, and the time at which the probes start.
    pub(crate) fn take_due_probes(
        &self,
        max_probes: usize,
    ) -> (std::time::Duration, Vec<Instance>) {
        let now = self.clock.now();
        let names = self
            .exclusions()
            .take_due_probes(now, rand::random(), max_probes);
        let snapshot = self.snapshot();
        let listed = snapshot.instances.iter();
        let due = listed.filter(|instance| names.contains(&instance.name));
        (now, due.cloned().collect())
    }

    /// Readmits an instance after a successful probe, unless there was an observation after the probe started.
    pub(crate) fn readmit(&self, name: &str, probe_started_at: std::time::Duration) {
        if self.exclusions().readmit(name, probe_started_at) {
            self.advance_epoch();
        }
    }

    fn exclusions(&self) -> MutexGuard<'_, Exclusions> {
        self.exclusions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn advance_epoch(&self) {
        self.epoch.fetch_add(1, Ordering::AcqRel);
    }
}

/// Iterates over the agents of a service that are live according to the list, including excluded ones.
pub fn agents<'a>(
    snapshot: &'a Snapshot,
    service: &'a str,
) -> impl Iterator<Item = &'a Instance> + 'a {
    snapshot.instances.iter().filter(move |instance| {
        instance.role == Role::Agent && instance.state == State::Live && instance.service == service
    })
}
