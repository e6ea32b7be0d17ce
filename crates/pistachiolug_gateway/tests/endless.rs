//! Answers of servers that have no end.

#![allow(clippy::unwrap_used)]

mod support;

use std::{
    alloc::System,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use futures_util::future::join_all;
use pistachiolug_gateway::{
    config::{Kind, Route},
    metrics::ANSWERED,
};
use pistachiolug_http::memory::{Budget, Exhausted, SMALL_BYTES};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::{io::AsyncReadExt, net::TcpStream};

use support::{Action, Entry, Server, answer, chunk, parts, request, route, run, stream_head};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Memory in bytes of the smallest entry; that of this process includes the servers and callers.
const MEMORY_BYTES: usize = 160_000_000;

/// Interval between two measurements of memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1);

/// Time limit of requests whose answers take long on a busy machine.
const LONG_TIME: Duration = Duration::from_secs(60);

/// Number of requests at once.
const MANY: usize = 100;

/// Keeps tests from measuring each other's memory.
static MEASURED: Mutex<()> = Mutex::new(());

/// Runs a test and returns the most memory in bytes that this process held meanwhile.
fn measure(test: impl Future<Output = ()>) -> usize {
    let _alone = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    let ended = Arc::new(AtomicBool::new(false));
    let sampler = thread::spawn({
        let ended = Arc::clone(&ended);
        move || {
            let mut peak = 0;
            while !ended.load(Ordering::Relaxed) {
                let stats = ALLOCATOR.stats();
                // Counted one after the other, so that a block may be freed in between.
                let held = stats
                    .bytes_allocated
                    .saturating_sub(stats.bytes_deallocated);
                peak = peak.max(held);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        }
    });
    run(test);
    ended.store(true, Ordering::Relaxed);
    sampler.join().unwrap()
}

/// Returns a signed head with this header.
fn head(header: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s1\r\n{header}\r\n\r\n")
}

/// Starts a server with room for all requests, each of which gets the same answer, and an entry.
async fn start(kind: Kind, action: &Action, requests: usize) -> (Entry, Server) {
    let server = Server::start(vec![action.clone(); requests]).await;
    let route = Route {
        timeout: LONG_TIME,
        ..route(kind, 1)
    };
    let entry = Entry::start(parts(route), &[]);
    let mut record = support::record("i-0", server.address);
    record.slots = requests as u32;
    let state = Rc::clone(&entry.state);
    state.with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));
    (entry, server)
}

/// Answer as a caller sees it.
#[derive(Debug, Default)]
struct Received {
    head: String,
    /// Number of bytes of the body with its framing.
    bytes: usize,
    last: Vec<u8>,
    ended_regularly: bool,
}

impl Received {
    fn is_success(&self) -> bool {
        self.head.starts_with("http/1.1 2")
    }

    /// Returns whether the length or the last chunk shows that the body is complete.
    fn is_complete(&self) -> bool {
        let length = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        match length {
            Some(length) => length.parse() == Ok(self.bytes),
            None if self.head.contains("transfer-encoding: chunked") => {
                self.last.ends_with(b"0\r\n\r\n")
            }
            None => self.ended_regularly && !self.head.is_empty(),
        }
    }
}

/// Reads an answer until its connection ends, and keeps only its head and the last bytes.
async fn read(mut stream: TcpStream) -> Received {
    let mut received = Received::default();
    let mut head = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = match stream.read(&mut buffer).await {
            Ok(0) => {
                received.ended_regularly = true;
                return received;
            }
            Ok(read) => &buffer[..read],
            Err(_) => return received,
        };
        if received.head.is_empty() {
            head.extend_from_slice(read);
            let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                head.clone_into(&mut received.head);
                received.bytes = body.len();
            }
        } else {
            received.bytes += read.len();
        }
        received.last.extend_from_slice(read);
        received.last = received
            .last
            .split_off(received.last.len().saturating_sub(16));
    }
}

