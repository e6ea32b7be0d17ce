//! Leaving: no new calls, waiting ones handed back, started ones to their end, long ones moved at the deadline.

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
    Calls, refuse,
    run::{Command, Run},
};

/// Time before the drain deadline at which long streams are moved to other instances.
const MOVE_TIME: Duration = Duration::from_secs(10);

/// Interval at which a draining agent looks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time the export of an engine's cache may take.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a drained agent keeps exported caches for the instances that resume.
const CACHE_TIME: Duration = Duration::from_secs(2);

/// Time after which a handed back call may come back; another instance takes it at once.
const LEAVING_RETRY: Duration = Duration::from_secs(1);

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Refuses new calls from now on, hands waiting ones back and tells the entries.
    pub fn leave(&self) {
        let (entries, waiting) = {
            let mut desk = self.desk();
            if std::mem::replace(&mut desk.leaving, true) {
                return;
            }
            let entries: Vec<SocketAddr> = desk.entries.keys().copied().collect();
            let runs = desk.table.runs();
            let waiting: Vec<(Stage, Arc<Run>)> = runs
                .filter(|(id, _, _)| desk.schedule.is_waiting(*id))
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
            let fault = Fault::not_run(Code::Leaving, LEAVING_RETRY, message);
            self.drop_queued(run.open.id, fault);
        }
        self.notify(entries);
    }

    /// Waits until all calls have ended; near the deadline long generations move elsewhere.
    ///
    /// Plain calls are bounded by their callers' deadlines and always run to their end.
    pub async fn drain(&self, within: Duration) {
        let started = self.now();
        let mut moved = false;
        while !self.is_idle() {
            let elapsed = self.now().saturating_sub(started);
            if !moved && elapsed + MOVE_TIME.min(within / 2) >= within {
                moved = true;
                self.move_all();
            }
            sleep(DRAIN_INTERVAL).await;
        }
        if !self.desk().caches.is_empty() {
            sleep(CACHE_TIME).await;
        }
        self.desk().drained = true;
    }

    /// Tells whether [`Calls::drain`] has ended.
    pub fn is_drained(&self) -> bool {
        self.desk().drained
    }

    /// Leaves once the instance list shows this instance as leaving, whoever put that there.
    pub async fn watch_instance_list(self, view: View) {
        let mut lists = view.subscribe();
        let name = &self.inner.options.instance;
        let leaves = |snapshot: &Arc<Snapshot>| {
            let mut rows = snapshot.instances.iter();
            rows.any(|row| row.name == *name && row.state == State::Leaving)
        };
        // The view outlives this task.
        let _ = lists.wait_for(leaves).await;
        self.leave();
        std::future::pending::<()>().await;
    }

    /// Serves the engine's cache of a moved call, once.
    pub fn take_cache(&self, id: &str) -> Reply {
        let cache = id.parse::<Id>().ok();
        let cache = cache.and_then(|id| self.desk().caches.remove(&id));
        cache.map_or_else(
            || refuse(StatusCode::NOT_FOUND),
            |cache| Response::new(cache.into()),
        )
    }

    /// Keeps the engine's cache of a call that is being moved.
    pub(super) async fn keep_cache(&self, run: &Run) {
        let export = self.inner.dependencies.engine.export_cache(run.open.id);
        if let Ok(Ok(cache)) = timeout(EXPORT_TIMEOUT, export).await {
            self.desk().caches.insert(run.open.id, cache);
        }
    }

    /// Hands the engine the cache of a call that another agent moved here; without it the engine reads the tokens again.
    pub(super) async fn import_cache(&self, run: &Run, generation: &Generation) {
        let Some(agent) = generation.cache else {
            return;
        };
        let dependencies = &self.inner.dependencies;
        if let Some(cache) = dependencies.peers.fetch_cache(agent, run.open.id).await {
            let imported = dependencies.engine.import_cache(run.open.id, cache).await;
            log::info!(call:% = run.open.id, imported = imported.is_ok(); "engine cache moved here");
        }
    }

    fn is_idle(&self) -> bool {
        let desk = self.desk();
        desk.table.open() == 0 && desk.claims == 0 && desk.notices == 0
    }

    fn move_all(&self) {
        let runs: Vec<Arc<Run>> = {
            let desk = self.desk();
            let runs = desk.table.runs();
            runs.map(|(_, _, run)| Arc::clone(run)).collect()
        };
        for run in runs {
            if matches!(run.open.work, Work::Model(_)) {
                run.send_command(Command::Move);
            }
        }
    }

    fn notify(&self, entries: Vec<SocketAddr>) {
        let options = &self.inner.options;
        let notice = Leaving {
            instance: options.instance.clone(),
            incarnation: self.inner.dependencies.incarnation.get().unwrap_or(0),
        };
        self.desk().notices += entries.len() as u32;
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
                calls.desk().notices -= 1;
            });
        }
    }
}
