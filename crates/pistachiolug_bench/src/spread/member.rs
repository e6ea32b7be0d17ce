//! One member: its swarm behind a server of its own.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    client::Client,
    limit::Limit,
    secret::Secret,
    server::{Handler, Reply, Request, Server},
};
use pistachiolug_weights::{
    exchange::CHUNK_PATH,
    swarm::{Options, Swarm},
};

use super::upstream::Upstream;

/// Secret of every spread.
const SECRET: &str = "spread-secret";

/// Idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 8;

/// Member of a spread.
#[derive(Debug)]
pub struct Member {
    /// Its swarm.
    pub swarm: Swarm<Upstream>,
    /// Makes every chunk that it sends corrupt.
    pub is_corrupting: Arc<AtomicBool>,
    server: Server,
}

#[derive(Clone)]
struct Port {
    swarm: Swarm<Upstream>,
    secret: Secret,
    is_corrupting: Arc<AtomicBool>,
}

impl Member {
    /// Starts a member.
    ///
    /// # Errors
    /// Returns the error of the bind.
    pub fn start(options: Options, sources: Vec<Upstream>) -> io::Result<Self> {
        let client = Client::new(IDLE_CONNECTIONS);
        let swarm = Swarm::new(options, client, secret(), sources);
        let is_corrupting = Arc::new(AtomicBool::new(false));
        let port = Port {
            swarm: swarm.clone(),
            secret: secret(),
            is_corrupting: Arc::clone(&is_corrupting),
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(address, 1, Limit::default(), port)?;
        Ok(Self {
            swarm,
            is_corrupting,
            server,
        })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes its port and all connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Handler for Port {
    async fn handle(&self, request: Request) -> Reply {
        if !self.secret.admits(request.headers()) {
            let mut reply = Response::new(Body::from(""));
            *reply.status_mut() = StatusCode::UNAUTHORIZED;
            return reply;
        }
        let path = request.uri().path();
        let digest = path.strip_prefix(CHUNK_PATH).map(str::parse);
        if self.is_corrupting.load(Ordering::Relaxed)
            && let Some(Ok(digest)) = digest
            && let Some(bytes) = self.swarm.chunk(&digest)
        {
            return Response::new(Body::from(flip(&bytes)));
        }
        self.swarm.handle(request).await
    }
}

/// Returns the secret of every spread.
pub fn secret() -> Secret {
    Secret::new(SECRET)
}

/// Flips the first byte.
fn flip(bytes: &Bytes) -> Bytes {
    let mut bytes = BytesMut::from(bytes.as_ref());
    if let Some(first) = bytes.first_mut() {
        *first ^= 0xff;
    }
    bytes.freeze()
}
