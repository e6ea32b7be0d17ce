//! Generations at the model engine.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{
    engine::{self, Chunk, Engine, Generate, Generation as _},
    plain::Service,
};
use pistachiolug_wire::{
    call::{Body, Finish, Generation},
    fault::{Code, Fault},
};
use tokio::sync::watch;

use super::{
    Calls, Stop,
    drive::plan_label,
    run::{Order, Run},
    withdraw::stopped,
};
use crate::serving::Health;

/// Times a generation is resumed at the same engine after its connection broke.
const MOST_RESUMES: u32 = 2;

/// Time after which a call may come back that the engine refused.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

/// Why one stream of the engine stopped.
enum Halt {
    /// The run stops.
    Stop(Stop),
    /// The engine's connection failed.
    Failed(engine::Error),
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Drives a generation until it ends or is paused.
    pub(super) async fn generate(&self, run: &Arc<Run>, generation: &Generation) -> Stop {
        let mut orders = run.orders();
        let version = run.read(|log| log.version.clone());
        let Some(version) = version.or_else(|| self.version(generation)) else {
            return unserved();
        };
        if !self.begin(run) {
            return Stop::Ended(stopped(Order::Cancel));
        }
        self.import_cache(run, generation).await;
        let mut resumes = 0;
        loop {
            let incarnation = self.inner.parts.serving.now().state.incarnation;
            let error = match self.stream(run, generation, &version, &mut orders).await {
                Halt::Stop(stop) => return stop,
                Halt::Failed(error) => error,
            };
            if resumes == MOST_RESUMES || !self.may_resume(&error, incarnation).await {
                return Stop::Ended(self.failed(run, &error, incarnation).await);
            }
            resumes += 1;
            self.stop_engine(run).await;
        }
    }

    /// Runs one stream of the engine from the token reached.
    async fn stream(
        &self,
        run: &Arc<Run>,
        generation: &Generation,
        version: &str,
        orders: &mut watch::Receiver<Order>,
    ) -> Halt {
        let call = self.request(run, generation, version);
        let opened = tokio::select! {
            biased;
            order = ordered(orders) => return Halt::Stop(self.halt(run, order).await),
            opened = self.inner.parts.engine.generate(&call) => opened,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => return Halt::Failed(error),
        };
        self.note_start(run, version);
        loop {
            let chunk = tokio::select! {
                biased;
                order = ordered(orders) => {
                    drop(stream);
                    return Halt::Stop(self.halt(run, order).await);
                }
                chunk = stream.next() => chunk,
            };
            match chunk.map(|chunk| self.take(run, version, chunk)) {
                Ok(None) => {}
                Ok(Some(end)) => return Halt::Stop(Stop::Ended(end)),
                Err(error) => return Halt::Failed(error),
            }
        }
    }

    fn request(&self, run: &Run, generation: &Generation, version: &str) -> Generate {
        let (reached, text) = run.read(|log| (log.reached(), log.text().to_owned()));
        Generate {
            id: run.open.id,
            path: generation.path.clone(),
            body: generation.body.clone(),
            version: version.to_owned(),
            priority: self.priority(&run.open),
            reached,
            prefix: format!("{}{text}", generation.prefix),
        }
    }

    /// Counts a run's first start and names its version; empty for plain services.
    pub(super) fn note_start(&self, run: &Run, version: &str) {
        let first = run.read(|log| log.version.is_none());
        if first {
            let lists = self.inner.parts.force.current();
            let plan = plan_label(&lists, run);
            let wait = self.now().saturating_sub(run.arrived);
            self.inner.parts.metrics.start(plan, wait);
        }
        run.start(version);
    }

    /// Takes a part of the answer; returns the last event once there is one.
    fn take(&self, run: &Run, version: &str, chunk: Chunk) -> Option<Body> {
        match chunk {
            Chunk::Tokens {
                at,
                texts,
                version: from,
            } => {
                if from != version {
                    return Some(broken("engine changed its version"));
                }
                if !run.add(at, &texts) {
                    return Some(broken("engine skipped or repeated tokens"));
                }
                let mut desk = self.desk();
                desk.schedule.progress(run.open.id, texts.len() as u32);
                None
            }
            Chunk::Done { tokens, .. } if tokens != run.read(super::run::Log::reached) => {
                Some(broken("engine ended early"))
            }
            Chunk::Done {
                reason,
                prompt_tokens,
                tokens,
            } => Some(Body::Finished(Finish {
                tokens,
                prompt_tokens,
                reason,
                load: self.load(),
            })),
        }
    }

    /// Stops the engine's work on a run as ordered.
    async fn halt(&self, run: &Arc<Run>, order: Order) -> Stop {
        if order == Order::Move {
            self.keep_cache(run).await;
        }
        self.stop_engine(run).await;
        match order {
            Order::Go | Order::Pause => Stop::Paused,
            Order::Isolate => Stop::Isolated,
            Order::Move | Order::Cancel => Stop::Ended(stopped(order)),
        }
    }

    async fn stop_engine(&self, run: &Run) {
        // An engine that knows the id no longer, or does not answer, runs it no longer either or has died.
        let _ = self.inner.parts.engine.cancel(run.open.id).await;
    }

    /// Tells whether the same engine can go on after an error.
    async fn may_resume(&self, error: &engine::Error, incarnation: u64) -> bool {
        let broken = matches!(error, engine::Error::Broken { .. });
        broken && self.inner.parts.serving.examine(incarnation).await == Health::Same
    }

    /// Finds the last event of a run whose engine failed.
    async fn failed(&self, run: &Run, error: &engine::Error, incarnation: u64) -> Body {
        let message = error.to_string();
        let began = run.read(|log| log.version.is_some());
        let refused = matches!(
            error,
            engine::Error::Unreachable { .. } | engine::Error::Refused { .. }
        );
        if refused && !began {
            let fault = Fault::not_run(Code::Unavailable, REFUSED_RETRY, &message);
            return Body::Failed(fault);
        }
        let died = !refused
            && matches!(
                self.inner.parts.serving.examine(incarnation).await,
                Health::Died(_)
            );
        if died {
            self.suspect(run, incarnation).await;
            return Body::Failed(Fault::unknown(Code::CrashSuspect, &message));
        }
        Body::Failed(Fault::unknown(Code::BackendFailed, &message))
    }
}

/// Waits for an order to stop.
async fn ordered(orders: &mut watch::Receiver<Order>) -> Order {
    let order = orders.wait_for(|order| *order != Order::Go).await;
    // The run holds the sender for as long as it is driven.
    order.map_or(Order::Cancel, |order| *order)
}

fn unserved() -> Stop {
    let message = "version is no longer served here";
    let fault = Fault::not_run(Code::Unavailable, REFUSED_RETRY, message);
    Stop::Ended(Body::Failed(fault))
}

fn broken(message: &str) -> Body {
    Body::Failed(Fault::unknown(Code::BackendFailed, message))
}
