//! Tests of the key-value interface: the memory store, and the etcd adapter over the stand-in with its faults.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use pistachiolug_http::{
    client::Client,
    limit::Limit,
    server::{self, Handler, Reply, Server},
};
use pistachiolug_platform::kv::{
    Error, Event, Lease, Position, Precondition, Store, Swap, etcd::Etcd, memory::Memory,
    rate_limit::Settings, rate_limited::RateLimitedStore,
};
use pistachiolug_standin::kv::gateway::Gateway;
use serde_json::Value;

/// Longest time that a watch waits for events.
const WAIT: Duration = Duration::from_millis(300);

/// etcd adapter over a stand-in on a port of its own.
struct Service {
    store: Etcd,
    address: SocketAddr,
    client: Client,
    server: Server,
}

impl Drop for Service {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Service {
    fn start() -> Self {
        let gateway = Gateway::default();
        let leases = gateway.clone();
        tokio::spawn(async move { leases.run_lease_expiry().await });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let limit = Limit {
            body_bytes: 16 << 20,
            ..Limit::default()
        };
        let server = Server::bind(any, 1, limit, gateway).expect("port is free");
        let client = Client::new(4);
        Self {
            store: Etcd::new(client.clone(), &format!("http://{}", server.address())),
            address: server.address(),
            client,
            server,
        }
    }

    /// Sends a control request to the stand-in and returns the body of its answer.
    async fn control(&self, control_path: &str) -> Bytes {
        let request = Request::post(format!("http://{}/control/{control_path}", self.address));
        let request = request.body(Bytes::new()).expect("path is well formed");
        let answer = self.client.fetch(request, 1 << 20, Duration::from_secs(20));
        let answer = answer.await.expect("stand-in answers");
        assert!(
            answer.status().is_success(),
            "{control_path}: {}",
            answer.status()
        );
        answer.into_body()
    }
}

/// Writes a value over whatever the key holds and returns the new revision.
async fn put<S: Store>(store: &S, key: &str, value: &str) -> u64 {
    let current = store.get(key).await.expect("service answers");
    let expect = current.map_or(Precondition::Absent, |entry| {
        Precondition::Revision(entry.revision)
    });
    match store.swap(key, expect, Some(value.as_bytes()), None).await {
        Ok(Swap::Done { revision }) => revision,
        other => panic!("{other:?}"),
    }
}

async fn check_writes<S: Store>(store: &S) {
    assert_eq!(store.get("a/1").await, Ok(None));
    let first = put(store, "a/1", "one").await;

    let lost = store
        .swap("a/1", Precondition::Absent, Some(b"two"), None)
        .await;
    let Ok(Swap::Lost {
        current: Some(current),
    }) = lost
    else {
        panic!("{lost:?}");
    };
    assert_eq!(
        (current.value.as_ref(), current.revision),
        (b"one".as_ref(), first)
    );
    let wrong = store.swap("a/1", Precondition::Revision(first + 7), Some(b"two"), None);
    assert!(matches!(wrong.await, Ok(Swap::Lost { .. })));
    assert!(put(store, "a/1", "two").await > first);
}

async fn check_ranges<S: Store>(store: &S) {
    put(store, "r/2", "x").await;
    put(store, "r/1", "y").await;
    put(store, "s/1", "other").await;

    let range = store.range("r/").await.expect("service answers");

    let keys: Vec<&str> = range
        .entries
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    assert_eq!(keys, ["r/1", "r/2"]);
    assert!(
        range
            .entries
            .iter()
            .all(|entry| entry.revision <= range.position.revision)
    );
}

async fn check_all_keys<S: Store>(store: &S) {
    let before = put(store, "all/1", "a").await;
    let after = put(store, "other/1", "b").await;

    let range = store.range("").await.expect("answers");
    let events = store
        .watch("", Position::without_era(before), WAIT)
        .await
        .expect("answers");

    let keys: Vec<&str> = range
        .entries
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    assert!(
        keys.contains(&"all/1") && keys.contains(&"other/1"),
        "{keys:?}"
    );
    assert!(
        events.iter().any(|event| event.revision() == after),
        "{events:?}"
    );
}

async fn check_watches<S: Store>(store: &S) {
    let first = put(store, "w/1", "one").await;
    let second = put(store, "w/1", "two").await;
    let removed = store
        .swap("w/1", Precondition::Revision(second), None, None)
        .await;
    assert!(matches!(removed, Ok(Swap::Done { .. })));

    let events = store
        .watch("w/", Position::without_era(first), WAIT)
        .await
        .expect("watch");
    let revisions: Vec<u64> = events.iter().map(Event::revision).collect();
    assert!(
        revisions.is_sorted() && revisions[0] == second,
        "{revisions:?}"
    );
    assert!(matches!(events.last(), Some(Event::Delete { key, .. }) if key == "w/1"));

    let last = *revisions.last().expect("there are events");
    assert_eq!(
        store.watch("w/", Position::without_era(last), WAIT).await,
        Ok(Vec::new())
    );
    let (woken, _) = tokio::join!(
        store.watch("w/", Position::without_era(last), Duration::from_secs(30)),
        async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            put(store, "w/2", "three").await
        }
    );
    assert_eq!(woken.expect("watch").len(), 1);
}

