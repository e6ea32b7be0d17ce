//! Stand-in of a plain server.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, world::World};

/// Interval of a server's status reports, as the settings say.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub server: String,
    pub path: String,
}

/// What a server says of itself in its entry.
#[derive(Debug, Clone)]
pub struct Listing {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    pub born: u64,
}

/// Server of a plain service.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub listing: Mutex<Listing>,
    /// Whether it has an entry in the store.
    is_listed: Mutex<bool>,
    /// Whether the process of the server runs.
    is_up: AtomicBool,
    /// Whether it is leaving, which it then says in all its answers.
    is_leaving: AtomicBool,
    /// Time that a request takes.
    work: Duration,
    world: Arc<World>,
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(
        world: &Arc<World>,
        address: SocketAddr,
        listing: Listing,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("address of a server");
        let server = Arc::new(Self {
            address,
            listing: Mutex::new(listing),
            is_listed: Mutex::new(false),
            is_up: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            work,
            world: Arc::clone(world),
        });
        let served = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&served);
                // A server that is down keeps no connection.
                if server.is_up.load(Ordering::SeqCst) {
                    thread::spawn(move || drop(server.serve(stream)));
                }
            }
        });
        server.register();
        let reported = Arc::clone(&server);
        thread::spawn(move || reported.report());
        server
    }

    /// Writes its entry at each interval, as long as it is listed; the entry changes only if another one stands there.
    fn report(&self) {
        loop {
            thread::sleep(HEARTBEAT);
            let is_listed = self.is_listed.lock().unwrap();
            if *is_listed && self.world.store.put_if_other(&self.key(), &self.row(&[])) {
                self.world
                    .note(&format!("store: {} is {} again", self.key(), self.row(&[])));
            }
        }
    }

    pub fn id(&self) -> String {
        self.listing.lock().unwrap().id.clone()
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    /// Returns the value of its entry, without the fields that `without` names.
    pub fn row(&self, without: &[&str]) -> String {
        let listing = self.listing.lock().unwrap().clone();
        let fields = [
            ("service", format!("\"{}\"", listing.service)),
            ("address", format!("\"{}\"", self.address)),
            ("zone", format!("\"{}\"", listing.zone)),
            ("version", "\"v1\"".to_owned()),
            ("slots", listing.slots.to_string()),
            ("state", format!("\"{}\"", listing.state)),
            ("cold_remaining_ms", "0".to_owned()),
            ("sequence", "1".to_owned()),
            ("born", listing.born.to_string()),
        ];
        let fields = fields.iter().filter(|(name, _)| !without.contains(name));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("\"{name}\":{value}"))
            .collect();
        format!("{{{}}}", fields.join(","))
    }

    /// Writes its entry into the store; returns when the store has accepted it.
    pub fn register(&self) -> Instant {
        *self.is_listed.lock().unwrap() = true;
        let at = self.world.store.put(&self.key(), &self.row(&[]));
        self.world
            .note(&format!("store: {} is {}", self.key(), self.row(&[])));
        at
    }

    /// Reports that it is draining; returns when the store has accepted that.
    pub fn drain(&self) -> Instant {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.listing.lock().unwrap().state = "draining";
        self.register()
    }

    /// Removes its entry, as when it has left, or when it leaves without reporting that it drains.
    pub fn unregister(&self) -> Instant {
        self.is_leaving.store(true, Ordering::SeqCst);
        *self.is_listed.lock().unwrap() = false;
        let at = self.world.store.remove(&self.key());
        self.world
            .note(&format!("store: {} is removed", self.key()));
        at
    }

    /// Says from now on that it is leaving, without a report in its entry, which the store removes.
    pub fn begin_to_leave(&self) {
        *self.is_listed.lock().unwrap() = false;
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the process, which then refuses connections as far as a stand-in can: it closes them at once.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.world.note(&format!("server {} has ended", self.id()));
    }

    /// Starts the process again, under the id that it had.
    pub fn restart(&self) {
        {
            let mut listing = self.listing.lock().unwrap();
            listing.state = "ready";
            listing.born = self.world.unix_ms();
        }
        self.is_leaving.store(false, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.world
            .note(&format!("server {} has started again", self.id()));
        self.register();
    }

    /// Answers, and says that the server is leaving if it is.
    fn answer(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut headers = headers.to_vec();
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        http::answer(stream, status, &headers, body)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let id = self.id();
            let (_, target) = request.request();
            if target == "/health" {
                self.answer(
                    &mut writer,
                    200,
                    &[("X-Pistachiolug-Instance-Id", &id)],
                    b"",
                )?;
                continue;
            }
            let attempt = request
                .header("x-pistachiolug-attempt-id")
                .unwrap_or("")
                .to_owned();
            let expected = request
                .header("x-pistachiolug-expected-instance")
                .unwrap_or("");
            if attempt.is_empty() {
                self.answer(
                    &mut writer,
                    400,
                    &[("X-Pistachiolug-Not-Executed", "1")],
                    b"",
                )?;
                continue;
            }
            if !expected.is_empty() && expected != id {
                self.world.note(&format!(
                    "server {id}: {attempt} expects {expected}, gets 421"
                ));
                let headers = [
                    ("X-Pistachiolug-Attempt-Id", attempt.as_str()),
                    ("X-Pistachiolug-Instance-Id", &id),
                ];
                self.answer(&mut writer, 421, &headers, b"")?;
                continue;
            }
            let run = Run {
                at: Instant::now(),
                attempt: attempt.clone(),
                server: id.clone(),
                path: target.to_owned(),
            };
            self.world.record_run(run);
            thread::sleep(self.work);
            if !self.is_up.load(Ordering::SeqCst) {
                // Its process has ended meanwhile.
                return Ok(());
            }
            let seal = format!("seal-{attempt}");
            let headers = [
                ("X-Pistachiolug-Attempt-Id", attempt.as_str()),
                ("X-Pistachiolug-Response-Seal", &seal),
                ("Content-Type", "application/octet-stream"),
            ];
            self.answer(&mut writer, 200, &headers, &[b'x'; 800])?;
        }
        Ok(())
    }
}
