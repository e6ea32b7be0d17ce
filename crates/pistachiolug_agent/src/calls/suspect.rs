//! Requests that were running when a backend server died: tried again alone, then refused.

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
    Calls, Stop, refuse,
    run::{Order, Run},
};

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Learns of crashes from another agent; runs of the same contents stop until they can run alone.
    pub fn learn_crash(&self, body: &[u8]) -> Reply {
        let Ok(notice) = codec::decode::<Notice>(body) else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        for death in notice.deaths {
            let mut desk = self.desk();
            desk.suspects.crash(death.content, death.incarnation, now);
            drop(desk);
            self.isolate(&death.content);
        }
        Response::new(Stream::from(""))
    }

    /// Returns the backend servers that are known to have died running a call's content.
    pub(super) fn crashes(&self, open: &Open) -> u8 {
        let now = self.now();
        let lists = self.inner.parts.force.current();
        let spread = lists.suspect(&open.content).map_or(0, |row| row.count());
        let told = open.crashes.max(u8::try_from(spread).unwrap_or(u8::MAX));
        let mut desk = self.desk();
        desk.suspects.learn(open.content, told, now);
        desk.suspects.crashes(&open.content, now)
    }

    /// Remembers and reports that a backend server died while it ran the call.
    pub(super) async fn suspect(&self, run: &Run, incarnation: u64) {
        let now = self.now();
        let content = run.open.content;
        let crashes = self.desk().suspects.crash(content, incarnation, now);
        log::warn!(call:% = run.open.id, content:%, crashes; "backend server died running the call");
        let death = Death {
            content,
            incarnation,
        };
        self.inner.parts.crashes.report(death).await;
    }

    /// Decides about a call that has its slot by what is known now.
    pub(super) fn check_suspect(&self, run: &Run) -> Option<Stop> {
        match suspect::decide(self.crashes(&run.open)) {
            Decision::Run => None,
            Decision::Alone if self.desk().schedule.is_alone(run.open.id) => None,
            Decision::Alone => Some(Stop::Isolated),
            Decision::Refuse => {
                let began = run.read(|log| log.version.is_some());
                Some(Stop::Ended(Body::Failed(refused(began))))
            }
        }
    }

    /// Stops runs of a content that may go on alone.
    fn isolate(&self, content: &Digest) {
        let runs: Vec<Arc<Run>> = {
            let desk = self.desk();
            let runs = desk.table.runs();
            let started = runs.filter(|(id, stage, run)| {
                *stage == Stage::Started
                    && run.open.content == *content
                    && !desk.schedule.is_alone(*id)
            });
            started.map(|(_, _, run)| Arc::clone(run)).collect()
        };
        for run in runs {
            run.order(Order::Isolate);
        }
    }
}

/// Final answer of a request that ended two backend servers.
pub(super) fn refused(began: bool) -> Fault {
    let message = "backend servers died running this request";
    let mut fault = Fault::not_run(Code::CrashSuspect, Duration::ZERO, message);
    if began {
        fault.outcome = Outcome::Unknown;
    }
    fault
}
