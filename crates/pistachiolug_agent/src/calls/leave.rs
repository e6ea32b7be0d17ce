//! Graceful shutdown: refuses new calls, returns queued ones to their entries, lets started ones finish, and moves long
//! generations to other instances shortly before the deadline.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Response, StatusCode};
use pistachiolug_http::server::Reply;
use pistachiolug_ledger::claim::Claims;
use pistachiolug_membership::view::View;
use pistachiolug_platform::{directory::Snapshot, engine::Engine, plain::Service};
use pistachiolug_routing::table::Stage;
use pistachiolug_wire::{
    call::{Generation, Id, Work},
    fault::{Code, Fault},
    instance::State,
    notice::Leaving,
};
use tokio::time::{sleep, timeout};

use super::{
    Calls, error_reply,
    run::{Command, Run},
};

/// Time before the drain deadline at which running generations are moved to other instances.
const MOVE_LEAD_TIME: Duration = Duration::from_secs(10);

/// Interval at which a draining agent checks whether its calls have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for exporting the cache of one call from the engine.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a drained agent keeps exported caches for the instances that resume the calls.
const CACHE_RETENTION: Duration = Duration::from_secs(2);

/// Retry delay of a returned call; it is short because another instance can take the call at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Refuses new calls from now on, returns queued ones and notifies the entries; repeated calls have no effect.
    pub fn leave(&self) {
        let (entries, waiting) = {
            let mut state = self.lock();
            if std::mem::replace(&mut state.is_leaving, true) {
                return;
            }
            let entries: Vec<SocketAddr> = state.recent_entries.keys().copied().collect();
            let runs = state.table.open_runs();
            let waiting: Vec<(Stage, Arc<Run>)> = runs
                .filter(|(id, _, _)| state.schedule.is_waiting(*id))
                .map(|(_, stage, run)| (stage, Arc::clone(run)))
                .collect();
            (entries, waiting)
        };
        for (stage, run) in waiting {
            if stage == Stage::Started {
                run.send_command(Command::Move);
                self.end_if_paused(&run);
                continue;
            }
            let message = "instance is leaving";
            let fault = Fault::not_run(Code::Leaving, LEAVING_RETRY_AFTER, message);
            self.drop_queued(run.open.id, fault);
        }
        self.notify_entries(entries);
    }

    /// Waits until all calls have ended; shortly before the deadline it moves running generations to other instances.
    ///
    /// Plain calls always run to their end; their callers' deadlines bound them.
    pub async fn drain(&self, within: Duration) {
        let started = self.now();
        let mut has_moved = false;
        while !self.is_idle() {
            let elapsed = self.now().saturating_sub(started);
            if !has_moved && elapsed + MOVE_LEAD_TIME.min(within / 2) >= within {
                has_moved = true;
                self.move_generations();
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        if !self.lock().exported_caches.is_empty() {
            sleep(CACHE_RETENTION).await;
        }
        self.lock().is_drained = true;
    }

    /// Returns whether [`Calls::drain`] has finished.
    pub fn is_drained(&self) -> bool {
        self.lock().is_drained
    }

    /// Calls [`Calls::leave`] once the instance list shows this instance as leaving, whichever process set that.
    pub async fn watch_instance_list(self, view: View) {
        let mut snapshots = view.subscribe();
        let name = &self.inner.options.instance;
        let is_leaving = |snapshot: &Arc<Snapshot>| {
            let mut instances = snapshot.instances.iter();
            instances.any(|instance| instance.name == *name && instance.state == State::Leaving)
        };
        // Can't fail: the view owns the sender and outlives this task.
        let _ = snapshots.wait_for(is_leaving).await;
        self.leave();
        std::future::pending::<()>().await;
    }

    /// Returns the engine cache of a moved call and forgets it; replies with 404 if there is none.
    pub fn take_cache(&self, id: &str) -> Reply {
        let cache = id.parse::<Id>().ok();
        let cache = cache.and_then(|id| self.lock().exported_caches.remove(&id));
        cache.map_or_else(
            || error_reply(StatusCode::NOT_FOUND),
            |cache| Response::new(cache.into()),
        )
    }

    /// Exports the engine cache of a call that is being moved, for the agent that resumes the call.
    pub(super) async fn export_cache(&self, run: &Run) {
        let export = self.inner.dependencies.engine.export_cache(run.open.id);
        if let Ok(Ok(cache)) = timeout(EXPORT_TIMEOUT, export).await {
            self.lock().exported_caches.insert(run.open.id, cache);
        }
    }

    /// Imports the engine cache of a call that another agent moved here; without it the engine recomputes the prefix.
    pub(super) async fn import_cache(&self, run: &Run, generation: &Generation) {
        let Some(agent) = generation.cache else {
            return;
        };
        let dependencies = &self.inner.dependencies;
        if let Some(cache) = dependencies.peers.fetch_cache(agent, run.open.id).await {
            let imported = dependencies.engine.import_cache(run.open.id, cache).await;
            log::info!(call:% = run.open.id, imported = imported.is_ok(); "received the engine cache of a moved call");
        }
    }

    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.table.open_count() == 0
            && state.pending_claim_writes == 0
            && state.pending_notices == 0
    }

    fn move_generations(&self) {
        let runs: Vec<Arc<Run>> = {
            let state = self.lock();
            let runs = state.table.open_runs();
            runs.map(|(_, _, run)| Arc::clone(run)).collect()
        };
        for run in runs {
            if matches!(run.open.work, Work::Model(_)) {
                run.send_command(Command::Move);
            }
        }
    }

    fn notify_entries(&self, entries: Vec<SocketAddr>) {
        let options = &self.inner.options;
        let notice = Leaving {
            instance: options.instance.clone(),
            incarnation: self.inner.dependencies.incarnation.get().unwrap_or(0),
        };
        self.lock().pending_notices += entries.len() as u32;
        for entry in entries {
            let calls = self.clone();
            let notice = notice.clone();
            tokio::spawn(async move {
                calls
                    .inner
                    .dependencies
                    .peers
                    .notify_leaving(entry, &notice)
                    .await;
                calls.lock().pending_notices -= 1;
            });
        }
    }
}
