//! Progress of the activation of versions, for the state dump.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use pistachiolug_weights::swarm::{Progress, Swarm};
use pistachiolug_wire::digest::Digest;
use serde_json::{Value, json};

use super::target::Target;

/// Stage of the activation of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// Its manifest is being read.
    Manifest,
    /// Its chunks are being pulled.
    Pulling,
    /// Its bytes and the load order are being sent to the engine.
    Loading,
    /// The engine serves it.
    Serving,
    /// It can't be activated until the operator acts; carries the finding.
    Refused(String),
    /// The last attempt failed and is going to be retried; carries the cause.
    Failed(String),
}

/// Progress of all target versions; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Status {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Rows of the target versions, by model.
    rows: BTreeMap<String, Row>,
    is_superseded: bool,
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
    /// Sets the stage of a version; a version replaces an earlier one of its model.
    pub fn set_stage(&self, target: &Target, stage: Stage) {
        let mut state = self.state();
        let row = state
            .rows
            .entry(target.model.clone())
            .or_insert_with(|| Row::new(target));
        if row.manifest != target.manifest || row.version != target.version {
            *row = Row::new(target);
        }
        if row.stage != stage {
            row.stage = stage;
            row.since = Instant::now();
        }
    }

    /// Sets the total length of a version in bytes.
    pub fn set_total_bytes(&self, target: &Target, bytes: u64) {
        if let Some(row) = self.state().rows.get_mut(&target.model) {
            row.total_bytes = bytes;
        }
    }

    /// Records that the engine serves a version, and its total length in bytes if that is known.
    pub fn mark_serving(&self, target: &Target, bytes: Option<u64>) {
        self.set_stage(target, Stage::Serving);
        if let Some(bytes) = bytes {
            self.set_total_bytes(target, bytes);
        }
    }

    /// Records that a version was refused; logs it unless the version already has this stage and finding.
    pub fn mark_refused(&self, target: &Target, finding: &str) {
        let stage = Stage::Refused(finding.to_owned());
        if self.stage(&target.model).as_ref() != Some(&stage) {
            log::error!(model = target.model.as_str(), version = target.version.as_str(), finding; "version refused");
        }
        self.set_stage(target, stage);
    }

    /// Returns the stage of a model's target version; `None` if the model has none here.
    pub fn stage(&self, model: &str) -> Option<Stage> {
        self.state().rows.get(model).map(|row| row.stage.clone())
    }

    /// Returns for how long a version has been served; zero if it is not.
    pub fn serving_duration(&self, target: &Target) -> Duration {
        let state = self.state();
        let row = state.rows.get(&target.model);
        let row = row.filter(|row| row.stage == Stage::Serving && row.manifest == target.manifest);
        row.map_or(Duration::ZERO, |row| row.since.elapsed())
    }

    /// Records that a newer process controls the engine, and logs it the first time.
    pub fn mark_superseded(&self) {
        let mut state = self.state();
        if !state.is_superseded {
            log::error!("a newer process controls the engine; this process sends no more orders");
        }
        state.is_superseded = true;
    }

    /// Removes the rows of models that have no target version here.
    pub fn retain(&self, targets: &[Target]) {
        let is_wanted = |model: &String| targets.iter().any(|target| target.model == *model);
        self.state().rows.retain(|model, _| is_wanted(model));
    }

    /// Renders the progress of the target versions and of their transfers.
    pub fn dump<S>(&self, swarm: &Swarm<S>) -> Value {
        let state = self.state();
        let rows = state.rows.iter();
        let versions: Vec<Value> = rows
            .map(|(model, row)| row.render(model, swarm.progress(&row.manifest)))
            .collect();
        let (used_bytes, budget_bytes) = swarm.staging_usage();
        json!({
            "versions": versions,
            "superseded": state.is_superseded,
            "staged_bytes": used_bytes,
            "staging_budget_bytes": budget_bytes,
            "uploaded_bytes": swarm.upload_bucket().taken(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    fn new(target: &Target) -> Self {
        Self {
            version: target.version.clone(),
            manifest: target.manifest,
            stage: Stage::Manifest,
            since: Instant::now(),
            total_bytes: 0,
        }
    }

    fn render(&self, model: &str, progress: Option<Progress>) -> Value {
        let progress = progress.unwrap_or_default();
        let (stage_name, finding) = self.stage.render();
        let done_bytes = if self.stage == Stage::Serving {
            self.total_bytes
        } else {
            self.total_bytes * progress.held as u64 / progress.total.max(1) as u64
        };
        json!({
            "model": model,
            "version": self.version,
            "state": stage_name,
            "finding": finding,
            "done_bytes": done_bytes,
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
