//! Announced versions of the weights and the times at which they are due, without any I/O.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Version that every model starts with.
pub const FIRST_VERSION: u64 = 1;

/// Smallest correction of the time of an announcement that is used.
const MIN_CORRECTION: Duration = Duration::from_millis(100);

/// Version that was announced. All times are times since the agent's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Version number.
    pub version: u64,
    /// Time from which requests may no longer start on older versions: the grace after a time after which the version was
    /// announced. That time may be before the agent's start. `None` if the version may have been announced at any time.
    /// Only grows, and is never before that of an older version.
    pub due: Option<Duration>,
    /// `due` as it is known from the rows of the key-value service alone. What others tell is too late by the time that
    /// their datagrams take; if it were told on, these times would add up.
    pub due_by_rows: Option<Duration>,
}

/// Effect of a record on the known versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing changed.
    None,
    /// The version was not known.
    Added,
    /// A known version was announced later than known.
    Corrected,
}

/// Announced versions by model.
#[derive(Debug, Default)]
pub struct Versions {
    /// Announcements by model, in ascending order of their versions.
    by_model: FxHashMap<String, Vec<Announcement>>,
}

impl Versions {
    /// Returns the announcements of a model, in ascending order of their versions.
    pub fn of(&self, model: &str) -> &[Announcement] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest announced version of a model; the first version if none was announced.
    pub fn newest(&self, model: &str) -> u64 {
        let newest = self.of(model).last();
        newest.map_or(FIRST_VERSION, |newest| newest.version)
    }

    /// Returns the announcement of a version.
    pub fn find(&self, model: &str, version: u64) -> Option<Announcement> {
        let mut announced = self.of(model).iter();
        announced
            .find(|announced| announced.version == version)
            .copied()
    }

    /// Records an announced version.
    ///
    /// Versions up to `loaded`, the one that the engine has loaded, are ignored unless they are known. An older version
    /// than the newest known one is recorded, since other agents may still need its pieces.
    ///
    /// # Arguments
    /// `due_by_rows` is the part of `due` that is known from the rows of the key-value service.
    pub fn record(
        &mut self,
        model: &str,
        version: u64,
        due: Option<Duration>,
        due_by_rows: Option<Duration>,
        loaded: Option<u64>,
    ) -> Effect {
        let due = due.max(due_by_rows);
        let announced = self.by_model.entry(model.to_owned()).or_default();
        let index = announced.partition_point(|known| known.version < version);
        let effect = match announced.get(index) {
            Some(known) if known.version == version => {
                announced[index].due_by_rows = known.due_by_rows.max(due_by_rows);
                if due <= announced[index].due.map(|due| due + MIN_CORRECTION) {
                    return Effect::None;
                }
                Effect::Corrected
            }
            _ if version <= loaded.unwrap_or_default().max(FIRST_VERSION) => return Effect::None,
            _ => {
                let previous = index.checked_sub(1).map(|index| announced[index]);
                let announcement = Announcement {
                    version,
                    due: due.max(previous.and_then(|previous| previous.due)),
                    due_by_rows: due_by_rows
                        .max(previous.and_then(|previous| previous.due_by_rows)),
                };
                announced.insert(index, announcement);
                Effect::Added
            }
        };
        // Versions are announced one after the other.
        for later in &mut announced[index..] {
            later.due = later.due.max(due);
        }
        effect
    }
}