/// Sends a request and reads its answer.
async fn call(entry: &Entry, time_limit_ms: u32) -> Received {
    let limit = format!("X-Deadline: {time_limit_ms}");
    let request = request("a1").replace("X-Deadline: 3000", &limit);
    read(entry.open(&request).await).await
}

/// Returns bodies without end, each with its head.
fn endless_bodies() -> [(&'static str, Action); 4] {
    let block = "x".repeat(64 << 10);
    let tiny = chunk("x").repeat(10_000);
    let length = head("Content-Length: 1000000000000");
    [
        (
            "no length",
            Action::Endless(head("X-Kept: yes"), block.clone()),
        ),
        (
            "chunks",
            Action::Endless(head("Transfer-Encoding: chunked"), chunk(&block)),
        ),
        (
            "tiny chunks",
            Action::Endless(head("Transfer-Encoding: chunked"), tiny),
        ),
        ("length", Action::Endless(length, block)),
    ]
}

/// Guards against entries that collect answers without end in memory, and answers that look complete then.
#[test]
fn an_answer_without_end_takes_bounded_memory_and_does_not_look_complete() {
    for (name, action) in endless_bodies() {
        let peak = measure(async {
            let (entry, server) = start(Kind::Once, &action, 1).await;

            let received = call(&entry, 1000).await;

            let is_whole = received.is_success() && received.is_complete();
            assert!(!is_whole, "{name}: {received:?}");
            server.wait_for_disconnects(1).await;
        });

        assert!(peak < MEMORY_BYTES, "{name}: {peak} bytes");
    }
}

/// Guards against many answers without end that together exceed the memory of an entry.
#[test]
fn many_answers_without_end_take_bounded_memory_together() {
    for (name, action) in endless_bodies() {
        let peak = measure(async {
            let (entry, server) = start(Kind::Once, &action, MANY).await;

            let all = join_all((0..MANY).map(|_| call(&entry, 1000))).await;

            assert_eq!(server.arrivals(), MANY, "{name}");
            for received in all {
                let is_whole = received.is_success() && received.is_complete();
                assert!(!is_whole, "{name}: {received:?}");
            }
            server.wait_for_disconnects(MANY).await;
        });

        assert!(peak < MEMORY_BYTES, "{name}: {peak} bytes");
    }
}

/// Guards against a request that fails although another server has a whole answer to it.
#[test]
fn a_request_with_an_answer_without_end_is_repeated_where_allowed() {
    run(async {
        let endless = Action::Endless(head("X-Kept: yes"), "x".repeat(64 << 10));
        let first = Server::start(vec![endless]).await;
        let second = Server::start(vec![Action::Write(answer("a1", "200 OK", "yours"))]).await;
        let entry = Entry::start(parts(route(Kind::Idempotent, 2)), &[&first]);
        let mut stream = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            tokio::task::yield_now().await;
        }
        let record = support::record("i-second", second.address);
        entry
            .state
            .with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));

        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("\r\n\r\nyours"), "{response}");
    });
}

