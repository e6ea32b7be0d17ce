//! Stand-in of the platform's store.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json};

/// Time of an answer, as the sheets say.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Era of the store, which never comes back from a copy here.
const ERA: &str = "1";

#[derive(Debug, Clone)]
struct Row {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    row: Option<Row>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    revision: u64,
    events: Vec<Event>,
    leases: u64,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
    /// Key that is removed between the first and the second page of the reads of all rows that follow.
    remove_between: Option<Between>,
    /// Calls of the entries' followers, by the name of the address that was called.
    calls: Vec<(Instant, String, String)>,
    /// When the watches began that wait now.
    waiting: BTreeMap<u64, Instant>,
    watches: u64,
}

#[derive(Debug, Clone)]
struct Between {
    key: String,
    /// Number of first pages that have to be answered before the key is removed.
    first_pages: usize,
    answered: usize,
    removed_at: Option<Instant>,
}

/// Store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    page: usize,
}

impl Store {
    /// Creates a store whose pages have this many items at most.
    pub fn new(page: usize) -> Self {
        let state = State {
            revision: 100,
            ..State::default()
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            page,
        }
    }

    /// Answers the calls of one machine, which has an address of its own for the store.
    pub fn listen(&self, listener: TcpListener, caller: &str) {
        let (store, caller) = (self.clone(), caller.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, caller) = (store.clone(), caller.clone());
                thread::spawn(move || drop(store.serve(stream, &caller)));
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes a row as the operator, a server or another writer does; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.lock();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Writes a row if another one stands there; returns whether it did.
    pub fn put_if_other(&self, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        let is_other = state
            .rows
            .get(key)
            .is_none_or(|row| row.value != value.as_bytes());
        if is_other {
            state.put(key, value.as_bytes().to_vec(), 0);
            self.state.1.notify_all();
        }
        is_other
    }

    /// Removes a row; returns when the store has accepted it.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.lock();
        state.remove(key);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Cuts all watches that wait, as soon as each of them has waited for a while; returns when.
    pub fn cut_watches(&self) -> Instant {
        loop {
            let mut state = self.lock();
            let waits = state.waiting.values().map(Instant::elapsed).min();
            if waits.is_some_and(|waits| waits > Duration::from_millis(200)) {
                state.cuts += 1;
                self.state.1.notify_all();
                return Instant::now();
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Lets a key be removed once this many reads of all rows have got their first page and none its second one.
    pub fn remove_between_pages(&self, key: &str, first_pages: usize) {
        self.lock().remove_between = Some(Between {
            key: key.to_owned(),
            first_pages,
            answered: 0,
            removed_at: None,
        });
    }

    /// Returns when that key was removed.
    pub fn removed_between_at(&self) -> Option<Instant> {
        self.lock().remove_between.as_ref()?.removed_at
    }

    /// Returns the reads of all rows and the watches so far: when, by whom and what.
    pub fn calls(&self) -> Vec<(Instant, String, String)> {
        self.lock().calls.clone()
    }

    fn serve(&self, stream: TcpStream, caller: &str) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let (method, target) = request.request();
            let path = target.split('?').next().unwrap_or("");
            let call = path.strip_prefix("/pistachiolug/").unwrap_or("");
            let reply = match (method, call) {
                ("GET", "kv-watch") => match self.watch(target, caller) {
                    Some(reply) => reply,
                    None => return Ok(()),
                },
                ("GET", "kv-range") => self.range(target, caller),
                ("GET", "kv-key") => self.key(target),
                ("POST", "kv-txn") => self.swap(&request.body),
                ("POST", "kv-lease") => {
                    let mut state = self.lock();
                    state.leases += 1;
                    (
                        200,
                        format!("{{\"lease\":{},\"ttl_ms\":600000}}", state.leases),
                    )
                }
                ("POST", _) if call.starts_with("kv-keep/") => {
                    (200, "{\"ttl_ms\":600000}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            };
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json"), ("Store-Era", ERA)];
            http::answer(&mut writer, reply.0, &headers, reply.1.as_bytes())?;
        }
        Ok(())
    }

    fn key(&self, target: &str) -> (u16, String) {
        let state = self.lock();
        let key = http::query(target, "key").unwrap_or_default();
        match state.rows.get(&key) {
            Some(row) => (200, item(&key, row)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, target: &str, caller: &str) -> (u16, String) {
        let prefix = http::query(target, "prefix").unwrap_or_default();
        let after = http::query(target, "after");
        if prefix.is_empty() && after.is_some() {
            self.wait_for_removal_between();
        }
        let mut state = self.lock();
        let rows = state
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let mut rows = rows.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = rows
            .by_ref()
            .take(self.page)
            .map(|(key, row)| item(key, row))
            .collect();
        let has_more = rows.next().is_some();
        let revision = state.revision;
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{revision}}}",
            items.join(",")
        );
        if prefix.is_empty() {
            let page = if after.is_some() {
                "a further page"
            } else {
                "the first page"
            };
            let call = format!("{page} of all rows at revision {revision}");
            state.calls.push((Instant::now(), caller.to_owned(), call));
            if after.is_none()
                && let Some(between) = &mut state.remove_between
            {
                between.answered += 1;
                self.state.1.notify_all();
            }
        }
        (200, body)
    }

    /// Waits until the key between the pages is removed, which needs the first pages of all followers; 40 ms at most.
    fn wait_for_removal_between(&self) {
        let until = Instant::now() + Duration::from_millis(40);
        let mut state = self.lock();
        loop {
            let Some(between) = state.remove_between.clone() else {
                return;
            };
            if between.removed_at.is_some() {
                return;
            }
            if between.answered >= between.first_pages {
                state.remove(&between.key);
                if let Some(between) = &mut state.remove_between {
                    between.removed_at = Some(Instant::now());
                }
                self.state.1.notify_all();
                return;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Waits for events; `None` if the watch is cut.
    fn watch(&self, target: &str, caller: &str) -> Option<(u16, String)> {
        let id = {
            let mut state = self.lock();
            state.watches += 1;
            let id = state.watches;
            state.waiting.insert(id, Instant::now());
            state
                .calls
                .push((Instant::now(), caller.to_owned(), "a watch".to_owned()));
            id
        };
        let reply = self.wait_for_events(target);
        self.lock().waiting.remove(&id);
        reply
    }

    fn wait_for_events(&self, target: &str) -> Option<(u16, String)> {
        let number = |name| http::query(target, name).and_then(|text| text.parse::<u64>().ok());
        let prefix = http::query(target, "prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return None;
            }
            let events = state.events.iter();
            let events =
                events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<String> = events.map(Event::render).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{revision}}}",
                    events.join(",")
                );
                return Some((200, body));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn swap(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = std::str::from_utf8(body).ok().and_then(json::parse) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| {
            body.get(name)
                .map_or(Vec::new(), |rows| rows.list().to_vec())
        };
        let mut state = self.lock();
        let mut current = Vec::new();
        let mut fits = true;
        for expected in rows("expected") {
            let key = expected
                .get("key")
                .and_then(json::Value::text)
                .unwrap_or("")
                .to_owned();
            let revision = expected
                .get("revision")
                .and_then(json::Value::number)
                .unwrap_or(0);
            fits &= state.rows.get(&key).map_or(0, |row| row.revision) == revision;
            current.extend(state.rows.get(&key).map(|row| item(&key, row)));
        }
        if !fits {
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        for put in rows("puts") {
            let text = |name: &str| {
                put.get(name)
                    .and_then(json::Value::text)
                    .unwrap_or("")
                    .to_owned()
            };
            let value = json::decode_base64(&text("value")).unwrap_or_default();
            let lease = put.get("lease").and_then(json::Value::number).unwrap_or(0);
            state.put(&text("key"), value, lease);
        }
        for delete in rows("deletes") {
            state.remove(delete.text().unwrap_or(""));
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.rows.get(key).map_or(revision, |row| row.created);
        let row = Row {
            value,
            revision,
            created,
            lease,
        };
        self.rows.insert(key.to_owned(), row.clone());
        self.events.push(Event {
            revision,
            key: key.to_owned(),
            row: Some(row),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                revision: self.revision,
                key: key.to_owned(),
                row: None,
            });
        }
    }
}

impl Event {
    fn render(&self) -> String {
        match &self.row {
            Some(row) => item(&self.key, row),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                escape(&self.key),
                self.revision
            ),
        }
    }
}

fn item(key: &str, row: &Row) -> String {
    format!(
        "{{\"key\":\"{}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        escape(key),
        json::encode_base64(&row.value),
        row.revision,
        row.created,
        row.lease
    )
}

/// Writes a key as JSON does; those of the cases have no quotes or backslashes.
fn escape(key: &str) -> String {
    key.replace('\n', "\\n")
}
