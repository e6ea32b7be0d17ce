//! Crash suspects: calls whose content was running when a backend server crashed. They are retried alone, then refused.

use std::{sync::Arc, time::Duration};

use http::{Response, StatusCode};
use pistachiolug_http::{body::Body as Stream, server::Reply};
use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::{
    suspect::{self, Decision},
    table::Stage,
};
use pistachiolug_wire::{
    call::{Body, Open},
    codec,
    crash::{Death, Notice},
    digest::Digest,
    fault::{Code, Fault},
    outcome::Outcome,
};

use super::{
    Calls, Stop, error_reply,
    run::{Command, Run},
};

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Handles a crash notice of another agent; started runs with the same contents stop until they can run alone.
    pub fn receive_crashes(&self, body: &[u8]) -> Reply {
        let Ok(notice) = codec::decode::<Notice>(body) else {
            return error_reply(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        for death in notice.deaths {
            let mut state = self.lock();
            state
                .suspects
                .record_crash(death.content, death.incarnation, now);
            drop(state);
            self.isolate(&death.content);
        }
        Response::new(Stream::from(""))
    }

    /// Returns the number of backend servers that are known to have crashed while they ran the content of a call.
    pub(super) fn count_crashes(&self, open: &Open) -> u8 {
        let now = self.now();
        let lists = self.inner.dependencies.active_lists.current();
        let listed = lists.suspect(&open.content).map_or(0, |row| row.count());
        let reported = open.crashes.max(u8::try_from(listed).unwrap_or(u8::MAX));
        let mut state = self.lock();
        state.suspects.record_reported(open.content, reported, now);
        state.suspects.crash_count(&open.content, now)
    }

    /// Records and reports that a backend server crashed while it ran the call.
    pub(super) async fn record_crash(&self, run: &Run, incarnation: u64) {
        let now = self.now();
        let content = run.open.content;
        let crashes = self.lock().suspects.record_crash(content, incarnation, now);
        log::warn!(call:% = run.open.id, content:%, crashes; "backend server crashed while running the call");
        let death = Death {
            content,
            incarnation,
        };
        self.inner.dependencies.crash_reporter.report(death).await;
    }

    /// Checks by the crashes known now whether a call that got a slot may run; returns `None` if it may.
    pub(super) fn check_suspect(&self, run: &Run) -> Option<Stop> {
        match suspect::decide(self.count_crashes(&run.open)) {
            Decision::Run => None,
            Decision::Isolate if self.lock().schedule.is_isolated(run.open.id) => None,
            Decision::Isolate => Some(Stop::Isolated),
            Decision::Refuse => {
                let has_started = run.read(|output| output.version.is_some());
                Some(Stop::Ended(Body::Failed(suspect_fault(has_started))))
            }
        }
    }

    /// Stops the started runs with a content that do not run alone, so that they are resumed alone.
    fn isolate(&self, content: &Digest) {
        let runs: Vec<Arc<Run>> = {
            let state = self.lock();
            let runs = state.table.open_runs();
            let started = runs.filter(|(id, stage, run)| {
                *stage == Stage::Started
                    && run.open.content == *content
                    && !state.schedule.is_isolated(*id)
            });
            started.map(|(_, _, run)| Arc::clone(run)).collect()
        };
        for run in runs {
            run.send_command(Command::Isolate);
        }
    }
}

/// Returns the fault of a call whose content crashed two backend servers.
pub(super) fn suspect_fault(has_started: bool) -> Fault {
    let message = "backend servers died running this request";
    let mut fault = Fault::not_run(Code::CrashSuspect, Duration::ZERO, message);
    if has_started {
        fault.outcome = Outcome::Unknown;
    }
    fault
}
