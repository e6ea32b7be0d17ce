//! Table of all rows as written, each with its last valid value, from which the active lists are computed.
//!
//! Does no I/O. Instances that have received the same writes have the same table, in whatever order the writes arrived.

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

/// Maximum number of changes in the log; peers that lack more than the log holds get all rows instead.
pub const MAX_LOG_ENTRIES: usize = 4096;

/// Row that is not active as written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Key of the row in the key-value service.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
    /// Rule that the row violates, or why it cannot be parsed or removed.
    pub reason: String,
    /// Whether the last valid value of the row stays active instead.
    pub earlier_stays: bool,
}

/// Latest write of one row, with its last valid value if that is another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind and name of the row.
    pub name: Name,
    /// Revision of the write.
    pub revision: u64,
    /// Value as written; `None` for a removal.
    pub value: Option<Bytes>,
    /// Last valid value if it differs from `value`.
    pub good: Option<Bytes>,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    /// Value as written; `None` for a removal that is not active.
    value: Option<Bytes>,
    /// Row parsed from `value`, or the parse error.
    parsed: Result<Arc<Row>, String>,
    /// Last value that was active.
    last_good: Option<(Bytes, Arc<Row>)>,
}

/// Table of all rows at one revision.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Revision up to which all changes are included; never decreases.
    revision: u64,
    rows: BTreeMap<Name, Entry>,
    /// Latest changes, including removals, in order of arrival.
    log: VecDeque<(u64, Name)>,
    /// Revisions of the removals in `log` whose rows are no longer in `rows`.
    tombstones: BTreeMap<Name, u64>,
    /// Highest revision that was dropped from `log`; peers at a lower revision need all rows.
    log_floor: u64,
    /// XOR of the digests of all rows as written.
    checksum: [u8; 32],
}

impl Table {
    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of all rows as written, which is equal on instances that have received the same writes.
    pub fn digest(&self) -> Digest {
        Digest::from(self.checksum)
    }

    /// Raises the revision; a lower one is ignored.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a write unless the row already has it or a later one.
    ///
    /// Returns whether the table changed.
    pub fn apply(&mut self, change: Change) -> bool {
        if self.last_revision(&change.name).unwrap_or(self.log_floor) >= change.revision {
            return false;
        }
        self.record(change.revision, &change.name);
        self.store(change);
        true
    }

    /// Replaces a row's latest write.
    fn store(&mut self, change: Change) {
        self.tombstones.remove(&change.name);
        let previous = self.rows.remove(&change.name);
        if let Some(entry) = &previous {
            self.toggle_checksum(&change.name, entry.revision, entry.value.as_ref());
        }
        self.toggle_checksum(&change.name, change.revision, change.value.as_ref());
        let last_good = previous.and_then(|entry| entry.last_good);
        let last_good = last_good.or_else(|| parse_good(&change));
        let parsed = parse(&change);
        let entry = Entry {
            revision: change.revision,
            value: change.value,
            parsed,
            last_good,
        };
        self.rows.insert(change.name, entry);
    }

    /// Applies a full read at a revision; rows that are missing from it were removed at or before that revision.
    ///
    /// Returns `false` and changes nothing if the read is older than the table.
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
        let removed: Vec<Name> = self
            .rows
            .iter()
            .filter(|(name, entry)| {
                entry.value.is_some() && entry.revision <= revision && !listed.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in removed {
            self.apply(Change {
                name,
                revision,
                value: None,
                good: None,
            });
        }
        for change in changes {
            if self.last_revision(&change.name).unwrap_or(0) < change.revision {
                self.record(change.revision, &change.name);
                self.store(change);
            }
        }
        self.advance(revision);
        true
    }

    /// Returns the changes after a revision and `false`, or all rows and `true` for revision 0 and for revisions that
    /// the log no longer covers.
    pub fn changes_after(&self, revision: u64) -> (Vec<Change>, bool) {
        if revision == 0 || revision < self.log_floor {
            let rows = self.rows.iter();
            return (rows.map(|(name, entry)| entry.change(name)).collect(), true);
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
            let entry = self.rows.get(name);
            entry.map_or(removal, |entry| entry.change(name))
        });
        (changes.collect(), false)
    }

