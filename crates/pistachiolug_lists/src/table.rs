//! Rows as written, with the last good value of each, and the lists that follow from them.
//!
//! Pure: places that have seen the same writes hold the same table, whatever path and order they came by.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::{
    check,
    lists::Lists,
    row::{Kind, Name, Row},
};

/// Changes that are remembered, so that peers this far behind get only those.
pub const MAX_LOG_ENTRIES: usize = 4096;

/// Row that is not in force as it was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Key of the row.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
    /// Why it is kept out.
    pub reason: String,
    /// Whether an earlier value stays in force instead.
    pub earlier_stays: bool,
}

/// Latest write of one row, and what is in force if that is not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Row's name.
    pub name: Name,
    /// Revision of the write.
    pub revision: u64,
    /// Value as written; `None` for a removal.
    pub value: Option<Bytes>,
    /// Last good value, where it differs from `value`.
    pub good: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Held {
    revision: u64,
    /// `None` for a removal that is kept out.
    value: Option<Bytes>,
    /// Row of `value`, or why it is none.
    parsed: Result<Arc<Row>, String>,
    /// Last value that was in force.
    good: Option<(Bytes, Arc<Row>)>,
}

/// All rows at one revision.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Revision up to which all changes are included; never falls.
    revision: u64,
    rows: BTreeMap<Name, Held>,
    /// Latest changes in order of their arrival, removals included.
    log: VecDeque<(u64, Name)>,
    /// Revisions of the removals in `log` whose rows are gone.
    gone: BTreeMap<Name, u64>,
    /// Largest revision that was dropped from `log`; peers before it need all rows.
    log_floor: u64,
    /// Exclusive or of the digests of all rows as written.
    sum: [u8; 32],
}

impl Table {
    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of all rows as written, the same at every place that has seen the same writes.
    pub fn digest(&self) -> Digest {
        Digest::from(self.sum)
    }

    /// Moves to a later revision; an earlier one is ignored.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a write; an older one than the row's latest is ignored.
    ///
    /// Returns whether the table changed.
    pub fn apply(&mut self, change: Change) -> bool {
        if self.seen(&change.name).unwrap_or(self.log_floor) >= change.revision {
            return false;
        }
        self.record(change.revision, &change.name);
        self.store(change);
        true
    }

    /// Replaces a row's latest write.
    fn store(&mut self, change: Change) {
        self.gone.remove(&change.name);
        let previous = self.rows.remove(&change.name);
        if let Some(held) = &previous {
            self.toggle(&change.name, held.revision, held.value.as_ref());
        }
        self.toggle(&change.name, change.revision, change.value.as_ref());
        let good = previous.and_then(|held| held.good);
        let good = good.or_else(|| parse_good(&change));
        let parsed = parse(&change);
        let held = Held {
            revision: change.revision,
            value: change.value,
            parsed,
            good,
        };
        self.rows.insert(change.name, held);
    }

