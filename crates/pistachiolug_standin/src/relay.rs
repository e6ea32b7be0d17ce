//! TCP relay that cuts, delays or silently stops forwarding its connections, as a middlebox that lost track would.

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

/// Bytes forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Running relay; clones share its state.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
    /// Number of connections accepted so far, which is also the next connection's number.
    accepted: Arc<AtomicU64>,
}

/// What happens to the connections.
#[derive(Debug, Clone, Copy, Default)]
struct Rules {
    /// Connections below this number forward nothing any more and stay open.
    silent_below: u64,
    /// Connections below this number are closed.
    cut_below: u64,
    /// Whether new connections are closed at once.
    refusing: bool,
    /// Delay of each piece.
    delay: Duration,
}

impl Relay {
    /// Listens on `listen` and forwards to `target` until the runtime ends.
    ///
    /// # Errors
    /// Returns the error of the bind.
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

    /// Stops forwarding on the connections of now without closing them; new ones work.
    pub fn stall_connections(&self) {
        let below = self.accepted_count();
        self.rules.send_modify(|rules| rules.silent_below = below);
    }

    /// Closes the connections of now; new ones work.
    pub fn close_connections(&self) {
        let below = self.accepted_count();
        self.rules.send_modify(|rules| rules.cut_below = below);
    }

    /// Closes new connections at once, or takes them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.rules.send_modify(|rules| rules.refusing = refusing);
    }

    /// Delays each piece from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.rules.send_modify(|rules| rules.delay = delay);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::AcqRel);
            let rules = self.rules.subscribe();
            if rules.borrow().refusing {
                continue;
            }
            tokio::spawn(async move {
                // A target that is gone closes the connection, as it would without the relay.
                let _ = forward(near, target, number, rules).await;
            });
        }
    }
}

/// Forwards both ways until an end closes or the connection is cut.
async fn forward(
    mut near: TcpStream,
    target: SocketAddr,
    number: u64,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let mut cut = rules.clone();
    tokio::select! {
        there = copy(near_read, far_write, number, rules.clone()) => there,
        back = copy(far_read, near_write, number, rules) => back,
        // An error means that the relay is gone.
        _ = cut.wait_for(|rules| number < rules.cut_below) => Ok(()),
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: u64,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let now = *rules.borrow();
        if number < now.silent_below {
            // Neither bytes nor an end reach the other side.
            std::future::pending::<()>().await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        sleep(now.delay).await;
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
