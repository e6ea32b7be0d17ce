//! Members and an origin on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use http::Method;
use pistachiolug_http::{client::Client, limit::Limit, server::Server};
use pistachiolug_platform::source;
use pistachiolug_standin::origin::Origin;
use pistachiolug_weights::{
    manifest::{self, Manifest},
    planner::policy::{Policy, Tuning},
    roster::{Member as Row, Roster},
    swarm::{Error, Options, Target},
};
use pistachiolug_wire::digest::Digest;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, task::JoinHandle};

use super::{
    member::{Member, secret},
    upstream::{Predecessor, Upstream},
};
use crate::rig::client::Http;

/// Region of all members.
const REGION: &str = "gauteng";

/// Chunks that a member of a chain waits for at once.
const CHAIN_SLOTS: usize = 256;

/// How members get their chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// From each other, as the product does.
    Swarm(Policy),
    /// All from the origin.
    Origin,
    /// Each from the member before it.
    Chain,
}

/// Sizes and rates of one spread.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Members.
    pub members: usize,
    /// Bytes of the version.
    pub bytes: usize,
    /// Bytes of a chunk.
    pub chunk_bytes: usize,
    /// Rate of the origin's link in bytes a second; 0 means no limit.
    pub origin_rate: u64,
    /// Rate of each member's link each way in bytes a second; 0 means no limit.
    pub link_rate: u64,
    /// Time without progress after which others take over.
    pub stall: Duration,
    /// Shortest interval between two questions to a neighbour.
    pub exchange_gap: Duration,
}

/// Running members and origin.
#[derive(Debug)]
pub struct Net {
    /// Members.
    pub members: Vec<Member>,
    /// Origin.
    pub origin: Origin,
    /// Members that need the version.
    pub roster: watch::Sender<Arc<Roster>>,
    /// Sends control requests.
    pub http: Http,
    size: Size,
    shape: Shape,
    server: Server,
}

impl Net {
    /// Starts the origin and the members.
    ///
    /// # Errors
    /// Returns the error of a bind.
    pub fn start(size: Size, shape: Shape) -> io::Result<Self> {
        let origin = Origin::new(size.origin_rate);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(address, 1, Limit::default(), origin.clone())?;
        let mut net = Self {
            members: Vec::new(),
            origin,
            roster: watch::Sender::new(Arc::default()),
            http: Http::new(secret().expose()),
            size,
            shape,
            server,
        };
        net.grow(size.members)?;
        Ok(net)
    }

    /// Starts further members, up to `count`, and puts all into the roster.
    ///
    /// # Errors
    /// Returns the error of a bind.
    pub fn grow(&mut self, count: usize) -> io::Result<()> {
        for index in self.members.len()..count {
            let member = self.start_member(index)?;
            self.members.push(member);
        }
        let rows = self.members.iter().enumerate();
        let rows = rows.map(|(index, member)| row(index, member.address()));
        self.roster
            .send_replace(Arc::new(Roster::new(rows.collect())));
        Ok(())
    }

    /// Uploads a version to the origin.
    pub fn upload(&self, version: &str, weights: &[u8]) -> Target {
        let manifest = Manifest::build("pasta", version, weights, self.size.chunk_bytes);
        for piece in weights.chunks(self.size.chunk_bytes) {
            let name = manifest::chunk_object(&Digest::of(piece));
            self.origin.store(&name, piece.to_vec().into());
        }
        Target {
            id: Digest::of(&manifest.render()),
            manifest: Arc::new(manifest),
            roster: self.roster.subscribe(),
        }
    }

    /// Starts the pull of a version at one member.
    pub fn pull(&self, index: usize, want: &Target) -> JoinHandle<Result<(), Error>> {
        let swarm = self.members[index].swarm.clone();
        let mut want = want.clone();
        if self.shape != Shape::Swarm(Policy::TimeFirst)
            && self.shape != Shape::Swarm(Policy::BytesFirst)
        {
            let alone = Roster::new(vec![row(index, self.members[index].address())]);
            want.roster = watch::Sender::new(Arc::new(alone)).subscribe();
        }
        tokio::spawn(async move { swarm.pull(want, None).await })
    }

    /// Sends a control request to the origin.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn control(&self, path: &str) -> io::Result<()> {
        let address = self.server.address();
        let sent = self.http.send(Method::POST, address, path, None, "").await;
        sent.map(drop).map_err(io::Error::other)
    }

    /// Returns the bytes that the origin sent, in copies of `bytes`.
    pub fn origin_copies(&self, bytes: usize) -> f64 {
        self.origin.record().sent_bytes as f64 / bytes as f64
    }

    /// Returns the most bytes that a member sent, in copies of `bytes`.
    pub fn largest_upload(&self, bytes: usize) -> f64 {
        let sent = self
            .members
            .iter()
            .map(|member| member.swarm.upload_bucket().taken());
        sent.max().unwrap_or(0) as f64 / bytes as f64
    }

    fn start_member(&self, index: usize) -> io::Result<Member> {
        let policy = match self.shape {
            Shape::Swarm(policy) => policy,
            Shape::Origin | Shape::Chain => Policy::BytesFirst,
        };
        let chained = self.shape == Shape::Chain && index > 0;
        let tuning = Tuning {
            policy,
            slots: if chained {
                CHAIN_SLOTS
            } else {
                Tuning::default().slots
            },
            source_slots: if chained {
                CHAIN_SLOTS
            } else {
                Tuning::default().source_slots
            },
            stall_timeout: self.size.stall,
            ask_interval: self.size.stall / 4,
            ..Tuning::default()
        };
        let options = Options {
            instance: name(index),
            region: REGION.to_owned(),
            tuning,
            upload_bytes_per_second: self.size.link_rate,
            download_bytes_per_second: self.size.link_rate,
            query_interval: self.size.exchange_gap,
            ..Options::default()
        };
        Member::start(options, vec![self.upstream(index)])
    }

    fn upstream(&self, index: usize) -> Upstream {
        let client = Client::new(2);
        if self.shape == Shape::Chain && index > 0 {
            return Upstream::Predecessor(Predecessor {
                client,
                address: self.members[index - 1].address(),
                secret: secret(),
            });
        }
        let base = format!("http://{}", self.server.address());
        let origin = source::Http::new(client, &base).with_idle_timeout(self.size.stall);
        Upstream::Origin(origin)
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// Draws the bytes of a version.
pub fn weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut weights = vec![0; bytes];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut weights);
    weights
}

fn name(index: usize) -> String {
    format!("instance-{index}")
}

fn row(index: usize, address: SocketAddr) -> Row {
    Row {
        name: name(index),
        address,
        region: REGION.to_owned(),
    }
}