    /// Takes a complete reading at a revision: rows that it lacks were removed at an unknown time up to then.
    ///
    /// A reading older than the table is refused.
    pub fn apply_snapshot(&mut self, changes: Vec<Change>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        if self.rows.is_empty() && self.log.is_empty() {
            self.log_floor = revision;
            for change in changes {
                self.store(change);
            }
            self.advance(revision);
            return true;
        }
        let listed: BTreeSet<Name> = changes.iter().map(|it| it.name.clone()).collect();
        let gone: Vec<Name> = self
            .rows
            .iter()
            .filter(|(name, held)| {
                held.value.is_some() && held.revision <= revision && !listed.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.apply(Change {
                name,
                revision,
                value: None,
                good: None,
            });
        }
        for change in changes {
            if self.seen(&change.name).unwrap_or(0) < change.revision {
                self.record(change.revision, &change.name);
                self.store(change);
            }
        }
        self.advance(revision);
        true
    }

    /// Returns the changes after a revision, or all rows and `true` for revision 0 or if they are no longer remembered.
    pub fn changes_after(&self, revision: u64) -> (Vec<Change>, bool) {
        if revision == 0 || revision < self.log_floor {
            let rows = self.rows.iter();
            return (rows.map(|(name, held)| held.change(name)).collect(), true);
        }
        let newer = self.log.iter().filter(|(at, _)| *at > revision);
        let names: BTreeMap<&Name, u64> = newer.map(|(at, name)| (name, *at)).collect();
        let changes = names.into_iter().map(|(name, at)| {
            let removal = Change {
                name: name.clone(),
                revision: at,
                value: None,
                good: None,
            };
            let held = self.rows.get(name);
            held.map_or(removal, |held| held.change(name))
        });
        (changes.collect(), false)
    }

    /// Decides which rows are in force.
    ///
    /// A row that breaks a rule stays out and its last good value stays in force; so does one whose removal would leave
    /// a reference without its row.
    pub fn resolve(&mut self) -> Lists {
        let mut lists = Lists::default();
        let referred = self.referred();
        for kind in Kind::ALL.into_iter().rev() {
            for name in self.names(kind) {
                self.resolve_row(&name, &referred, &mut lists);
            }
        }
        lists.advance(self.revision);
        lists
    }

    fn resolve_row(&mut self, name: &Name, referred: &BTreeSet<Name>, lists: &mut Lists) {
        let Some(held) = self.rows.get_mut(name) else {
            return;
        };
        let reason = match (&held.value, &held.parsed) {
            (None, _) if !referred.contains(name) || held.good.is_none() => {
                let revision = held.revision;
                self.rows.remove(name);
                self.gone.insert(name.clone(), revision);
                return;
            }
            (None, _) => "its removal is kept out while rows refer to it".to_owned(),
            (Some(_), Err(reason)) => reason.clone(),
            (Some(value), Ok(row)) => match violation(row, name, lists) {
                None => {
                    held.good = Some((value.clone(), Arc::clone(row)));
                    lists.insert(Row::clone(row));
                    return;
                }
                Some(reason) => reason,
            },
        };
        let good = held.good.as_ref().map(|(_, row)| row);
        let earlier = good.filter(|row| violation(row, name, lists).is_none());
        lists.report(Problem {
            key: name.key(),
            revision: held.revision,
            reason,
            earlier_stays: earlier.is_some(),
        });
        if let Some(row) = earlier {
            lists.insert(Row::clone(row));
        }
    }

    /// Returns the names of a kind by the age of their latest write, so that the earlier of two rivals stays.
    fn names(&self, kind: Kind) -> Vec<Name> {
        let rows = self.rows.iter().filter(|(name, _)| name.kind == kind);
        let mut names: Vec<_> = rows.map(|(name, held)| (held.revision, name)).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn referred(&self) -> BTreeSet<Name> {
        let written = self.rows.values().filter(|held| held.value.is_some());
        let rows = written.filter_map(|held| held.parsed.as_ref().ok());
        rows.flat_map(|row| check::references(row))
            .map(|(_, name)| name)
            .collect()
    }

    /// Returns the revision of the latest write of a row that is known, removals included.
    fn seen(&self, name: &Name) -> Option<u64> {
        let held = self.rows.get(name).map(|held| held.revision);
        held.or_else(|| self.gone.get(name).copied())
    }

    fn record(&mut self, revision: u64, name: &Name) {
        self.log.push_back((revision, name.clone()));
        if self.log.len() <= MAX_LOG_ENTRIES {
            return;
        }
        if let Some((dropped, name)) = self.log.pop_front() {
            self.log_floor = self.log_floor.max(dropped);
            if self.gone.get(&name) == Some(&dropped) {
                self.gone.remove(&name);
            }
        }
    }

    fn toggle(&mut self, name: &Name, revision: u64, value: Option<&Bytes>) {
        let Some(value) = value else {
            return;
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(name.key().as_bytes());
        hasher.update(&[0]);
        hasher.update(&revision.to_le_bytes());
        hasher.update(value);
        let digest = hasher.finalize();
        for (sum, byte) in self.sum.iter_mut().zip(digest.as_bytes()) {
            *sum ^= byte;
        }
    }
}

impl Held {
    fn change(&self, name: &Name) -> Change {
        let good = self.good.as_ref().map(|(value, _)| value.clone());
        Change {
            name: name.clone(),
            revision: self.revision,
            value: self.value.clone(),
            good: good.filter(|good| Some(good) != self.value.as_ref()),
        }
    }
}

fn parse(change: &Change) -> Result<Arc<Row>, String> {
    let value = change.value.as_ref().ok_or("removed")?;
    let row = Row::parse(change.name.kind, value).map_err(|error| error.to_string())?;
    Ok(Arc::new(row))
}

fn parse_good(change: &Change) -> Option<(Bytes, Arc<Row>)> {
    let good = change.good.as_ref()?;
    let row = Row::parse(change.name.kind, good).ok()?;
    Some((good.clone(), Arc::new(row)))
}

/// Returns why a row must not be in force beside the rows of `lists`.
fn violation(row: &Row, name: &Name, lists: &Lists) -> Option<String> {
    if row.name() != *name {
        return Some(format!("its name is `{}`", row.name().name));
    }
    let violations = check::check_row(row).into_iter();
    let mut violations = violations.chain(check::check_with_lists(row, lists));
    violations.next().map(|violation| {
        let field = if violation.field.is_empty() {
            String::new()
        } else {
            format!("{}: ", violation.field)
        };
        format!("{field}{}", violation.reason)
    })
}
