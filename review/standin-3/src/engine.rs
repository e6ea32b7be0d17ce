//! Model server: stages pieces, carries out load orders, and makes the tokens of streams with the layers that it holds.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Listener, Message, Reader},
    json::{self, Value},
    record::Record,
    store::Store,
    weights::{LAYERS, MODEL, PIECES, piece, pieces_of},
};

/// Time that a load of all layers takes.
const WARM: Duration = Duration::from_millis(300);

/// Interval at which the server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Events of a stream, the tokens of one, the time that a token takes, and the prompt tokens read per second, by the sheet.
const EVENTS: u64 = 12;
const TOKENS_PER_EVENT: u32 = 6;
const STEP: Duration = Duration::from_micros(7400);
const READ_PER_SECOND: f64 = 31_900.0;

/// Layers that the server holds, all of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    version: u64,
    from: usize,
    target: usize,
    /// Layers that were taken while a piece of them was missing, spoilt or of another version.
    spoilt: Vec<usize>,
}

/// Token that was made with a layer that is not whole.
#[derive(Debug, Clone)]
pub struct SpoiltToken {
    pub attempt: String,
    pub event: u64,
    pub version: u64,
    pub layers: Vec<usize>,
    pub at: Duration,
}

#[derive(Debug, Default)]
struct State {
    staged: BTreeMap<usize, Vec<u8>>,
    held: Option<Held>,
    is_busy: bool,
    sequence: u64,
    /// Rises with each load that aborts the running streams.
    cuts: u64,
    spoilt_tokens: Vec<SpoiltToken>,
    tokens: u64,
    /// Version from which the next order takes this time until it is accepted and answered.
    delay: Option<(u64, Duration)>,
    /// Versions of the orders that took their time, and of those that were accepted.
    delayed: Vec<u64>,
    accepted: Vec<u64>,
}