/// Guards against large answers that are refused, shortened or kept in memory until slow callers have read them.
#[test]
fn large_answers_of_a_stated_length_are_returned_whole_within_bounded_memory() {
    for (bytes, requests) in [(6 << 20, 1), (6 << 20, MANY), (3 << 20, MANY)] {
        let body = "y".repeat(1 << 10);
        let peak = measure(async {
            // The server goes on, and its further bytes belong to no answer.
            let action = Action::Endless(head(&format!("Content-Length: {bytes}")), body);
            let (entry, server) = start(Kind::Once, &action, requests).await;
            let mut opened = Vec::new();
            let limit = format!("X-Deadline: {}", LONG_TIME.as_millis());
            let request = request("a1").replace("X-Deadline: 3000", &limit);
            for _ in 0..requests {
                opened.push(entry.open(&request).await);
            }
            // Callers read late, when the entry has got what it takes.
            while server.arrivals() < requests {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;

            let all = join_all(opened.into_iter().map(read)).await;

            for received in all {
                assert!(received.is_success(), "{received:?}");
                assert_eq!(received.bytes, bytes);
                assert!(received.is_complete(), "{received:?}");
            }
            let outcomes = &entry.state.metrics.outcomes;
            assert_eq!(outcomes.get(ANSWERED).get(), requests as u64);
            assert_eq!(entry.state.memory.free(), support::HELD_BYTES);
        });

        assert!(peak < MEMORY_BYTES, "{bytes} bytes: {peak} bytes");
    }
}

const ONE: &str = "id: 1\ndata: ravi\n\n";
const TWO: &str = "id: 2\ndata: .\n\n";

/// Marks the end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns heads without end.
fn endless_heads() -> [(&'static str, Action); 4] {
    let repeat = |begin: &str, block: &str| Action::Endless(begin.to_owned(), block.repeat(1_000));
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    [
        (
            "interim answers",
            repeat("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ),
        ("interim answers with headers", repeat("", interim)),
        ("headers", repeat("HTTP/1.1 200 OK\r\n", "X-More: yes\r\n")),
        ("a header", repeat("HTTP/1.1 200 OK\r\nX-More: ", "yes")),
    ]
}

/// Guards against requests that wait until their deadline for a server whose head has no end.
#[test]
fn a_head_without_end_loses_the_request_before_its_deadline() {
    for (name, action) in endless_heads() {
        for kind in [Kind::Once, Kind::Stream] {
            let peak = measure(async {
                let (entry, server) = start(kind, &action, 1).await;

                let received = call(&entry, 3000).await;

                assert!(
                    received.head.starts_with("http/1.1 502"),
                    "{name}: {received:?}"
                );
                server.wait_for_disconnects(1).await;
            });

            assert!(peak < MEMORY_BYTES, "{name}: {peak} bytes");
        }
    }
}

/// Guards against a limit on heads that interim answers reach before the final one, or that the body counts towards.
#[test]
fn an_answer_after_interim_ones_is_returned_whole() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".repeat(100);
    let body = "z".repeat(500_000);
    run(async {
        let answer = Action::Write(interim + &answer("a1", "200 OK", &body));
        let (entry, _server) = start(Kind::Once, &answer, 1).await;

        let response = entry.call(&request("a1")).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response:.200}");
        assert!(response.ends_with(&body));
    });
}

/// Returns bytes that form no event, however many there are.
fn empty_blocks() -> [(&'static str, &'static str); 4] {
    [
        ("blank lines", "\n"),
        ("blank lines of two bytes", "\r\n"),
        ("comments", ": here\n\n"),
        ("unknown fields", "x: y\n\n"),
    ]
}

/// Guards against bytes that form no event and are relayed without end, or are taken for the first event.
#[test]
fn a_stream_without_an_event_fails_and_is_not_relayed() {
    for (name, block) in empty_blocks() {
        run(async {
            let flood = chunk(&block.repeat(1_000));
            let action = Action::Endless(stream_head("a1"), flood);
            let (entry, server) = start(Kind::Stream, &action, 1).await;

            let received = call(&entry, 3000).await;

            assert!(
                received.head.starts_with("http/1.1 502"),
                "{name}: {received:?}"
            );
            server.wait_for_disconnects(1).await;
        });
    }
}

/// Guards against blank lines without end that reach the caller after an event, or look like a whole stream.
#[test]
fn a_stream_that_goes_on_without_events_is_broken_off() {
    for (name, block) in empty_blocks() {
        run(async {
            let flood = chunk(&block.repeat(1_000));
            let action = Action::Endless(stream_head("a1") + &chunk(ONE), flood);
            let (entry, server) = start(Kind::Stream, &action, 1).await;

            let received = call(&entry, 3000).await;

            assert!(received.is_success(), "{name}: {received:?}");
            assert!(!received.is_complete(), "{name}: {received:?}");
            assert!(received.bytes <= chunk(ONE).len(), "{name}: {received:?}");
            server.wait_for_disconnects(1).await;
        });
    }
}

/// Guards against a caller that gets no more events because blank lines count as progress of their server.
#[test]
fn a_stream_that_goes_on_without_events_is_resumed_elsewhere() {
    let slow = Action::Stall(stream_head("a1") + &chunk(ONE) + &chunk("\n"));
    let flood = Action::Endless(stream_head("a1") + &chunk(ONE), chunk(&"\n".repeat(1_000)));
    for action in [flood, slow] {
        run(async {
            let first = Server::start(vec![action]).await;
            let rest = stream_head("a1") + &chunk(TWO) + LAST_CHUNK;
            let second = Server::start(vec![Action::Write(rest)]).await;
            let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
            let stream = entry.open(&request("a1")).await;
            while first.arrivals() == 0 {
                tokio::task::yield_now().await;
            }
            let record = support::record("i-second", second.address);
            entry
                .state
                .with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));

            let response = support::read_all(stream).await;

            let (_, body) = response.split_once("\r\n\r\n").unwrap();
            let whole = chunk(ONE) + &chunk(TWO) + LAST_CHUNK;
            assert_eq!(body.to_lowercase(), whole);
        });
    }
}

