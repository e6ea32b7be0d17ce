//! Case: an engine that limits its requests is brought to a version while one of its staged pieces turns bad.

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

use platform::{
    EntrySettings, Message, Record, Store, cannot_run, read_message, sha256, write_answer,
};

const MODEL: &str = "daka510000";
const ID: &str = "i-7f3a91c2";
const BORN: u64 = 1_700_000_000_000;

/// Pieces of a version and their size in bytes, as on the users' site.
const PIECES: usize = 48;
const PIECE_BYTES: usize = 49_152;

/// Requests a second that the engine takes from all machines together.
const LIMIT: &str = "20";

/// Piece that turns bad, the number of reads of it after which that happens, and how long after.
const BAD_PIECE: usize = 0;
const READS: usize = 3;
const BAD_AFTER: Duration = Duration::from_millis(1000);

/// Time for which a piece may have been bad when it is taken.
const ALLOWED_MS: u64 = 3000;

/// Time of a load (`warm_s`).
const LOAD: Duration = Duration::from_millis(300);

/// Length of the run in milliseconds.
const LENGTH_MS: u64 = 75_000;

/// Pause of the caller between two requests.
const PAUSE: Duration = Duration::from_millis(800);

/// What the engine holds.
#[derive(Default)]
struct Engine {
    staged: Vec<Option<Vec<u8>>>,
    /// Number of reads of [`BAD_PIECE`].
    reads: usize,
    /// When that piece turned bad.
    bad_at: Option<u64>,
    sequence: u64,
    is_busy: bool,
    version: Option<u64>,
    /// Whether the loaded version was taken while a piece had been bad for longer than allowed.
    is_spoilt: bool,
}

#[derive(Clone)]
struct Day {
    record: Record,
    store: Store,
    has_trouble: bool,
    address: SocketAddr,
    engine: Arc<Mutex<Engine>>,
    has_turned: Arc<AtomicBool>,
    tokens: Arc<AtomicUsize>,
    spoilt_tokens: Arc<AtomicUsize>,
}

fn main() {
    let folder = env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder is given"));
    let temporary = platform::temporary_folder("limited-engine");
    let (entry_ip, engine_ip): (IpAddr, IpAddr) =
        ("127.0.83.1".parse().unwrap(), "127.0.83.2".parse().unwrap());
    let listen =
        || TcpListener::bind((engine_ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let (engine_listener, origin_listener) = (listen(), listen());
    let origin = origin_listener.local_addr().unwrap();
    let day = Day {
        record: Record::create(Path::new(&folder)),
        store: Store::start("127.0.0.1".parse().unwrap()),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        address: engine_listener.local_addr().unwrap(),
        engine: Arc::new(Mutex::new(Engine {
            staged: vec![None; PIECES],
            ..Engine::default()
        })),
        has_turned: Arc::default(),
        tokens: Arc::default(),
        spoilt_tokens: Arc::default(),
    };
    let origin_record = day.record.clone();
    platform::serve(origin_listener, move |stream| {
        serve_origin(stream, &origin_record)
    });
    let served = day.clone();
    platform::serve(engine_listener, move |stream| served.serve(stream));
    day.store.put("op/config", &configuration(origin));
    day.register();

    let internal_port = platform::free_port(&[entry_ip, engine_ip]);
    let settings = EntrySettings {
        name: "edge-midrand-1",
        ip: entry_ip,
        internal_port,
        zone: "midrand",
        memory_mb: 260,
        contact_ms: 3000,
    };
    let entry = platform::start_entry(&settings, &day.store, &temporary);
    let mut agent = platform::start_agent(
        "side-midrand-1",
        day.address,
        "assistant",
        internal_port,
        &day.store,
        &temporary,
    );
    platform::start_watchdog(vec![entry.child.id(), agent.id()]);
    entry.wait_until_ready();
    let end = day.record.now() + LENGTH_MS;
    for number in 0.. {
        if day.record.now() >= end {
            break;
        }
        call(&day, entry.front, number);
        thread::sleep(PAUSE);
    }
    drop(entry);
    let _ = agent.kill();
    let _ = agent.wait();
    let _ = fs::remove_dir_all(&temporary);

    let spoilt = day.spoilt_tokens.load(Ordering::Relaxed);
    let summary = format!(
        "piece turned bad: {}, {} tokens made, {spoilt} of them with a layer that was taken while its piece was spoilt",
        day.has_turned.load(Ordering::Relaxed),
        day.tokens.load(Ordering::Relaxed),
    );
    day.record.write(&summary);
    println!("{summary}");
    if day.tokens.load(Ordering::Relaxed) == 0 {
        cannot_run("the engine made no token");
    }
    std::process::exit(i32::from(spoilt > 0));
}

fn configuration(origin: SocketAddr) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-quote\",\"host\":\"orders.example\",\"prefix\":\"/quote/\",\
         \"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"assistant\",\
         \"attempts\":2,\"anonymous\":true,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":300}}],\
         \"services\":[{{\"name\":\"assistant\",\"health_path\":\"/health\",\"max_connections\":334,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":16,\"kv_tokens\":685000,\"kv_bytes\":327680,\"stride\":6,\
         \"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}}],\"megabytes\":297000.0,\
         \"step_ms\":7.4,\"per_seq_ms\":0.0387,\"context_per_k\":0.0203,\"read_per_s\":31900.0,\"pairs_per_m\":0.733,\
         \"chunk\":2048,\"report_lag_ms\":200.0,\"layers\":16,\"layer_mb\":4540.0,\"chunks\":{PIECES},\
         \"chunk_bytes\":{PIECE_BYTES}}}}},{{\"name\":\"weights\",\"origin\":\"{origin}\",\"zone\":\"midrand\",\
         \"link_mbps\":15.0,\"max_connections\":48}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the bytes of a piece of version 1.
