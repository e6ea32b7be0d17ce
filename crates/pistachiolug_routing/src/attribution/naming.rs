//! Choice of the parts that explain crashes.

use std::{cmp::Reverse, time::Duration};

use rustc_hash::FxHashMap;

use super::{Limit, Name, Row};

/// Evidence against one part.
#[derive(Debug, Default)]
struct Evidence {
    /// Least number of moments at which all its servers can have crashed.
    moments: usize,
    /// Latest time of the last of these moments.
    moment_at: Duration,
    crashes: usize,
    /// Crashes of which the other processes have heard and told what they know.
    settled_crashes: usize,
    position: u8,
    is_answered: bool,
    first_lost_at: Duration,
    last_lost_at: Duration,
}

impl Evidence {
    /// Adds a crash; crashes have to be added in the order in which they were noticed.
    fn add(&mut self, row: &Row, part: u64, limit: &Limit, now: Duration) {
        if self.moments == 0 || row.span.heard_at > self.moment_at + limit.moment {
            self.moments += 1;
            self.moment_at = row.span.lost_at;
        }
        if self.crashes == 0 {
            self.first_lost_at = row.span.lost_at;
        }
        self.crashes += 1;
        self.settled_crashes += usize::from(row.span.lost_at + limit.settle_time <= now);
        self.last_lost_at = row.span.lost_at;
        if let Some(mark) = row.parts.get(&part) {
            self.position = self.position.max(mark.position);
            self.is_answered |= mark.is_answered;
        }
    }

    /// Returns the number of moments that count. A part that was answered shortly before needs one more. For another one,
    /// many crashes count as several moments even if they are one: most parts that a cut or a loss of power hits were
    /// answered before.
    fn weight(&self, limit: &Limit) -> usize {
        if self.is_answered {
            return self.moments - 1;
        }
        let crashes = self.settled_crashes * limit.min_moments / limit.min_crashes;
        self.moments.max(crashes)
    }

    /// Returns whether a part that was answered before would have been answered again by now if it were sound.
    fn is_due(&self, limit: &Limit) -> bool {
        !self.is_answered || self.last_lost_at >= self.first_lost_at + limit.min_silence
    }

    /// Returns the order in which parts explain crashes; the greatest comes first.
    fn rank(&self, part: u64, limit: &Limit) -> impl Ord + use<> {
        let is_new = !self.is_answered;
        // Moments hardly differ while servers crash all the time; then the number of crashes does.
        let weight = self.weight(limit).min(2 * limit.min_moments);
        (weight, is_new, self.crashes, self.position, Reverse(part))
    }
}

/// Returns the parts that explain the crashes: again and again the one with the most evidence in crashes that are not
/// explained yet, while it has enough.
///
/// Of two parts with the same evidence, the one is named that was not answered before, is in more crashes, or stands later
/// in its prompts, where parts are more specific. While the part with the most evidence may still be answered, only parts
/// that were not answered before are named.
pub(super) fn find(
    rows: &FxHashMap<u64, Row>,
    limit: &Limit,
    now: Duration,
) -> FxHashMap<u64, Name> {
    let mut unexplained: Vec<(u64, &Row)> = rows.iter().map(|(key, row)| (*key, row)).collect();
    unexplained.sort_by_key(|(incarnation, row)| (row.span.lost_at, *incarnation));
    let mut named = FxHashMap::default();
    while named.len() < limit.max_named {
        let evidence = collect_evidence(&unexplained, limit, now).into_iter();
        let enough: Vec<(u64, Evidence)> = evidence
            .filter(|(_, evidence)| evidence.weight(limit) >= limit.min_moments)
            .collect();
        let by_rank = |(part, evidence): &&(u64, Evidence)| evidence.rank(*part, limit);
        let best = enough.iter().max_by_key(by_rank);
        let best = best
            .filter(|(_, evidence)| evidence.is_due(limit))
            .or_else(|| {
                let new = enough.iter().filter(|(_, evidence)| !evidence.is_answered);
                new.max_by_key(by_rank)
            });
        let Some((part, evidence)) = best else {
            break;
        };
        unexplained.retain(|(_, row)| !row.is_open(*part));
        named.insert(
            *part,
            Name {
                moments: evidence.moments,
                last_lost_at: evidence.last_lost_at,
            },
        );
    }
    named
}

fn collect_evidence(
    rows: &[(u64, &Row)],
    limit: &Limit,
    now: Duration,
) -> FxHashMap<u64, Evidence> {
    let mut evidence: FxHashMap<u64, Evidence> = FxHashMap::default();
    for (_, row) in rows {
        for (part, _) in row.parts.iter().filter(|(_, mark)| !mark.is_cleared) {
            let evidence = evidence.entry(*part).or_default();
            evidence.add(row, *part, limit, now);
        }
    }
    evidence
}

/// Returns up to `max` crashes with a part, those of separate moments first and those of which it was cleared last.
pub(super) fn choose_rows<'a>(
    rows: impl Iterator<Item = (&'a u64, &'a Row)>,
    part: u64,
    limit: &Limit,
    max: usize,
) -> Vec<(u64, &'a Row)> {
    let mut rows: Vec<(u64, &Row)> = rows.map(|(key, row)| (*key, row)).collect();
    rows.sort_by_key(|(incarnation, row)| (row.span.lost_at, *incarnation));
    let mut evidence = Evidence::default();
    let mut ranked: Vec<_> = rows
        .into_iter()
        .map(|(incarnation, row)| {
            let moments = evidence.moments;
            let is_open = row.is_open(part);
            if is_open {
                evidence.add(row, part, limit, Duration::ZERO);
            }
            ((!is_open, evidence.moments == moments), incarnation, row)
        })
        .collect();
    ranked.sort_by_key(|(rank, ..)| *rank);
    ranked.truncate(max);
    ranked
        .into_iter()
        .map(|(_, incarnation, row)| (incarnation, row))
        .collect()
}

/// Returns the crash to forget if there are too many; `None` if there is none.
///
/// The oldest one without a named part comes first, cleared ones before others. Then of the part with the most crashes,
/// the latest one that shares its moment with another, or else the latest one.
pub(super) fn find_least_useful(
    rows: &FxHashMap<u64, Row>,
    named: &FxHashMap<u64, Name>,
    limit: &Limit,
) -> Option<u64> {
    let is_evidence = |row: &Row| named.keys().any(|part| row.is_open(*part));
    let unused = rows.iter().filter(|(_, row)| !is_evidence(row));
    let oldest = unused.min_by_key(|(incarnation, row)| {
        let is_open = row.parts.values().any(|mark| !mark.is_cleared);
        (is_open, row.span.lost_at, **incarnation)
    });
    if let Some((incarnation, _)) = oldest {
        return Some(*incarnation);
    }
    let rows_with = |part: u64| rows.iter().filter(move |(_, row)| row.is_open(part));
    let part = named
        .keys()
        .copied()
        .max_by_key(|part| (rows_with(*part).count(), *part))?;
    let ranked = choose_rows(rows_with(part), part, limit, usize::MAX);
    ranked.last().map(|(incarnation, _)| *incarnation)
}
