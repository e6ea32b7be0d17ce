//! Case: callers send bodies of the allowed size, first at their usual rate and then 1.7 times as often for 3 s.

#[path = "platform.rs"]
#[allow(dead_code)]
mod platform;

use std::{
    collections::BTreeSet,
    env, fs,
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use platform::{EntrySettings, Record, Store, cannot_run, read_message, write_answer};

/// Limit of the configuration for the bodies of requests, in bytes; that of the users' pages.
const MAX_BODY_BYTES: usize = 4_194_304;

/// Memory that a process may use, in megabytes; more than that and the platform kills it.
const MEMORY_MB: u64 = 260;

/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(3000);

/// Requests a second without and with the burst.
const USUAL_RATE: f64 = 15.0;
const BURST_RATE: f64 = 1.7 * USUAL_RATE;

/// Length of the whole traffic, and begin and end of the burst in it, in seconds.
const LENGTH_S: f64 = 14.0;
const BURST_S: (f64, f64) = (7.0, 10.0);

const SERVERS: usize = 5;

/// What happened to the requests with large bodies.
#[derive(Default)]
struct Outcomes {
    /// Ids that reached a server.
    reached: Mutex<BTreeSet<String>>,
    /// Ids whose connection ended without an answer.
    unanswered: Mutex<BTreeSet<String>>,
    answers: AtomicUsize,
    refusals: AtomicUsize,
}

fn main() {
    let folder = env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder is given"));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&folder));
    let temporary = platform::temporary_folder("large-bodies");
    let ip: IpAddr = "127.0.0.1".parse().unwrap();
    let store = Store::start(ip);
    let outcomes = Arc::new(Outcomes::default());
    for index in 0..SERVERS {
        start_server(index, ip, &store, &record, &outcomes);
    }
    store.put("op/config", &configuration());
    let settings = EntrySettings {
        name: "edge-midrand-1",
        ip,
        internal_port: platform::free_port(&[ip]),
        zone: "midrand",
        memory_mb: MEMORY_MB,
        contact_ms: 3000,
    };
    let mut entry = platform::start_entry(&settings, &store, &temporary);
    platform::start_watchdog(vec![entry.child.id()]);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    record.write(&format!("entry ready, memory {} MB", entry.memory() >> 20));

    let callers = start_callers(entry.front, has_trouble, &record, &outcomes);
    let most = AtomicU64::new(0);
    let is_killed = loop {
        let memory = entry.memory();
        most.fetch_max(memory, Ordering::Relaxed);
        if memory > MEMORY_MB << 20 {
            let _ = entry.child.kill();
            record.write(&format!(
                "platform kills the entry: it uses {} MB of {MEMORY_MB} MB",
                memory >> 20
            ));
            break true;
        }
        if callers.is_finished() {
            break false;
        }
        thread::sleep(Duration::from_millis(10));
    };
    let _ = callers.join();
    drop(entry);
    let _ = fs::remove_dir_all(&temporary);

    let reached = outcomes.reached.lock().unwrap();
    let unanswered = outcomes.unanswered.lock().unwrap();
    let lost = reached.intersection(&unanswered).count();
    let summary = format!(
        "most memory {} MB, killed: {is_killed}, {} answers, {} refusals, {} requests without an answer, of which {lost} had been passed on",
        most.load(Ordering::Relaxed) >> 20,
        outcomes.answers.load(Ordering::Relaxed),
        outcomes.refusals.load(Ordering::Relaxed),
        unanswered.len(),
    );
    record.write(&summary);
    println!("{summary}");
    // LOST: more than three.
    std::process::exit(i32::from(lost > 3));
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-book\",\"host\":\"orders.example\",\"prefix\":\"/book/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":6000,\"target_latency_ms\":4000,\"priority\":2,\
         \"service\":\"order-book\",\"attempts\":1,\"anonymous\":true}}],\
         \"services\":[{{\"name\":\"order-book\",\"health_path\":\"/health\",\"max_connections\":274,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn start_server(
    index: usize,
    ip: IpAddr,
    store: &Store,
    record: &Record,
    outcomes: &Arc<Outcomes>,
) {
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap();
    let id = format!("i-{index:08x}");
    store.put(
        &format!("servers/{id}"),
        &format!(
            "{{\"service\":\"order-book\",\"address\":\"{address}\",\"zone\":\"midrand\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}}"
        ),
    );
    let (record, outcomes) = (record.clone(), Arc::clone(outcomes));
    platform::serve(listener, move |stream| {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let attempt = request
                .header("x-pistachiolug-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let is_large = request.body.len() == MAX_BODY_BYTES;
            if is_large {
                record.write(&format!(
                    "server {id} runs {attempt}, {} bytes",
                    request.body.len()
                ));
                outcomes.reached.lock().unwrap().insert(attempt.clone());
                thread::sleep(WORK);
            }
            let headers = [
                ("X-Pistachiolug-Attempt-Id", attempt.as_str()),
                ("X-Pistachiolug-Response-Seal", "3e1b.07"),
            ];
            if write_answer(&mut writer, "200 OK", &headers, &[b'x'; 800]).is_err() {
                return;
            }
        }
    });
}

/// Starts a thread for each request with a large body at its time, and waits for their ends.
fn start_callers(
    front: SocketAddr,
    has_trouble: bool,
    record: &Record,
    outcomes: &Arc<Outcomes>,
) -> thread::JoinHandle<()> {
    let (record, outcomes) = (record.clone(), Arc::clone(outcomes));
    thread::spawn(move || {
        let mut callers = Vec::new();
        let mut at = 0.0;
        let start = record.now();
        while at < LENGTH_S {
            let passed = (record.now() - start) as f64 / 1000.0;
            if passed < at {
                thread::sleep(Duration::from_secs_f64(at - passed));
            }
            let is_burst = has_trouble && at >= BURST_S.0 && at < BURST_S.1;
            at += 1.0 / if is_burst { BURST_RATE } else { USUAL_RATE };
            let id = format!("{:016x}", callers.len() + 1);
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            callers.push(thread::spawn(move || call(front, &id, &record, &outcomes)));
        }
        callers.into_iter().for_each(|caller| drop(caller.join()));
    })
}

/// Sends a small request, and then one with a large body on the same connection.
fn call(front: SocketAddr, id: &str, record: &Record, outcomes: &Outcomes) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return record.write(&format!("caller of {id} could not connect"));
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut send = |id: &str, body: &[u8]| {
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nHost: orders.example\r\nX-Pistachiolug-Attempt-Id: {id}\r\n\
             X-Pistachiolug-Request-Deadline: 6000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)
    };
    if send(&format!("f{id}"), b"small").is_err()
        || !matches!(read_message(&mut reader), Ok(Some(_)))
    {
        return record.write(&format!("no answer to the small request before {id}"));
    }
    let sent = send(id, &vec![b'd'; MAX_BODY_BYTES]);
    match sent.and_then(|()| read_message(&mut reader)) {
        Ok(Some(answer)) => {
            let counter = if answer.second() == "200" {
                &outcomes.answers
            } else {
                &outcomes.refusals
            };
            counter.fetch_add(1, Ordering::Relaxed);
            record.write(&format!("answer to {id}: {}", answer.line));
        }
        Ok(None) | Err(_) => {
            record.write(&format!("connection of {id} ended without an answer"));
            outcomes.unanswered.lock().unwrap().insert(id.to_owned());
        }
    }
}