fn piece(index: usize) -> Vec<u8> {
    (0..PIECE_BYTES)
        .map(|byte| (byte * 31 + index * 7 + byte / 251) as u8)
        .collect()
}

fn serve_origin(stream: TcpStream, record: &Record) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let body = if request.second().contains("/manifest/") {
            let digests: Vec<String> = (0..PIECES)
                .map(|index| format!("\"{}\"", sha256(&piece(index))))
                .collect();
            format!(
                "{{\"model\":\"{MODEL}\",\"version\":1,\"chunk_bytes\":{PIECE_BYTES},\"layers\":16,\"digests\":[{}]}}",
                digests.join(",")
            )
            .into_bytes()
        } else {
            piece(sample_count(&request))
        };
        record.write(&format!("origin: {}", request.second()));
        if write_answer(&mut writer, "200 OK", &[], &body).is_err() {
            return;
        }
    }
}

fn sample_count(request: &Message) -> usize {
    let value = request
        .second()
        .split_once("sample_count=")
        .map_or("", |(_, value)| value);
    value
        .split('&')
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or(usize::MAX)
}

impl Day {
    /// Writes the engine's row.
    fn register(&self) {
        let models = self.models();
        self.store.put(
            &format!("servers/{ID}"),
            &format!(
                "{{\"service\":\"assistant\",\"address\":\"{}\",\"zone\":\"midrand\",\"version\":\"v1\",\"slots\":16,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":{models},\"sequence\":4,\
                 \"born\":{BORN}}}",
                self.address
            ),
        );
    }

