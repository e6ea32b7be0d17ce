//! Versions that this instance should serve.

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

/// Time for which all chunks stay staged after a version serves here, for members that are not done yet.
pub const LINGER: Duration = Duration::from_secs(120);

/// Version wanted here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Want {
    /// Model's or adapter's name.
    pub model: String,
    /// Version's name.
    pub version: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// All members that need it.
    pub roster: Arc<Roster>,
}

impl Want {
    /// Tells whether both mean the same bytes, whoever else needs them.
    pub fn is_same(&self, other: &Self) -> bool {
        self.model == other.model
            && self.version == other.version
            && self.manifest == other.manifest
    }

    /// Tells whether a loaded version has this name.
    pub fn names(&self, loaded: &Loaded) -> bool {
        loaded.model == self.model && loaded.version == self.version
    }
}

/// Returns the models and adapters that `instance` should serve.
pub fn wants(lists: &Lists, snapshot: &Snapshot, service: &str, instance: &str) -> Vec<Want> {
    let models = lists.models().filter(|model| model.service == service);
    let mut wants = Vec::new();
    for model in models {
        let count = model.replicas.least as usize;
        let chosen = placement::chosen(snapshot, service, &model.name, count);
        if chosen.iter().any(|agent| agent.name == instance) {
            add(&mut wants, model, &chosen);
        }
    }
    wants
}

fn add(wants: &mut Vec<Want>, model: &Model, chosen: &[&Instance]) {
    let members = chosen.iter().map(|agent| Member {
        name: agent.name.clone(),
        address: agent.address,
        region: agent.place.region.clone(),
    });
    let roster = Arc::new(Roster::new(members.collect()));
    wants.push(Want {
        model: model.name.clone(),
        version: model.version.clone(),
        manifest: model.manifest,
        roster: Arc::clone(&roster),
    });
    wants.extend(model.adapters.iter().map(|adapter| Want {
        model: adapter.name.clone(),
        version: adapter.version.clone(),
        manifest: adapter.manifest,
        roster: Arc::clone(&roster),
    }));
}

/// Returns the pieces that a member keeps after the spread: those for which it is among the first `keepers`.
pub fn kept(
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
    let duty = Ranking::new(Key::of(instance), keys, &roster.keys_in_region(region));
    duty.pieces_below(keepers as u16).into_iter().collect()
}
