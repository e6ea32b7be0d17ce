//! Generations by the model engine.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{
    engine::{self, Chunk, Engine, GenerateRequest, Generation as _},
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
    run::{Command, Run},
    withdraw::stop_event,
};
use crate::monitor::Health;

/// Number of times that a generation is resumed at the same engine after its connection broke.
const MAX_RESUMES: u32 = 2;

/// Retry delay of a call that the engine refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why one stream of the engine ended.
enum StreamEnd {
    /// The driver stops.
    Stop(Stop),
    /// The request to the engine failed or its connection broke.
    Failed(engine::Error),
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Runs a generation until it ends, or has to pause or to run alone.
    pub(super) async fn generate(&self, run: &Arc<Run>, generation: &Generation) -> Stop {
        let mut commands = run.commands();
        let version = run.read(|output| output.version.clone());
        let Some(version) = version.or_else(|| self.choose_version(generation)) else {
            return version_not_served();
        };
        if !self.try_start(run) {
            return Stop::Ended(stop_event(Command::Cancel));
        }
        self.import_cache(run, generation).await;
        let mut resumes = 0;
        loop {
            let incarnation = self.inner.dependencies.monitor.latest().state.incarnation;
            let error = match self
                .run_stream(run, generation, &version, &mut commands)
                .await
            {
                StreamEnd::Stop(stop) => return stop,
                StreamEnd::Failed(error) => error,
            };
            if resumes == MAX_RESUMES || !self.may_resume(&error, incarnation).await {
                return Stop::Ended(self.failure_event(run, &error, incarnation).await);
            }
            resumes += 1;
            self.cancel_at_engine(run).await;
        }
    }

    /// Opens one stream of the engine from the next missing token and reads it to its end.
    async fn run_stream(
        &self,
        run: &Arc<Run>,
        generation: &Generation,
        version: &str,
        commands: &mut watch::Receiver<Command>,
    ) -> StreamEnd {
        let call = self.build_request(run, generation, version);
        let opened = tokio::select! {
            biased;
            command = stop_command(commands) =>
                return StreamEnd::Stop(self.stop_run(run, command).await),
            opened = self.inner.dependencies.engine.generate(&call) => opened,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => return StreamEnd::Failed(error),
        };
        self.record_start(run, version);
        loop {
            let chunk = tokio::select! {
                biased;
                command = stop_command(commands) => {
                    drop(stream);
                    return StreamEnd::Stop(self.stop_run(run, command).await);
                }
                chunk = stream.next() => chunk,
            };
            match chunk.map(|chunk| self.apply_chunk(run, version, chunk)) {
                Ok(None) => {}
                Ok(Some(end)) => return StreamEnd::Stop(Stop::Ended(end)),
                Err(error) => return StreamEnd::Failed(error),
            }
        }
    }

    fn build_request(&self, run: &Run, generation: &Generation, version: &str) -> GenerateRequest {
        let (reached, text) = run.read(|output| (output.next_index(), output.text().to_owned()));
        GenerateRequest {
            id: run.open.id,
            path: generation.path.clone(),
            body: generation.body.clone(),
            version: version.to_owned(),
            priority: self.priority(&run.open),
            reached,
            prefix: format!("{}{text}", generation.prefix),
        }
    }

    /// Counts the first start of a run and publishes its version, which is empty for a plain service.
    pub(super) fn record_start(&self, run: &Run, version: &str) {
        let is_first = run.read(|output| output.version.is_none());
        if is_first {
            let lists = self.inner.dependencies.active_lists.current();
            let plan = plan_label(&lists, run);
            let wait = self.now().saturating_sub(run.arrived_at);
            self.inner.dependencies.metrics.record_start(plan, wait);
        }
        run.mark_started(version);
    }

    /// Adds a chunk of the answer to the run; returns the last event if the chunk ends the answer.
    fn apply_chunk(&self, run: &Run, version: &str, chunk: Chunk) -> Option<Body> {
        match chunk {
            Chunk::Tokens {
                at,
                texts,
                version: chunk_version,
            } => {
                if chunk_version != version {
                    return Some(engine_fault("engine changed its version"));
                }
                if !run.append_tokens(at, &texts) {
                    return Some(engine_fault("engine skipped or repeated tokens"));
                }
                let mut state = self.lock();
                state
                    .schedule
                    .record_progress(run.open.id, texts.len() as u32);
                None
            }
            Chunk::Done { tokens, .. } if tokens != run.read(super::run::Output::next_index) => {
                Some(engine_fault("engine ended early"))
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

    /// Stops the engine's work on a run as `command` demands.
    async fn stop_run(&self, run: &Arc<Run>, command: Command) -> Stop {
        if command == Command::Move {
            self.export_cache(run).await;
        }
        self.cancel_at_engine(run).await;
        match command {
            Command::Proceed | Command::Pause => Stop::Paused,
            Command::Isolate => Stop::Isolated,
            Command::Move | Command::Cancel => Stop::Ended(stop_event(command)),
        }
    }

    async fn cancel_at_engine(&self, run: &Run) {
        // Errors are ignored: an engine that no longer knows the id doesn't run it, and one that doesn't answer has
        // stopped running it or has crashed.
        let _ = self.inner.dependencies.engine.cancel(run.open.id).await;
    }

    /// Returns whether the same engine process can continue a generation after an error.
    async fn may_resume(&self, error: &engine::Error, incarnation: u64) -> bool {
        let is_broken = matches!(error, engine::Error::Broken { .. });
        is_broken && self.inner.dependencies.monitor.diagnose(incarnation).await == Health::Same
    }

    /// Returns the last event of a run whose engine failed; reports a crash if the engine process died.
    async fn failure_event(&self, run: &Run, error: &engine::Error, incarnation: u64) -> Body {
        let message = error.to_string();
        let has_started = run.read(|output| output.version.is_some());
        let is_refused = matches!(
            error,
            engine::Error::Unreachable { .. } | engine::Error::Refused { .. }
        );
        if is_refused && !has_started {
            let fault = Fault::not_run(Code::Unavailable, REFUSED_RETRY_AFTER, &message);
            return Body::Failed(fault);
        }
        let has_died = !is_refused
            && matches!(
                self.inner.dependencies.monitor.diagnose(incarnation).await,
                Health::Died(_)
            );
        if has_died {
            self.record_crash(run, incarnation).await;
            return Body::Failed(Fault::unknown(Code::CrashSuspect, &message));
        }
        Body::Failed(Fault::unknown(Code::BackendFailed, &message))
    }
}

/// Waits for a command that stops the run.
async fn stop_command(commands: &mut watch::Receiver<Command>) -> Command {
    let command = commands
        .wait_for(|command| *command != Command::Proceed)
        .await;
    // Can't fail: the run owns the sender and exists as long as its driver.
    command.map_or(Command::Cancel, |command| *command)
}

fn version_not_served() -> Stop {
    let message = "version is no longer served here";
    let fault = Fault::not_run(Code::Unavailable, REFUSED_RETRY_AFTER, message);
    Stop::Ended(Body::Failed(fault))
}

fn engine_fault(message: &str) -> Body {
    Body::Failed(Fault::unknown(Code::BackendFailed, message))
}