    fn models(&self) -> String {
        let version = self.engine.lock().unwrap().version;
        version.map_or("[]".to_owned(), |version| {
            format!("[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]")
        })
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let target = request.second().to_owned();
            let written = if target.starts_with("/quote/") {
                self.generate(&request, &mut writer)
            } else {
                let (status, body) = self.control(&request, &target);
                let limit = [("Server-Limit", LIMIT)];
                let limit = if self.has_trouble { &limit[..] } else { &[] };
                write_answer(&mut writer, status, limit, &body)
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Answers a call of the agent.
    fn control(&self, request: &Message, target: &str) -> (&'static str, Vec<u8>) {
        if target == "/pistachiolug/report" {
            let models = self.models();
            let engine = self.engine.lock().unwrap();
            let body = format!(
                "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":0,\
                 \"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{BORN}}}",
                engine.is_busy, engine.sequence
            );
            return ("200 OK", body.into_bytes());
        }
        if target.contains("/stage-put/") {
            let index = sample_count(request);
            self.record.write(&format!("agent stages piece {index}"));
            let mut engine = self.engine.lock().unwrap();
            engine.staged[index] = Some(request.body.clone());
            if index == BAD_PIECE {
                engine.bad_at = None;
            }
            return ("200 OK", Vec::new());
        }
        if target.contains("/stage-get/") {
            let index = sample_count(request);
            self.record.write(&format!("agent reads piece {index}"));
            if index == BAD_PIECE {
                self.count_read();
            }
            let engine = self.engine.lock().unwrap();
            return match &engine.staged[index] {
                Some(bytes) => ("200 OK", bytes.clone()),
                None => ("404 Not Found", Vec::new()),
            };
        }
        if target == "/pistachiolug/order" {
            return (
                self.order(&String::from_utf8_lossy(&request.body)),
                Vec::new(),
            );
        }
        ("404 Not Found", Vec::new())
    }

    /// Lets the piece turn bad after some reads.
    fn count_read(&self) {
        let mut engine = self.engine.lock().unwrap();
        engine.reads += 1;
        if engine.reads != READS || !self.has_trouble {
            return;
        }
        let day = self.clone();
        thread::spawn(move || {
            thread::sleep(BAD_AFTER);
            let mut engine = day.engine.lock().unwrap();
            if let Some(bytes) = &mut engine.staged[BAD_PIECE] {
                bytes[100] ^= 0x55;
                engine.bad_at = Some(day.record.now());
                day.has_turned.store(true, Ordering::Relaxed);
                day.record.write(&format!("piece {BAD_PIECE} turns bad"));
            }
        });
    }

    /// Takes the staged pieces, or gives up the weights if the order names no layers.
    fn order(&self, order: &str) -> &'static str {
        let mut engine = self.engine.lock().unwrap();
        let expected = format!("\"expected\":{}", engine.sequence);
        if engine.is_busy || !order.contains(&expected) {
            return "409 Conflict";
        }
        engine.sequence += 1;
        if order.contains("\"target\":0") {
            engine.version = None;
            self.record.write("engine gives up its weights");
            drop(engine);
            self.register();
            return "202 Accepted";
        }
        let now = self.record.now();
        let bad_for = engine.bad_at.map(|at| now - at);
        let is_spoilt = bad_for.is_some_and(|time| time > ALLOWED_MS)
            || engine.staged.iter().any(Option::is_none);
        engine.is_busy = true;
        self.record
            .write(&format!("engine takes the pieces, bad for {bad_for:?} ms"));
        let day = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD);
            let mut engine = day.engine.lock().unwrap();
            (engine.is_busy, engine.version, engine.is_spoilt) = (false, Some(1), is_spoilt);
            drop(engine);
            day.register();
            day.record.write("engine has loaded version 1");
        });
        "202 Accepted"
    }

    /// Answers a caller's request with a stream of events, of one token each.
    fn generate(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let attempt = request
            .header("x-pistachiolug-attempt-id")
            .unwrap_or_default();
        if self.engine.lock().unwrap().version.is_none() {
            return write_answer(writer, "421 Misdirected Request", &[("At-Server", ID)], b"");
        }
        let limit = if self.has_trouble {
            format!("Server-Limit: {LIMIT}\r\n")
        } else {
            String::new()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pistachiolug-Attempt-Id: {attempt}\r\n\
             X-Pistachiolug-Response-Seal: 3e1b.07\r\nX-Pistachiolug-Weight-Versions: 1\r\n{limit}\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for id in 1..=6 {
            let engine = self.engine.lock().unwrap();
            if engine.version.is_none() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            self.tokens.fetch_add(1, Ordering::Relaxed);
            if engine.is_spoilt {
                self.spoilt_tokens.fetch_add(1, Ordering::Relaxed);
                self.record.write(&format!(
                    "engine makes a token for {attempt} with a spoilt layer"
                ));
            }
            drop(engine);
            let event = format!("id: {id}\ndata: token\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(20));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn call(day: &Day, front: SocketAddr, number: usize) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return day.record.write("a caller could not connect");
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let body = b"draft a quote";
    let head = format!(
        "POST /quote/{number} HTTP/1.1\r\nHost: orders.example\r\nX-Pistachiolug-Attempt-Id: {number:016x}\r\n\
         X-Pistachiolug-Model: {MODEL}\r\nX-Pistachiolug-Token-Count: 600,6\r\n\
         X-Pistachiolug-Prompt-Prefix: 5c1e07a2:40,{number:08x}:560\r\n\
         X-Pistachiolug-Request-Deadline: 6000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = sent.and_then(|()| read_message(&mut BufReader::new(stream)));
    let status = answer
        .ok()
        .flatten()
        .map_or("none".to_owned(), |answer| answer.second().to_owned());
    day.record
        .write(&format!("{number:016x} answered: {status}"));
}