async fn check_leases<S: Store>(store: &S) {
    let unknown = Lease(987_654);
    let lease = store.grant(Duration::from_secs(5)).await.expect("grant");

    let bound = store
        .swap("l/1", Precondition::Absent, Some(b"x"), Some(lease))
        .await;
    let refused = store
        .swap("l/2", Precondition::Absent, Some(b"x"), Some(unknown))
        .await;

    assert!(matches!(bound, Ok(Swap::Done { .. })));
    assert_eq!(store.keep_alive(lease).await, Ok(()));
    assert_eq!(refused, Err(Error::LeaseEnded));
    assert_eq!(store.keep_alive(unknown).await, Err(Error::LeaseEnded));
}

/// Checks all that callers of a store rely on.
async fn check_conformance<S: Store>(store: S) {
    check_all_keys(&store).await;
    check_writes(&store).await;
    check_ranges(&store).await;
    check_watches(&store).await;
    check_leases(&store).await;
}

/// Guards against an adapter that breaks the store interface, such as by a write that ignores its condition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn etcd_adapter_conforms_to_the_store_interface() {
    let service = Service::start();
    check_conformance(service.store.clone()).await;
}

/// Guards against a call budget that changes the results of the store below it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budgeted_store_conforms_to_the_store_interface() {
    let service = Service::start();
    check_conformance(RateLimitedStore::new(
        service.store.clone(),
        Settings::default(),
    ))
    .await;
}

/// Guards against a memory store that behaves unlike the real one, so that tests on it prove nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_store_conforms_to_the_store_interface() {
    check_conformance(Memory::new(1)).await;
}

/// Effect that a write reports.
#[derive(Debug, PartialEq, Eq)]
enum Effect {
    Done,
    None,
    Unknown,
    Refused,
}

/// Guards against a write that reports no effect, or a certain one, although its answer was lost or came too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn writes_report_their_effect_under_each_fault() {
    // Control request, size of the value in bytes, effect that the write reports, and whether it took effect.
    let rows = [
        ("heal", 1, Effect::Done, true),
        ("down?on=1", 1, Effect::None, false),
        ("slow?ms=50", 1, Effect::Done, true),
        ("slow?ms=2500", 1, Effect::Unknown, true),
        ("lose-answers?count=1", 1, Effect::Unknown, true),
        ("heal", (1 << 20) + 1, Effect::Refused, false),
    ];
    for (control_path, bytes, expected, written) in rows {
        let service = Service::start();
        service.control(control_path).await;

        let value = vec![b'v'; bytes];
        let swapped = service
            .store
            .swap("k", Precondition::Absent, Some(&value), None)
            .await;
        let effect = match swapped {
            Ok(Swap::Done { .. }) => Effect::Done,
            Err(Error::Unknown { .. }) => Effect::Unknown,
            Err(Error::Unavailable { .. }) => Effect::None,
            Err(Error::Malformed { .. }) => Effect::Refused,
            other => panic!("{control_path}: {other:?}"),
        };
        service.control("heal").await;
        let found = service.store.get("k").await.expect("service answers");

        assert_eq!(effect, expected, "{control_path}");
        assert_eq!(found.is_some(), written, "{control_path}");
    }
}

/// Guards against callers that retry a throttled call at once and keep the service overloaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_above_the_rate_limit_are_throttled_with_a_retry_delay() {
    let service = Service::start();
    service.control("limit?writes=1").await;
    put(&service.store, "first", "x").await;

    let refused = service
        .store
        .swap("k", Precondition::Absent, Some(b"v"), None)
        .await;

    assert!(matches!(refused, Err(Error::Throttled { after }) if !after.is_zero()));
    let record: Value = serde_json::from_slice(&service.control("record").await).expect("JSON");
    assert_eq!(record["limited"], 1);
    assert_eq!(record["writes"], 1);
}

