//! Cluster of members and an origin on loopback.

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
    roster::{Member as RosterMember, Roster},
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
use crate::rig::client::HttpClient;

/// Region of all members.
const REGION: &str = "gauteng";

/// Number of chunks that a member of a chain requests at once.
const CHAIN_SLOTS: usize = 256;

/// Where members get their chunks from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topology {
    /// From each other and from the origin, as in the product.
    Swarm(Policy),
    /// All from the origin; a baseline.
    Origin,
    /// From the previous member, and the first one from the origin; a baseline.
    Chain,
}

/// Sizes, rates and times of a spread.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of members.
    pub members: usize,
    /// Length of the version in bytes.
    pub bytes: usize,
    /// Length of a chunk in bytes.
    pub chunk_bytes: usize,
    /// Rate of the origin's link in bytes per second; 0 means no limit.
    pub origin_rate: u64,
    /// Rate of each member's link, in each direction, in bytes per second; 0 means no limit.
    pub link_rate: u64,
    /// Time without progress after which a transfer is given to another member or the origin.
    pub stall_timeout: Duration,
    /// Minimum interval between two queries to a neighbour.
    pub query_interval: Duration,
}

/// Running members and their origin.
#[derive(Debug)]
pub struct Cluster {
    /// Members.
    pub members: Vec<Member>,
    /// Origin.
    pub origin: Origin,
    /// Roster of all members.
    pub roster: watch::Sender<Arc<Roster>>,
    /// Client for control requests to the origin.
    pub http: HttpClient,
    size: Size,
    topology: Topology,
    server: Server,
}

impl Cluster {
    /// Starts the origin and the members.
    ///
    /// # Errors
    /// Returns the error of a bind.
    pub fn start(size: Size, topology: Topology) -> io::Result<Self> {
        let origin = Origin::new(size.origin_rate);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(address, 1, Limit::default(), origin.clone())?;
        let mut cluster = Self {
            members: Vec::new(),
            origin,
            roster: watch::Sender::new(Arc::default()),
            http: HttpClient::new(secret().expose()),
            size,
            topology,
            server,
        };
        cluster.grow(size.members)?;
        Ok(cluster)
    }

    /// Starts further members until there are `count`, and puts all into the roster.
    ///
    /// # Errors
    /// Returns the error of a bind.
    pub fn grow(&mut self, count: usize) -> io::Result<()> {
        for index in self.members.len()..count {
            let member = self.start_member(index)?;
            self.members.push(member);
        }
        let roster_members = self.members.iter().enumerate();
        let roster_members =
            roster_members.map(|(index, member)| roster_member(index, member.address()));
        self.roster
            .send_replace(Arc::new(Roster::new(roster_members.collect())));
        Ok(())
    }

    /// Stores a version at the origin and returns the target that members pull.
    pub fn upload(&self, version: &str, weights: &[u8]) -> Target {
        let manifest = Manifest::build("pasta", version, weights, self.size.chunk_bytes);
        for chunk in weights.chunks(self.size.chunk_bytes) {
            let name = manifest::chunk_object(&Digest::of(chunk));
            self.origin.store(&name, chunk.to_vec().into());
        }
        Target {
            id: Digest::of(&manifest.render()),
            manifest: Arc::new(manifest),
            roster: self.roster.subscribe(),
        }
    }

    /// Starts the pull of a version at one member. Outside a swarm, the member sees only itself in the roster.
    pub fn pull(&self, index: usize, target: &Target) -> JoinHandle<Result<(), Error>> {
        let swarm = self.members[index].swarm.clone();
        let mut target = target.clone();
        if self.topology != Topology::Swarm(Policy::TimeFirst)
            && self.topology != Topology::Swarm(Policy::BytesFirst)
        {
            let own_roster = Roster::new(vec![roster_member(index, self.members[index].address())]);
            target.roster = watch::Sender::new(Arc::new(own_roster)).subscribe();
        }
        tokio::spawn(async move { swarm.pull(target, None).await })
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

    /// Returns the number of bytes that the origin sent, as a multiple of `bytes`.
    pub fn origin_copies(&self, bytes: usize) -> f64 {
        self.origin.record().sent_bytes as f64 / bytes as f64
    }

    /// Returns the largest number of bytes that a member sent, as a multiple of `bytes`.
    pub fn largest_upload(&self, bytes: usize) -> f64 {
        let sent = self
            .members
            .iter()
            .map(|member| member.swarm.upload_bucket().taken());
        sent.max().unwrap_or(0) as f64 / bytes as f64
    }

    fn start_member(&self, index: usize) -> io::Result<Member> {
        let policy = match self.topology {
            Topology::Swarm(policy) => policy,
            Topology::Origin | Topology::Chain => Policy::BytesFirst,
        };
        let is_chained = self.topology == Topology::Chain && index > 0;
        let tuning = Tuning {
            policy,
            slots: if is_chained {
                CHAIN_SLOTS
            } else {
                Tuning::default().slots
            },
            source_slots: if is_chained {
                CHAIN_SLOTS
            } else {
                Tuning::default().source_slots
            },
            stall_timeout: self.size.stall_timeout,
            ask_interval: self.size.stall_timeout / 4,
            suspect_time: self.size.stall_timeout * 12,
            ..Tuning::default()
        };
        let options = Options {
            instance: name(index),
            region: REGION.to_owned(),
            tuning,
            upload_bytes_per_second: self.size.link_rate,
            download_bytes_per_second: self.size.link_rate,
            query_interval: self.size.query_interval,
            ..Options::default()
        };
        Member::start(options, vec![self.upstream(index)])
    }

    fn upstream(&self, index: usize) -> Upstream {
        let client = Client::new(2);
        if self.topology == Topology::Chain && index > 0 {
            return Upstream::Predecessor(Predecessor {
                client,
                address: self.members[index - 1].address(),
                secret: secret(),
            });
        }
        let base = format!("http://{}", self.server.address());
        let origin = source::Http::new(client, &base).with_idle_timeout(self.size.stall_timeout);
        Upstream::Origin(origin)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// Draws `bytes` bytes of weights from a seed.
pub fn weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut weights = vec![0; bytes];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut weights);
    weights
}

fn name(index: usize) -> String {
    format!("instance-{index}")
}

fn roster_member(index: usize, address: SocketAddr) -> RosterMember {
    RosterMember {
        name: name(index),
        address,
        region: REGION.to_owned(),
    }
}
