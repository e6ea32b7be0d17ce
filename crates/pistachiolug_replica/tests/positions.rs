//! Rows are exactly those of the service at their position, whatever reads, events and peers have brought them there.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use pistachiolug_platform::kv::{Entry, Event, Position, Range};
use pistachiolug_replica::{rows::Rows, snapshot};
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

/// Key-value service that keeps the history of each era.
struct Service {
    /// Events of each era in the order of their revisions; the first one has revision 1.
    eras: Vec<Vec<Event>>,
}

impl Service {
    fn new() -> Self {
        let eras = vec![Vec::new()];
        Self { eras }
    }

    fn position(&self) -> Position {
        let era = self.eras.len() - 1;
        Position::new(era as u64, self.eras[era].len() as u64)
    }

    fn put(&mut self, key: &str) {
        let revision = self.position().revision + 1;
        let event = Event::Put(entry(key, revision));
        self.eras.last_mut().unwrap().push(event);
    }

    fn remove(&mut self, key: &str) {
        if self.entries_at(self.position()).contains_key(key) {
            let revision = self.position().revision + 1;
            let key = key.to_owned();
            let event = Event::Delete { key, revision };
            self.eras.last_mut().unwrap().push(event);
        }
    }

    /// Comes back from a copy that lacks the last changes.
    fn restore(&mut self, lacking: usize) {
        let mut events = self.eras.last().unwrap().clone();
        events.truncate(events.len().saturating_sub(lacking).max(1));
        self.eras.push(events);
    }

    fn entries_at(&self, position: Position) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        for event in &self.eras[position.era as usize][..position.revision as usize] {
            match event {
                Event::Put(entry) => {
                    entries.insert(entry.key.clone(), entry.clone());
                }
                Event::Delete { key, .. } => {
                    entries.remove(key);
                }
            }
        }
        entries
    }

    fn range(&self) -> Range {
        Range {
            entries: self.entries_at(self.position()).into_values().collect(),
            position: self.position(),
        }
    }

    /// Returns events after a position; `None` if that is of an earlier era.
    fn events_after(&self, position: Position, most: usize) -> Option<Vec<Event>> {
        let is_current = position.era == self.position().era;
        let events = || self.eras[position.era as usize][position.revision as usize..].iter();
        is_current.then(|| events().take(most).cloned().collect())
    }
}

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: format!("{key}@{revision}").into(),
        revision,
    }
}

fn read(service: &Service) -> Rows {
    let mut rows = Rows::default();
    rows.reset(service.range());
    rows
}

/// Brings rows up to date by at most `most` events, or by a read in a new era.
fn watch(rows: &mut Rows, service: &Service, most: usize) {
    let position = rows.position();
    match service.events_after(position, most) {
        Some(events) => rows.apply(position.era, events),
        None => rows.reset(service.range()),
    };
}

/// Brings rows to the position of another process, as entries do.
fn take_from(rows: &mut Rows, other: &Rows) {
    let message = snapshot::encode(other, rows.position()).unwrap();
    snapshot::apply(&message, rows).unwrap();
}

fn assert_exact(rows: &Rows, service: &Service, context: &str) {
    let entries: Vec<Entry> = rows.entries().cloned().collect();
    let expected = service.entries_at(rows.position());
    assert_eq!(
        entries,
        expected.into_values().collect::<Vec<_>>(),
        "{context}"
    );
}

/// Guards against a row that comes and goes between two reads of a process, and stays at one that followed another process in
/// between.
#[test]
fn a_row_that_came_and_went_between_two_reads_is_removed_at_a_peer() {
    let mut service = Service::new();
    service.put("a");
    let mut reader = read(&service);
    let mut watcher = read(&service);
    let mut peer = read(&service);
    service.put("b");
    watch(&mut watcher, &service, usize::MAX);
    take_from(&mut peer, &watcher);
    service.remove("b");
    reader.reset(service.range());

    take_from(&mut peer, &reader);

    assert_exact(&peer, &service, "peer");
    assert_eq!(peer.position(), reader.position());
}

/// Guards against a row that comes and goes within the changes that one process takes from another, and stays at a third one.
#[test]
fn a_row_that_came_and_went_within_a_delta_is_removed_at_a_third_process() {
    let mut service = Service::new();
    service.put("a");
    let mut first = read(&service);
    let mut second = read(&service);
    let mut third = read(&service);
    service.put("b");
    watch(&mut third, &service, usize::MAX);
    service.remove("b");
    watch(&mut first, &service, usize::MAX);
    take_from(&mut second, &first);

    take_from(&mut third, &second);

    assert_exact(&third, &service, "third process");
    assert_eq!(third.position(), first.position());
}

/// Guards against a live row that a process loses, because its removal of before reaches it later than the row.
#[test]
fn a_row_that_is_written_again_stays_at_a_third_process() {
    let mut service = Service::new();
    service.put("a");
    let mut first = read(&service);
    let mut second = read(&service);
    let mut third = read(&service);
    service.remove("a");
    service.put("a");
    watch(&mut third, &service, usize::MAX);
    service.put("c");
    watch(&mut first, &service, usize::MAX);
    take_from(&mut second, &first);

    take_from(&mut third, &second);

    assert_exact(&third, &service, "third process");
}

/// Guards against a process that takes another's position without its rows, in random orders of reads, watches, and changes that
/// processes take from each other.
#[test]
fn rows_are_those_of_their_position_in_any_order_of_steps() {
    for seed in 0..2000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut service = Service::new();
        service.put("a");
        let mut processes: Vec<Rows> = (0..4).map(|_| read(&service)).collect();
        for step in 0..80 {
            let index = random.random_range(0..processes.len());
            match random.random_range(0..6) {
                0 if random.random_bool(0.1) => service.restore(random.random_range(0..6)),
                0 => service.put(random_key(&mut random)),
                1 => service.remove(random_key(&mut random)),
                2 if random.random_bool(0.3) => {
                    processes[index].reset(service.range());
                }
                2 | 3 => {
                    let most = random.random_range(1..4);
                    watch(&mut processes[index], &service, most);
                }
                _ => {
                    let other = processes[random.random_range(0..processes.len())].clone();
                    take_from(&mut processes[index], &other);
                }
            }
            let context = format!("seed {seed}, step {step}, process {index}");
            assert_exact(&processes[index], &service, &context);
        }
    }
}

fn random_key(random: &mut impl Rng) -> &'static str {
    KEYS[random.random_range(0..KEYS.len())]
}
