//! TCP relay that closes, delays or stalls connections on request.
//!
//! A stalled connection stays open and forwards nothing, as behind a firewall or NAT that lost the connection's state.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use pistachiolug_http::server::{Handler, Reply, Request};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::reply;

/// Number of bytes forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Running relay; clones share its state.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
    /// Number of connections accepted so far, which is also the number of the next connection.
    accepted: Arc<AtomicU64>,
}

/// Faults in force; connections are numbered from 0 in the order in which they were accepted.
#[derive(Debug, Clone, Copy, Default)]
struct Rules {
    /// Connections with a lower number stay open and forward nothing.
    stalled_below: u64,
    /// Connections with a lower number are closed.
    closed_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Whether new connections are closed as soon as they are accepted.
    is_refusing: bool,
    /// Time by which each piece of data is delayed.
    delay: Duration,
}

impl Relay {
    /// Listens on `listen` and forwards each connection to `target` until the runtime ends.
    ///
    /// # Errors
    /// Returns the error of the bind to `listen`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let relay = Self {
            address: listener.local_addr()?,
            rules: Arc::new(watch::Sender::new(Rules::default())),
            accepted: Arc::default(),
        };
        let accepting = relay.clone();
        tokio::spawn(async move { accepting.accept(listener, target).await });
        Ok(relay)
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.accepted.load(Ordering::Acquire)
    }

    /// Stops forwarding on the present connections without closing them; new ones work.
    pub fn stall_connections(&self) {
        let count = self.accepted_count();
        self.rules.send_modify(|rules| rules.stalled_below = count);
    }

    /// Closes the present connections; new ones work.
    pub fn close_connections(&self) {
        let count = self.accepted_count();
        self.rules.send_modify(|rules| rules.closed_below = count);
    }

    /// Resets the present connections, so that their ends can't be taken for regular ones; new ones work.
    pub fn reset_connections(&self) {
        let count = self.accepted_count();
        self.rules.send_modify(|rules| rules.reset_below = count);
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.rules
            .send_modify(|rules| rules.is_refusing = is_refusing);
    }

    /// Sets the time by which each piece of data is delayed from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.rules.send_modify(|rules| rules.delay = delay);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((caller, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::AcqRel);
            let rules = self.rules.subscribe();
            if rules.borrow().is_refusing {
                continue;
            }
            tokio::spawn(async move {
                // If the target is unreachable, the caller's connection is closed, as it would be without the relay.
                let _ = forward(caller, target, number, rules).await;
            });
        }
    }
}

/// Forwards both ways until one end closes its connection or the rules end it.
async fn forward(
    mut caller: TcpStream,
    target: SocketAddr,
    number: u64,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.split();
    let (server_read, server_write) = server.split();
    let (mut closing, mut resetting) = (rules.clone(), rules.clone());
    tokio::select! {
        to_server = copy(caller_read, server_write, number, rules.clone()) => to_server,
        to_caller = copy(server_read, caller_write, number, rules) => to_caller,
        // Fails only when the relay was dropped.
        _ = closing.wait_for(|rules| number < rules.closed_below) => Ok(()),
        _ = resetting.wait_for(|rules| number < rules.reset_below) => caller.set_zero_linger(),
    }
}

/// Copies one direction of a connection until its end.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: u64,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let current = *rules.borrow();
        if number < current.stalled_below {
            // Neither data nor the end of the connection reaches the other side.
            std::future::pending::<()>().await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        // Even a sleep of no time lasts until the next tick of the timer.
        if !current.delay.is_zero() {
            sleep(current.delay).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

impl Handler for Relay {
    async fn handle(&self, request: Request) -> Reply {
        if *request.method() != Method::POST {
            return reply::status(StatusCode::METHOD_NOT_ALLOWED);
        }
        match request.uri().path() {
            "/control/silence" => self.stall_connections(),
            "/control/cut" => self.close_connections(),
            "/control/refuse" => self.set_refusing(true),
            "/control/accept" => self.set_refusing(false),
            "/control/delay" => {
                let millis = reply::query_number(request.uri().query(), "ms");
                self.set_delay(Duration::from_millis(millis));
            }
            _ => return reply::status(StatusCode::NOT_FOUND),
        }
        reply::status(StatusCode::NO_CONTENT)
    }
}