/// Guards against comments and blank lines of sound streams that are lost.
#[test]
fn what_stands_between_events_is_relayed_with_them() {
    let sent = [": begin\n\n", ONE, "\n: more\n\n", TWO, "\n: end\n\n"];
    let chunks: String = sent.iter().map(|text| chunk(text)).collect();
    let body = sent.concat();
    for answer in [
        stream_head("a1") + &chunks + LAST_CHUNK,
        support::unframed_head("a1") + &body,
    ] {
        run(async {
            let (entry, _server) = start(Kind::Stream, &Action::Write(answer), 1).await;

            let response = entry.call(&request("a1")).await;

            let (_, received) = response.split_once("\r\n\r\n").unwrap();
            assert!(received.ends_with(LAST_CHUNK), "{received}");
            let lines = received.split_inclusive('\n');
            let text: String = lines.filter(|line| !is_framing(line)).collect();
            assert_eq!(text.replace('\n', ""), body.replace('\n', ""));
        });
    }
}

/// Returns whether a line belongs to the chunked encoding.
fn is_framing(line: &str) -> bool {
    line.ends_with("\r\n")
}

/// Guards against many unfinished events, each below its limit, that together exceed the memory of an entry.
#[test]
fn an_unfinished_event_takes_memory_that_other_answers_leave() {
    let large = support::unframed_head("a1") + &"x".repeat(100_000);
    let small = stream_head("a1") + &chunk(ONE) + LAST_CHUNK;
    for (answer, status) in [(large, "http/1.1 502"), (small, "http/1.1 200")] {
        run(async {
            let (entry, _server) = start(Kind::Stream, &Action::Stall(answer), 1).await;
            let mut others = entry.state.memory.share();
            others
                .try_resize(support::HELD_BYTES + SMALL_BYTES)
                .unwrap();

            let received = call(&entry, 3000).await;

            assert!(received.head.starts_with(status), "{received:?}");
            drop(others);
            assert_eq!(entry.state.memory.free(), support::HELD_BYTES);
        });
    }
}

/// Guards against memory that is counted twice or never given back, and small answers that large ones keep out.
#[test]
fn the_memory_for_answers_is_shared_and_given_back() {
    let budget = Budget::new(100);
    let mut one = budget.share();
    let mut other = budget.share();

    assert_eq!(one.try_resize(SMALL_BYTES + 80), Ok(()));
    assert_eq!(other.try_resize(SMALL_BYTES + 21), Err(Exhausted));
    assert_eq!(other.try_resize(SMALL_BYTES), Ok(()));
    assert_eq!(other.try_resize(SMALL_BYTES + 20), Ok(()));
    assert_eq!(budget.free(), 0);
    assert_eq!(one.try_resize(SMALL_BYTES + 10), Ok(()));
    assert_eq!(budget.free(), 70);
    drop(one);
    drop(other);
    assert_eq!(budget.free(), 100);
}
