//! Case: a request crashes each server that begins to run it, and comes again with the same path, caller and body.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::{
    env, fs,
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use platform::{Entry, EntrySettings, Record, Store, cannot_run, read_message, write_answer};

/// Zones of the entries, as on the users' site; each zone is a region of its own.
const ZONES: [&str; 15] = [
    "midrand",
    "midrand",
    "midrand",
    "midrand",
    "midrand",
    "midrand",
    "bellville",
    "bellville",
    "bellville",
    "bellville",
    "bellville",
    "pinetown",
    "pinetown",
    "pinetown",
    "pinetown",
];

const SERVERS: usize = 20;

/// Path of the request that crashes servers.
const CRASHING_PATH: &str = "/quote/7f";

/// Requests a second of other callers.
const SOUND_RATE: f64 = 20.0;

/// Requests a second with the crashing content, and while it is the hot one (0.28 of 298 a second).
const CRASHING_RATE: f64 = 2.0;
const HOT_RATE: f64 = 83.4;

/// Times of the traffic from which the crashing content is the hot one, and for how long, in milliseconds.
const HOT_FROM: [u64; 3] = [0, 27_500, 87_700];
const HOT_TIME: u64 = 5500;

/// Time after the third crash from which requests count (`contact_ms`).
const CONTACT_MS: u64 = 4000;

/// Number of retries that the rule allows.
const MAX_RETRIES: usize = 3;

/// Length of the traffic in milliseconds.
const LENGTH_MS: u64 = 96_000;

/// Time until the first event of an answer; a server that crashes does so at the end of it.
const WORK: Duration = Duration::from_millis(20);

/// Events of an answer, and the time between two of them.
const EVENTS: usize = 12;
const GAP: Duration = Duration::from_millis(10);

/// Time after a crash in which the server's row is removed (three status report intervals), and after which it is back.
const SILENCE: Duration = Duration::from_millis(3600);
const DOWN: Duration = Duration::from_millis(4000);

#[derive(Clone)]
struct Day {
    record: Record,
    store: Store,
    has_trouble: bool,
    /// Times at which the crashing request reached a server.
    arrivals: Arc<Mutex<Vec<u64>>>,
    /// Times at which it crashed one.
    crashes: Arc<Mutex<Vec<u64>>>,
    answers: Arc<AtomicUsize>,
}

fn main() {
    let folder = env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder is given"));
    let temporary = platform::temporary_folder("crashing-request");
    let ips: Vec<IpAddr> = (1..=ZONES.len())
        .map(|index| format!("127.0.81.{index}").parse().unwrap())
        .collect();
    let day = Day {
        record: Record::create(Path::new(&folder)),
        store: Store::start("127.0.0.1".parse().unwrap()),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        arrivals: Arc::default(),
        crashes: Arc::default(),
        answers: Arc::default(),
    };
    day.store.put("op/config", &configuration());
    for index in 0..SERVERS {
        let day = day.clone();
        thread::spawn(move || run_server(index, &day));
    }
    let internal_port = platform::free_port(&ips);
    let names: Vec<String> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| format!("edge-{zone}-{index}"))
        .collect();
    let entries: Vec<Entry> = (0..ZONES.len())
        .map(|index| {
            let settings = EntrySettings {
                name: &names[index],
                ip: ips[index],
                internal_port,
                zone: ZONES[index],
                memory_mb: 512,
                contact_ms: CONTACT_MS,
            };
            platform::start_entry(&settings, &day.store, &temporary)
        })
        .collect();
    platform::start_watchdog(entries.iter().map(|entry| entry.child.id()).collect());
    entries.iter().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    day.record.write("entries ready");

    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let end = day.record.now() + LENGTH_MS;
    let sound = start_callers(
        &day,
        &fronts,
        |_| SOUND_RATE,
        end,
        |number| format!("/quote/s{}", number % 200),
    );
    let crashing = start_callers(&day, &fronts, crashing_rate, end, |_| {
        CRASHING_PATH.to_owned()
    });
    let _ = (sound.join(), crashing.join());
    drop(entries);
    let _ = fs::remove_dir_all(&temporary);

    let crashes = day.crashes.lock().unwrap();
    let arrivals = day.arrivals.lock().unwrap();
    let third = crashes.get(2).copied();
    let late = third.map_or(0, |third| {
        arrivals
            .iter()
            .filter(|at| **at > third + CONTACT_MS)
            .count()
    });
    let summary = format!(
        "{} crashes, the third at {third:?} ms; {late} arrivals of the crashing request later than {CONTACT_MS} ms after it; {} answers",
        crashes.len(),
        day.answers.load(Ordering::Relaxed),
    );
    day.record.write(&summary);
    println!("{summary}");
    std::process::exit(i32::from(late > MAX_RETRIES));
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-quote\",\"host\":\"orders.example\",\"prefix\":\"/quote/\",\
     \"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"quotes\",\
     \"attempts\":2,\"anonymous\":true,\"stream_resume\":true,\"target_gap_ms\":300}],\
     \"services\":[{\"name\":\"quotes\",\"health_path\":\"/health\",\"max_connections\":274,\"protocol\":\"h1\",\
     \"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

