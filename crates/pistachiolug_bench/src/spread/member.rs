//! Member of a spread: a swarm with an HTTP server of its own.

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

/// Secret that the members of every spread share.
const SECRET: &str = "spread-secret";

/// Number of idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 8;

/// Member of a spread; dropping it closes its server.
#[derive(Debug)]
pub struct Member {
    /// Swarm that transfers the chunks.
    pub swarm: Swarm<Upstream>,
    /// Whether the member corrupts every chunk that it sends.
    pub is_corrupting: Arc<AtomicBool>,
    server: Server,
}

/// Server of a member's chunks.
#[derive(Clone)]
struct ChunkServer {
    swarm: Swarm<Upstream>,
    secret: Secret,
    is_corrupting: Arc<AtomicBool>,
}

impl Member {
    /// Starts a member on a free port; `sources` are where it reads what no other member can give it.
    ///
    /// # Errors
    /// Returns the error of the bind.
    pub fn start(options: Options, sources: Vec<Upstream>) -> io::Result<Self> {
        let client = Client::new(IDLE_CONNECTIONS);
        let swarm = Swarm::new(options, client, secret(), sources);
        let is_corrupting = Arc::new(AtomicBool::new(false));
        let chunk_server = ChunkServer {
            swarm: swarm.clone(),
            secret: secret(),
            is_corrupting: Arc::clone(&is_corrupting),
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(address, 1, Limit::default(), chunk_server)?;
        Ok(Self {
            swarm,
            is_corrupting,
            server,
        })
    }

    /// Returns the address of its server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes its server and all connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Handler for ChunkServer {
    async fn handle(&self, request: Request) -> Reply {
        if !self.secret.is_sent_in(request.headers()) {
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
            return Response::new(Body::from(corrupt(&bytes)));
        }
        self.swarm.handle(request).await
    }
}

/// Returns the secret that the members of every spread share.
pub fn secret() -> Secret {
    Secret::new(SECRET)
}

/// Flips the first byte.
fn corrupt(bytes: &Bytes) -> Bytes {
    let mut bytes = BytesMut::from(bytes.as_ref());
    if let Some(first) = bytes.first_mut() {
        *first ^= 0xff;
    }
    bytes.freeze()
}