/// Guards against a watch that loses events without an error when messages repeat, are out of order or compacted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watches_report_events_or_an_error_under_each_fault() {
    // Control request before the watch, and what the watch reports about two writes: revisions or the kind of error.
    let rows = [
        ("heal", Ok(vec![2, 3])),
        ("repeat", Ok(vec![2, 3])),
        ("reverse", Ok(vec![3, 2])),
        ("silence", Ok(vec![2, 3])),
        ("compact", Err("compacted")),
        ("deaf?on=1", Err("unavailable")),
        ("down?on=1", Err("unavailable")),
    ];
    for (control_path, expected) in rows {
        let service = Service::start();
        put(&service.store, "w/0", "before").await;
        put(&service.store, "w/1", "one").await;
        put(&service.store, "w/2", "two").await;
        service.control(control_path).await;

        let events = service
            .store
            .watch("w/", Position::without_era(1), WAIT)
            .await;
        let seen = match events {
            Ok(events) => {
                let mut revisions: Vec<u64> = events.iter().map(Event::revision).collect();
                revisions.dedup();
                revisions.truncate(2);
                Ok(revisions)
            }
            Err(Error::Compacted { .. }) => Err("compacted"),
            Err(Error::Unavailable { .. }) => Err("unavailable"),
            Err(error) => panic!("{control_path}: {error}"),
        };

        assert_eq!(seen, expected, "{control_path}");
    }
}

/// Guards against an event that is lost because its watch connection stays open and delivers nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_watch_ends_without_events_and_the_next_one_reports_them() {
    let service = Service::start();
    let first = put(&service.store, "w/1", "one").await;

    let (silent, second) = tokio::join!(
        service
            .store
            .watch("w/", Position::without_era(first), WAIT),
        async {
            tokio::time::sleep(WAIT / 3).await;
            service.control("silence").await;
            put(&service.store, "w/1", "two").await
        }
    );
    let next = service
        .store
        .watch("w/", Position::without_era(first), WAIT)
        .await
        .expect("watch");

    assert_eq!(silent, Ok(Vec::new()));
    assert_eq!(next[0].revision(), second);
}

/// Guards against keys that outlive their lease, and against writes under a lease that has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_an_expired_lease_are_deleted() {
    let service = Service::start();
    let lease = service
        .store
        .grant(Duration::from_secs(60))
        .await
        .expect("grant");
    let bound = service
        .store
        .swap("k", Precondition::Absent, Some(b"v"), Some(lease))
        .await;
    assert!(matches!(bound, Ok(Swap::Done { .. })));

    service.control("lapse").await;

    assert_eq!(service.store.get("k").await, Ok(None));
    let late = service
        .store
        .swap("k", Precondition::Absent, Some(b"v"), Some(lease))
        .await;
    assert_eq!(late, Err(Error::LeaseEnded));
}

/// Service that answers every request with the same bytes, which a test replaces.
#[derive(Debug, Clone, Default)]
struct Fixed(Arc<Mutex<Bytes>>);

impl Handler for Fixed {
    async fn handle(&self, _: server::Request) -> Reply {
        let bytes = self.0.lock().expect("no test panics").clone();
        Reply::new(bytes.into())
    }
}

/// Guards against a panic in the adapter when a proxy or a faulty service sends a damaged answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answers_cause_no_panic() {
    let template = r#"{"result":{"created":true,"events":[{"kv":{"key":"dy8x","value":"b25l","mod_revision":"2"}}]},"kvs":[{"key":"dy8x","value":"b25l","mod_revision":"2"}],"header":{"revision":"2"},"succeeded":true,"responses":[{"response_range":{"kvs":[]}}]}"#;
    let fixed = Fixed::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, 1, Limit::default(), fixed.clone()).expect("port is free");
    let store = Etcd::new(Client::new(1), &format!("http://{}", server.address()));
    for seed in 0..300_usize {
        let mut bytes = template.as_bytes().to_vec();
        let at = seed.wrapping_mul(2_654_435_761) % bytes.len();
        match seed % 3 {
            0 => bytes[at] = (seed % 127) as u8,
            1 => bytes.truncate(at),
            _ => drop(bytes.remove(at)),
        }
        bytes.push(b'\n');
        *fixed.0.lock().expect("no test panics") = bytes.into();

        // Each call returns a value or an error, whatever the bytes are.
        let _ = store.get("w/1").await;
        let _ = store.range("w/").await;
        let _ = store
            .swap("w/1", Precondition::Absent, Some(b"x"), None)
            .await;
        let _ = store
            .watch("w/", Position::without_era(1), Duration::ZERO)
            .await;
        let _ = store.keep_alive(Lease(1)).await;
    }
    server.stop();
}
