//! Progress of roll-outs, for the state dump.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiolug_weights::swarm::{Progress, Swarm};
use pistachiolug_wire::digest::Digest;
use serde_json::{Value, json};

use super::want::Want;

/// Stage of one version here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// Its manifest is read.
    Manifest,
    /// Its chunks arrive.
    Pulling,
    /// The engine is given its bytes and the order.
    Loading,
    /// The engine serves it.
    Serving,
    /// It was refused; carries the finding.
    Refused(String),
    /// The last try failed and another follows; carries the cause.
    Failed(String),
}

/// State of all wanted versions; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Status {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Rows of the wanted versions by model.
    rows: BTreeMap<String, Row>,
    superseded: bool,
}

#[derive(Debug, Clone)]
struct Row {
    version: String,
    manifest: Digest,
    stage: Stage,
    since: Instant,
    total_bytes: u64,
}

impl Status {
    /// Moves a version to a stage.
    pub fn set(&self, want: &Want, stage: Stage) {
        let mut state = self.state();
        let row = state
            .rows
            .entry(want.model.clone())
            .or_insert_with(|| Row::new(want));
        if row.manifest != want.manifest || row.version != want.version {
            *row = Row::new(want);
        }
        if row.stage != stage {
            row.stage = stage;
            row.since = Instant::now();
        }
    }

    /// Sets the length of a version.
    pub fn set_total(&self, want: &Want, bytes: u64) {
        if let Some(row) = self.state().rows.get_mut(&want.model) {
            row.total_bytes = bytes;
        }
    }

    /// Takes note that a version serves.
    pub fn serve(&self, want: &Want, bytes: Option<u64>) {
        self.set(want, Stage::Serving);
        if let Some(bytes) = bytes {
            self.set_total(want, bytes);
        }
    }

    /// Takes note of a refusal, and logs it once.
    pub fn refuse(&self, want: &Want, finding: &str) {
        let stage = Stage::Refused(finding.to_owned());
        if self.stage(&want.model).as_ref() != Some(&stage) {
            log::error!(model = want.model.as_str(), version = want.version.as_str(), finding; "version refused");
        }
        self.set(want, stage);
    }

    /// Returns the stage of a model's version.
    pub fn stage(&self, model: &str) -> Option<Stage> {
        self.state().rows.get(model).map(|row| row.stage.clone())
    }

    /// Returns for how long a version has served.
    pub fn serving_for(&self, want: &Want) -> Duration {
        let state = self.state();
        let row = state.rows.get(&want.model);
        let row = row.filter(|row| row.stage == Stage::Serving && row.manifest == want.manifest);
        row.map_or(Duration::ZERO, |row| row.since.elapsed())
    }

    /// Takes note that a newer process orders the engine.
    pub fn supersede(&self) {
        let mut state = self.state();
        if !state.superseded {
            log::error!("a newer process orders the engine; this one orders nothing more");
        }
        state.superseded = true;
    }

    /// Drops the rows of models that are no longer wanted here.
    pub fn retain(&self, wants: &[Want]) {
        let wanted = |model: &String| wants.iter().any(|want| want.model == *model);
        self.state().rows.retain(|model, _| wanted(model));
    }

    /// Renders the state with the transfers' progress.
    pub fn dump<S>(&self, swarm: &Swarm<S>) -> Value {
        let state = self.state();
        let rows = state.rows.iter();
        let versions: Vec<Value> = rows
            .map(|(model, row)| row.render(model, swarm.progress(&row.manifest)))
            .collect();
        let (used, budget) = swarm.staging_usage();
        json!({
            "versions": versions,
            "superseded": state.superseded,
            "staged_bytes": used,
            "staging_budget_bytes": budget,
            "uploaded_bytes": swarm.upload_bucket().taken(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    fn new(want: &Want) -> Self {
        Self {
            version: want.version.clone(),
            manifest: want.manifest,
            stage: Stage::Manifest,
            since: Instant::now(),
            total_bytes: 0,
        }
    }

    fn render(&self, model: &str, progress: Option<Progress>) -> Value {
        let progress = progress.unwrap_or_default();
        let (name, finding) = self.stage.render();
        let done = if self.stage == Stage::Serving {
            self.total_bytes
        } else {
            self.total_bytes * progress.held as u64 / progress.total.max(1) as u64
        };
        json!({
            "model": model,
            "version": self.version,
            "state": name,
            "finding": finding,
            "done_bytes": done,
            "total_bytes": self.total_bytes,
            "chunks": progress.held,
            "total_chunks": progress.total,
            "reused_chunks": progress.reused,
            "source_bytes": progress.source_bytes,
            "member_bytes": progress.member_bytes,
            "corrupt_chunks": progress.corrupt,
            "throttled_reads": progress.throttled,
        })
    }
}

impl Stage {
    fn render(&self) -> (&'static str, Option<&str>) {
        match self {
            Self::Manifest => ("manifest", None),
            Self::Pulling => ("pulling", None),
            Self::Loading => ("loading", None),
            Self::Serving => ("serving", None),
            Self::Refused(finding) => ("refused", Some(finding)),
            Self::Failed(cause) => ("failed", Some(cause)),
        }
    }
}