/// Running model server; clones share it.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    address: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    /// Starts a server that holds version 1, which is also staged, and writes its entry.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
    ) -> io::Result<(Self, Listener)> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = State {
            staged: (0..PIECES).map(|index| (index, piece(1, index))).collect(),
            held: Some(Held {
                version: 1,
                from: 0,
                target: LAYERS,
                spoilt: Vec::new(),
            }),
            ..State::default()
        };
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: born.unwrap_or_default().as_millis(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let server = engine.clone();
        let listener = Listener::start(address, move |stream| {
            // An error ends the connection, as its peer sees.
            let _ = server.serve(stream);
        })?;
        let (writer, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            let mut last = String::new();
            let mut sequence = 0;
            loop {
                let entry = writer.entry();
                // The entry changes when more than `sequence` changes.
                if entry != last {
                    sequence += 1;
                    let text = format!("{entry},\"sequence\":{sequence}}}");
                    store.put(&format!("servers/{}", writer.id), &text);
                    last = entry;
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok((engine, listener))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the server take this long for the next order for `version` or a later one.
    pub fn delay_order(&self, version: u64, by: Duration) {
        self.lock().delay = Some((version, by));
    }

    /// Lets the server answer all further orders at once.
    pub fn answer_orders(&self) {
        self.lock().delay = None;
    }

    /// Returns the versions of the orders that took their time.
    pub fn delayed(&self) -> Vec<u64> {
        self.lock().delayed.clone()
    }

    /// Returns the versions of the orders that were accepted.
    pub fn accepted(&self) -> Vec<u64> {
        self.lock().accepted.clone()
    }

    /// Returns the number of all tokens, and those that were made with a layer that is not whole.
    pub fn tokens(&self) -> (u64, Vec<SpoiltToken>) {
        let state = self.lock();
        (state.tokens, state.spoilt_tokens.clone())
    }

    /// Returns the version that the server holds with all layers.
    pub fn version(&self) -> Option<u64> {
        let state = self.lock();
        let held = state.held.as_ref()?;
        (held.from == 0 && held.target == LAYERS).then_some(held.version)
    }

    fn models(state: &State) -> String {
        match &state.held {
            Some(held) => format!(
                "\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{0},\"adapters\":[]}}],\"layers\":{{\"from\":{1},\"target\":{2},\"version\":{0}}}",
                held.version, held.from, held.target
            ),
            None => "\"stage\":\"both\",\"models\":[]".to_owned(),
        }
    }

    /// Returns its entry without the end.
    fn entry(&self) -> String {
        let state = self.lock();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},{}",
            self.service,
            self.address,
            self.zone,
            self.born,
            Self::models(&state)
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message(false)? {
            self.answer(&mut writer, &request)?;
        }
        Ok(())
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        // About what an answer takes on the machine itself.
        thread::sleep(Duration::from_millis(1));
        let path = request
            .path()
            .strip_prefix("/pistachiolug/")
            .unwrap_or_default();
        let index = request.parameter("sample_count");
        let index = index.and_then(|text| text.parse::<usize>().ok());
        let json = [("Content-Type", "application/json".to_owned())];
        if path == "report" {
            let state = self.lock();
            let body = format!(
                "{{{},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":685000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
                Self::models(&state),
                state.is_busy,
                state.sequence,
                self.born
            );
            drop(state);
            return http::respond(writer, "200 OK", &json, body.as_bytes());
        }
        if path == format!("stage-put/{MODEL}") {
            self.lock()
                .staged
                .insert(index.unwrap_or_default(), request.body.clone());
            return http::respond(writer, "200 OK", &[], b"");
        }
        if path == format!("stage-get/{MODEL}") {
            let Some(index) = index else {
                let held: Vec<usize> = self.lock().staged.keys().copied().collect();
                return http::respond(
                    writer,
                    "200 OK",
                    &json,
                    format!("{{\"held\":{held:?}}}").as_bytes(),
                );
            };
            let staged = self.lock().staged.get(&index).cloned();
            return match staged {
                Some(bytes) => http::respond(writer, "200 OK", &[], &bytes),
                None => http::respond(writer, "404 Not Found", &[], b""),
            };
        }
        if path == "order" {
            return self.take_order(writer, request);
        }
        self.stream(writer, request)
    }

    fn take_order(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = json::parse(&body).unwrap_or(Value::Null);
        let number = |name| {
            order
                .field(name)
                .and_then(Value::number)
                .map(|value| value as u64)
        };
        let version = number("version").unwrap_or_default();
        let is_unload = number("target") == Some(0);
        let mut state = self.lock();
        let delay = state
            .delay
            .filter(|(from, _)| version >= *from && !is_unload);
        if delay.is_some() {
            state.delay = None;
            state.delayed.push(version);
        }
        drop(state);
        if let Some((_, by)) = delay {
            self.record.say(&format!(
                "server {} takes its time for an order: {body}",
                self.id
            ));
            thread::sleep(by);
        }
        let status = self.accept(&order);
        self.record.line(&format!(
            "server {} answers {status} to the order {body}",
            self.id
        ));
        let headers = [("Content-Type", "application/json".to_owned())];
        http::respond(writer, status, &headers, b"{}")
    }

    fn accept(&self, order: &Value) -> &'static str {
        let number = |name| {
            order
                .field(name)
                .and_then(Value::number)
                .map(|value| value as u64)
        };
        let version = number("version").unwrap_or_default();
        let from = number("from").unwrap_or(0) as usize;
        let target = number("target").unwrap_or(LAYERS as u64) as usize;
        let mut state = self.lock();
        if number("expected").is_some_and(|expected| expected != state.sequence) || state.is_busy {
            return "409 Conflict";
        }
        if from == target {
            if state.held.is_none() {
                return "200 OK";
            }
            state.held = None;
            state.sequence += 1;
            state.cuts += 1;
            return "202 Accepted";
        }
        let kept = state.held.clone().filter(|held| held.version == version);
        let is_kept = |layer: usize| {
            let kept = kept.as_ref();
            kept.is_some_and(|held| (held.from..held.target).contains(&layer))
        };
        let taken: Vec<usize> = (from..target).filter(|layer| !is_kept(*layer)).collect();
        if taken.is_empty() {
            return "200 OK";
        }
        let is_spoilt = |layer: &usize| {
            let mut pieces = pieces_of(*layer);
            !pieces.all(|index| state.staged.get(&index) == Some(&piece(version, index)))
        };
        let mut spoilt: Vec<usize> = taken.iter().copied().filter(is_spoilt).collect();
        spoilt.extend(kept.iter().flat_map(|held| held.spoilt.clone()));
        let held = Held {
            version,
            from,
            target,
            spoilt,
        };
        self.record.say(&format!(
            "server {} begins to load version {version}, layers {from} to {target}; layers that are not whole: {:?}",
            self.id, held.spoilt
        ));
        state.accepted.push(version);
        state.sequence += 1;
        state.cuts += 1;
        state.held = None;
        state.is_busy = true;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(WARM);
            let mut state = engine.lock();
            state.is_busy = false;
            state.held = Some(held);
            engine.record.line(&format!(
                "server {} has loaded version {version}",
                engine.id
            ));
        });
        "202 Accepted"
    }

    /// Makes a stream of events, as long as its layers stay.
    fn stream(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let attempt = header("x-pistachiolug-attempt-id");
        let echo = ("X-Pistachiolug-Attempt-Id", attempt.clone());
        let expected = request.header("x-pistachiolug-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [echo, ("X-Pistachiolug-Instance-Id", self.id.clone())];
            return http::respond(writer, "421 Misdirected Request", &headers, b"");
        }
        let (held, cuts) = {
            let state = self.lock();
            (state.held.clone(), state.cuts)
        };
        let held = held.filter(|held| {
            let wanted = header("x-pistachiolug-expected-version");
            held.from == 0
                && held.target == LAYERS
                && (wanted.is_empty() || wanted == held.version.to_string())
        });
        let Some(held) = held else {
            return http::respond(writer, "421 Misdirected Request", &[echo], b"");
        };
        self.record.line(&format!(
            "server {} runs {attempt} on version {}",
            self.id, held.version
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Pistachiolug-Attempt-Id: {attempt}\r\nX-Pistachiolug-Response-Seal: seal.{}.{attempt}\r\nX-Pistachiolug-Weight-Versions: {}\r\n\r\n",
            self.id, held.version
        );
        writer.write_all(head.as_bytes())?;
        let prompt = header("x-pistachiolug-token-count");
        let prompt = prompt
            .split(',')
            .next()
            .and_then(|tokens| tokens.parse().ok());
        thread::sleep(Duration::from_secs_f64(
            prompt.unwrap_or(0.0) / READ_PER_SECOND,
        ));
        let last: Option<u64> = header("last-event-id").parse().ok();
        for event in last.map_or(0, |last| last + 1)..EVENTS {
            for _ in 0..TOKENS_PER_EVENT {
                thread::sleep(STEP);
                self.make_token(&attempt, event, &held, cuts)?;
            }
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Makes a token with the layers that a request began with.
    ///
    /// # Errors
    /// Fails if a load has aborted the request.
    fn make_token(&self, attempt: &str, event: u64, held: &Held, cuts: u64) -> io::Result<()> {
        let mut state = self.lock();
        if state.cuts != cuts {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.tokens += 1;
        if !held.spoilt.is_empty() {
            state.spoilt_tokens.push(SpoiltToken {
                attempt: attempt.to_owned(),
                event,
                version: held.version,
                layers: held.spoilt.clone(),
                at: self.record.now(),
            });
        }
        Ok(())
    }
}