    /// Computes the active lists.
    ///
    /// If a row violates a rule, its last valid value stays active instead. The same applies to a removed row to which
    /// other rows still refer.
    pub fn resolve(&mut self) -> Lists {
        let mut lists = Lists::default();
        let referenced = self.referenced();
        for kind in Kind::ALL.into_iter().rev() {
            for name in self.names(kind) {
                self.resolve_row(&name, &referenced, &mut lists);
            }
        }
        lists.advance(self.revision);
        lists
    }

    fn resolve_row(&mut self, name: &Name, referenced: &BTreeSet<Name>, lists: &mut Lists) {
        let Some(entry) = self.rows.get_mut(name) else {
            return;
        };
        let reason = match (&entry.value, &entry.parsed) {
            (None, _) if !referenced.contains(name) || entry.last_good.is_none() => {
                let revision = entry.revision;
                self.rows.remove(name);
                self.tombstones.insert(name.clone(), revision);
                return;
            }
            (None, _) => "its removal is kept out while rows refer to it".to_owned(),
            (Some(_), Err(reason)) => reason.clone(),
            (Some(value), Ok(row)) => match find_violation(row, name, lists) {
                None => {
                    entry.last_good = Some((value.clone(), Arc::clone(row)));
                    lists.insert(Row::clone(row));
                    return;
                }
                Some(reason) => reason,
            },
        };
        let last_good = entry.last_good.as_ref().map(|(_, row)| row);
        let earlier = last_good.filter(|row| find_violation(row, name, lists).is_none());
        lists.add_problem(Problem {
            key: name.key(),
            revision: entry.revision,
            reason,
            earlier_stays: earlier.is_some(),
        });
        if let Some(row) = earlier {
            lists.insert(Row::clone(row));
        }
    }

    /// Returns the names of a kind in order of their latest writes, so that the earlier of two conflicting rows is
    /// active.
    fn names(&self, kind: Kind) -> Vec<Name> {
        let rows = self.rows.iter().filter(|(name, _)| name.kind == kind);
        let mut names: Vec<_> = rows.map(|(name, entry)| (entry.revision, name)).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the names of the rows that other rows refer to, as written.
    fn referenced(&self) -> BTreeSet<Name> {
        let written = self.rows.values().filter(|entry| entry.value.is_some());
        let rows = written.filter_map(|entry| entry.parsed.as_ref().ok());
        rows.flat_map(|row| check::references(row))
            .map(|(_, name)| name)
            .collect()
    }

    /// Returns the revision of the latest known write or removal of a row.
    fn last_revision(&self, name: &Name) -> Option<u64> {
        let revision = self.rows.get(name).map(|entry| entry.revision);
        revision.or_else(|| self.tombstones.get(name).copied())
    }

    /// Appends a change to the log and drops the oldest one above the limit.
    fn record(&mut self, revision: u64, name: &Name) {
        self.log.push_back((revision, name.clone()));
        if self.log.len() <= MAX_LOG_ENTRIES {
            return;
        }
        if let Some((dropped, name)) = self.log.pop_front() {
            self.log_floor = self.log_floor.max(dropped);
            if self.tombstones.get(&name) == Some(&dropped) {
                self.tombstones.remove(&name);
            }
        }
    }

    /// Adds a row to the checksum, or removes it if it was added before.
    fn toggle_checksum(&mut self, name: &Name, revision: u64, value: Option<&Bytes>) {
        let Some(value) = value else {
            return;
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(name.key().as_bytes());
        hasher.update(&[0]);
        hasher.update(&revision.to_le_bytes());
        hasher.update(value);
        let digest = hasher.finalize();
        for (sum, byte) in self.checksum.iter_mut().zip(digest.as_bytes()) {
            *sum ^= byte;
        }
    }
}

impl Entry {
    fn change(&self, name: &Name) -> Change {
        let last_good = self.last_good.as_ref().map(|(value, _)| value.clone());
        Change {
            name: name.clone(),
            revision: self.revision,
            value: self.value.clone(),
            good: last_good.filter(|good| Some(good) != self.value.as_ref()),
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

/// Returns the first rule that a row would violate next to the rows of `lists`.
fn find_violation(row: &Row, name: &Name, lists: &Lists) -> Option<String> {
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