/// Runs a server in one incarnation after the other; each has an id of its own.
fn run_server(index: usize, day: &Day) {
    let mut address: SocketAddr = "127.0.82.1:0".parse().unwrap();
    address.set_ip(format!("127.0.82.{}", index + 1).parse().unwrap());
    for incarnation in 0.. {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|error| cannot_run(&error.to_string()));
        address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let id = format!("i-{index:04x}{incarnation:04x}");
        let row = format!("servers/{id}");
        day.store.put(
            &row,
            &format!(
                "{{\"service\":\"quotes\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
                ZONES[index % ZONES.len()],
                1_700_000_000_000 + day.record.now()
            ),
        );
        let is_crashed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        while !is_crashed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let _ = stream.set_nodelay(true);
            connections
                .lock()
                .unwrap()
                .push(stream.try_clone().unwrap());
            let (day, id, is_crashed) = (day.clone(), id.clone(), Arc::clone(&is_crashed));
            thread::spawn(move || serve(stream, &day, &id, &is_crashed));
        }
        drop(listener);
        for connection in connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(SILENCE);
        day.store.remove(&row);
        thread::sleep(DOWN - SILENCE);
    }
}

fn serve(stream: TcpStream, day: &Day, id: &str, is_crashed: &AtomicBool) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let attempt = request
            .header("x-pistachiolug-attempt-id")
            .unwrap_or_default();
        if request.header("x-pistachiolug-expected-instance") != Some(id) {
            let headers = [("X-Pistachiolug-Instance-Id", id)];
            if write_answer(&mut writer, "421 Misdirected Request", &headers, b"").is_err() {
                return;
            }
            continue;
        }
        let crashes = request.second() == CRASHING_PATH && day.has_trouble;
        if request.second() == CRASHING_PATH {
            day.arrivals.lock().unwrap().push(day.record.now());
            day.record.write(&format!("server {id} runs {attempt}"));
        }
        thread::sleep(WORK);
        if crashes && !is_crashed.swap(true, Ordering::Relaxed) {
            day.crashes.lock().unwrap().push(day.record.now());
            day.record.write(&format!("server {id} crashes"));
        }
        if is_crashed.load(Ordering::Relaxed)
            || write_stream(&mut writer, attempt, is_crashed).is_err()
        {
            return;
        }
    }
}

fn write_stream(
    writer: &mut TcpStream,
    attempt: &str,
    is_crashed: &AtomicBool,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pistachiolug-Attempt-Id: {attempt}\r\n\
         X-Pistachiolug-Response-Seal: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for id in 1..=EVENTS {
        if is_crashed.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let event = format!("id: {id}\ndata: token\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(GAP);
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Returns the requests a second with the crashing content at a time of the traffic.
fn crashing_rate(at_ms: u64) -> f64 {
    let is_hot = HOT_FROM
        .iter()
        .any(|from| (*from..from + HOT_TIME).contains(&at_ms));
    if is_hot { HOT_RATE } else { CRASHING_RATE }
}

/// Sends requests at a rate until `end`, each at the next entry in turn and on a connection of its own.
fn start_callers(
    day: &Day,
    fronts: &[SocketAddr],
    rate: impl Fn(u64) -> f64 + Send + 'static,
    end: u64,
    path: impl Fn(usize) -> String + Send + 'static,
) -> thread::JoinHandle<()> {
    let (day, fronts) = (day.clone(), fronts.to_vec());
    thread::spawn(move || {
        let mut random = 0x9e37_79b9_7f4a_7c15_u64 ^ u64::from(std::process::id());
        let start = day.record.now();
        let mut at_ms = 0.0;
        for number in 0.. {
            // Poisson arrivals at a random entry.
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            let uniform = (random >> 11) as f64 / (1_u64 << 53) as f64;
            at_ms -= (1.0 - uniform).ln() * 1000.0 / rate(at_ms as u64);
            let now = day.record.now();
            let due = start + at_ms as u64;
            if due >= end {
                return;
            }
            thread::sleep(Duration::from_millis(due.saturating_sub(now)));
            let front = fronts[(random >> 3) as usize % fronts.len()];
            let (day, path) = (day.clone(), path(number));
            thread::spawn(move || call(&day, front, &path, number));
        }
    })
}

fn call(day: &Day, front: SocketAddr, path: &str, number: usize) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return day.record.write("a caller could not connect");
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let id = format!(
        "{}{number:012x}",
        if path == CRASHING_PATH { "c" } else { "s" }
    );
    let sent_at = day.record.now();
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: orders.example\r\nX-Pistachiolug-Attempt-Id: {id}\r\n\
         X-Pistachiolug-Request-Deadline: 6000\r\nConnection: close\r\n\r\n"
    );
    let answer = match stream.write_all(head.as_bytes()) {
        Ok(()) => read_message(&mut BufReader::new(stream)).ok().flatten(),
        Err(_) => None,
    };
    let status = answer.as_ref().map_or("none", |answer| answer.second());
    if status == "200" {
        day.answers.fetch_add(1, Ordering::Relaxed);
    }
    if path == CRASHING_PATH {
        day.record
            .write(&format!("{id} sent at {sent_at} to {front}: {status}"));
    }
}
