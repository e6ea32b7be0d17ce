//! Target versions: the versions that this instance should serve.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use pistachiolug_lists::{lists::Lists, plan::Model};
use pistachiolug_platform::{directory::Snapshot, engine::Loaded};
use pistachiolug_weights::{
    manifest::Chunk,
    order::Key,
    planner::ranking::Ranking,
    roster::{Member, Roster},
};
use pistachiolug_wire::{digest::Digest, instance::Instance};

use super::placement;

/// Time that all chunks of a version stay staged after it serves here, for members that are still pulling it.
pub const STAGING_RETENTION: Duration = Duration::from_secs(120);

/// Version of a model or an adapter that this instance should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the model or adapter.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// All members that should serve the version.
    pub roster: Arc<Roster>,
}

impl Target {
    /// Returns whether both stand for the same weights, whatever their rosters are.
    pub fn is_same(&self, other: &Self) -> bool {
        self.model == other.model
            && self.version == other.version
            && self.manifest == other.manifest
    }

    /// Returns whether a loaded version has the same model and version name.
    pub fn matches(&self, loaded: &Loaded) -> bool {
        loaded.model == self.model && loaded.version == self.version
    }
}

/// Returns the versions of models and adapters that `instance` should serve.
pub fn targets(lists: &Lists, snapshot: &Snapshot, service: &str, instance: &str) -> Vec<Target> {
    let models = lists.models().filter(|model| model.service == service);
    let mut targets = Vec::new();
    for model in models {
        let count = model.replicas.least as usize;
        let agents = placement::choose_instances(snapshot, service, &model.name, count);
        if agents.iter().any(|agent| agent.name == instance) {
            add_targets(&mut targets, model, &agents);
        }
    }
    targets
}

fn add_targets(targets: &mut Vec<Target>, model: &Model, agents: &[&Instance]) {
    let members = agents.iter().map(|agent| Member {
        name: agent.name.clone(),
        address: agent.address,
        region: agent.place.region.clone(),
    });
    let roster = Arc::new(Roster::new(members.collect()));
    targets.push(Target {
        model: model.name.clone(),
        version: model.version.clone(),
        manifest: model.manifest,
        roster: Arc::clone(&roster),
    });
    targets.extend(model.adapters.iter().map(|adapter| Target {
        model: adapter.name.clone(),
        version: adapter.version.clone(),
        manifest: adapter.manifest,
        roster: Arc::clone(&roster),
    }));
}

/// Returns the indices of the pieces, the distinct chunks of a version, that a member keeps after all have pulled it.
///
/// These are the pieces for which it is among the first `keepers` members of its region.
pub fn retained_pieces(
    roster: &Roster,
    region: &str,
    instance: &str,
    pieces: &[Chunk],
    keepers: usize,
) -> BTreeSet<u32> {
    let keys = pieces
        .iter()
        .map(|piece| Key::from(&piece.digest))
        .collect();
    let ranking = Ranking::new(Key::of(instance), keys, &roster.keys_in_region(region));
    ranking.pieces_below(keepers as u16).into_iter().collect()
}
