//! Plain backend servers, which run a request for a fixed time and keep their entries in the store.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Listener, Message, Reader},
    record::Record,
    store::Store,
};

/// What a server does with requests and says of itself.
#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Time for which a request runs.
    pub work: Duration,
}

/// Request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the client's attempt.
    pub attempt: String,
    pub server: String,
    /// Request line.
    pub line: String,
    /// When it arrived, as time since the start of the record.
    pub at: Duration,
}

/// Requests that any server ran; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn add(&self, run: Run) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
    }
}

/// Headers that a server adds to its answers; they may be changed while it runs.
pub type Extra = Arc<Mutex<HashMap<String, String>>>;

/// Running server.
#[derive(Debug, Clone)]
pub struct Server {
    pub options: Options,
    pub listener: Listener,
    pub extra: Extra,
    /// Unix milliseconds of its start.
    born: u128,
    sequence: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server; it is not in the store yet.
    pub fn start(
        address: SocketAddr,
        options: Options,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let extra = Extra::default();
        let (own, headers) = (options.clone(), Arc::clone(&extra));
        let (runs, record) = (runs.clone(), record.clone());
        let listener = Listener::start(address, move |stream| {
            // An error ends the connection, as its peer sees.
            let _ = serve(stream, &own, &headers, &runs, &record);
        })?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            options,
            listener,
            extra,
            born: born.unwrap_or_default().as_millis(),
            sequence: Arc::default(),
        })
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.options.id)
    }

    /// Returns a new entry for the store; each has a higher `sequence`.
    pub fn entry(&self, state: &str) -> String {
        let Options {
            service,
            zone,
            slots,
            ..
        } = &self.options;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"born\":{},\"sequence\":{}}}",
            self.listener.address(),
            self.born,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1
        )
    }

    /// Lets the server say in all its answers that it leaves.
    pub fn leave(&self) {
        let mut extra = self.extra.lock().unwrap_or_else(PoisonError::into_inner);
        extra.insert("Server-Leaving".to_owned(), "1".to_owned());
    }

    /// Writes a new entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        store.put(&self.key(), &self.entry(state));
    }
}

fn serve(
    stream: TcpStream,
    options: &Options,
    extra: &Extra,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message(false)? {
        let at = record.now();
        answer(&mut writer, &request, options, extra, runs, record, at)?;
    }
    Ok(())
}

fn answer(
    writer: &mut TcpStream,
    request: &Message,
    options: &Options,
    extra: &Extra,
    runs: &Runs,
    record: &Record,
    at: Duration,
) -> io::Result<()> {
    let id = &options.id;
    if request.path() == "/health" {
        let headers = [("X-Pistachiolug-Instance-Id", id.clone())];
        return http::respond(writer, "200 OK", &headers, b"");
    }
    let attempt = request.header("x-pistachiolug-attempt-id");
    let attempt = attempt.unwrap_or_default().to_owned();
    let expected = request.header("x-pistachiolug-expected-instance");
    if expected.is_some_and(|expected| expected != id) {
        record.line(&format!(
            "server {id} is not the expected one for {attempt}"
        ));
        let headers = [
            ("X-Pistachiolug-Instance-Id", id.clone()),
            ("X-Pistachiolug-Attempt-Id", attempt),
        ];
        return http::respond(writer, "421 Misdirected Request", &headers, b"");
    }
    runs.add(Run {
        attempt: attempt.clone(),
        server: id.clone(),
        line: request.line.clone(),
        at,
    });
    record.line(&format!("server {id} runs {attempt}: {}", request.line));
    thread::sleep(options.work);
    let extra = extra.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut headers = vec![
        (
            "X-Pistachiolug-Response-Seal",
            format!("seal.{id}.{attempt}"),
        ),
        ("X-Pistachiolug-Attempt-Id", attempt),
    ];
    headers.extend(
        extra
            .iter()
            .map(|(name, value)| (name.as_str(), value.clone())),
    );
    http::respond(writer, "200 OK", &headers, &[b'x'; 800])
}
