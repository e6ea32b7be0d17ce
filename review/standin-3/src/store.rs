//! The platform's store: keys with revisions, watches, conditional writes and leases.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Listener, Message, Reader},
    json::{self, Value},
};

/// Largest number of items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Change of a key; without an item it was removed.
#[derive(Debug, Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Ends of the leases.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Default for Store {
    fn default() -> Self {
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 70_000,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map(|item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    /// Removes the keys of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves the store's interface at an address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<Listener> {
        let store = self.clone();
        let expiring = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.lock().expire();
                expiring.state.1.notify_all();
            }
        });
        Listener::start(address, move |stream| {
            // An error ends the connection, as its peer sees.
            let _ = store.handle(stream);
        })
    }

    /// Writes a key as the operator or a server does; returns when the store accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        let accepted = Instant::now();
        drop(state);
        self.state.1.notify_all();
        accepted
    }

    /// Removes keys, each by a change of its own, and returns when the store accepted the first one.
    pub fn remove(&self, keys: &[String]) -> Instant {
        let mut state = self.lock();
        let accepted = Instant::now();
        for key in keys {
            state.revision += 1;
            state.delete(key);
        }
        drop(state);
        self.state.1.notify_all();
        accepted
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn handle(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message(false)? {
            // The pages give 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            http::respond(&mut writer, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path();
        let path = path.strip_prefix("/pistachiolug/").unwrap_or_default();
        match (request.method(), path) {
            ("GET", "kv-key") => self.read_key(request),
            ("GET", "kv-range") => ("200 OK", self.read_range(request)),
            ("GET", "kv-watch") => ("200 OK", self.watch(request)),
            ("POST", "kv-txn") => self.write(request),
            ("POST", "kv-lease") => ("200 OK", self.grant(request)),
            ("POST", _) if path.starts_with("kv-keep/") => self.keep(&path["kv-keep/".len()..]),
            ("DELETE", _) if path.starts_with("kv-lease-end/") => {
                let lease = path["kv-lease-end/".len()..].parse().unwrap_or_default();
                self.lock().end_lease(lease);
                self.state.1.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_key(&self, request: &Message) -> (&'static str, String) {
        let key = request.parameter("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => {
                let fields = item_fields(&key, item);
                let revision = state.revision;
                (
                    "200 OK",
                    format!("{{{fields},\"store_revision\":{revision}}}"),
                )
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_range(&self, request: &Message) -> String {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after");
        let state = self.lock();
        let items = state.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
        });
        let mut page: Vec<String> = items
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        let has_more = page.len() > PAGE_ITEMS;
        page.truncate(PAGE_ITEMS);
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
            page.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Message) -> String {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| {
            let text = request.parameter(name)?;
            text.parse::<u64>().ok()
        };
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = self.lock();
        loop {
            let events = state.events.iter();
            let events =
                events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<String> = events.map(event_text).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, request: &Message) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = json::parse(&body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let rows = |name| body.field(name).map(Value::list).unwrap_or_default();
        let mut state = self.lock();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let is_met = rows("expected").iter().all(|row| {
            let key = row.field("key").and_then(Value::text).unwrap_or_default();
            let expected = row.field("revision").and_then(Value::number);
            expected == Some(revision_of(&state, key) as f64)
        });
        if !is_met {
            let current = rows("expected").iter().filter_map(|row| {
                let key = row.field("key")?.text()?;
                Some(match state.items.get(key) {
                    Some(item) => format!("{{{}}}", item_fields(key, item)),
                    None => format!("{{\"key\":{},\"revision\":0}}", json::quote(key)),
                })
            });
            let current: Vec<String> = current.collect();
            let body = format!("{{\"items\":[{}]}}", current.join(","));
            return ("412 Precondition Failed", body);
        }
        state.revision += 1;
        for row in rows("puts") {
            let key = row.field("key").and_then(Value::text).unwrap_or_default();
            let value = row.field("value").and_then(Value::text).unwrap_or_default();
            let lease = row
                .field("lease")
                .and_then(Value::number)
                .unwrap_or_default() as u64;
            if lease > 0 && !state.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
            let value = json::from_base64(value).unwrap_or_default();
            state.put(key, value, lease);
        }
        for key in rows("deletes").iter().filter_map(Value::text) {
            state.delete(key);
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Message) -> String {
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let ttl_ms = body.and_then(|body| body.field("ttl_ms").and_then(Value::number));
        let ttl_ms = ttl_ms.unwrap_or(1000.0).clamp(1000.0, 600_000.0) as u64;
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}")
    }

    fn keep(&self, lease: &str) -> (&'static str, String) {
        let mut state = self.lock();
        let lease = lease.parse().unwrap_or_default();
        match state.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        json::quote(key),
        json::to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => format!("{{{}}}", item_fields(&event.key, item)),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"removed\":true}}",
            json::quote(&event.key),
            event.revision
        ),
    }
}
