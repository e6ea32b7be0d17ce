//! Datagrams between instances. Each is one UDP packet in `postcard` format and replaces the sender's previous one.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::position::Position;

/// Time that a datagram may take without notice, in the queues of links that also carry weights. An age in a datagram is
/// taken to be larger by it.
pub const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// Work that one entry has at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Number of open requests.
    pub calls: u32,
    /// Prompt tokens of the open requests whose first event has not arrived.
    pub prompt: u32,
}

/// Load of one entry and the position of its replica of the rows in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Instance name of the sender.
    pub name: String,
    /// Internal address of the sender, at which its rows can be read.
    pub address: SocketAddr,
    /// Region of the sender.
    pub region: String,
    /// Whether the sender can reach the key-value service.
    pub in_touch: bool,
    /// Position of the rows of the sender.
    pub position: Position,
    /// Milliseconds for which the rows may lack later changes, by answers of the key-value service to the sender; `None`
    /// before the first one.
    pub rows_age_ms: Option<u32>,
    /// Work by the short hash of the id of the backend server; servers without work are left out.
    pub work: Vec<(u32, Work)>,
    /// Services at which requests were short of slots lately; others are left out.
    pub shortages: Vec<Shortage>,
    /// Pace in sixteenths by the short hash of the id of the backend server, 16 being the usual one; servers near it are left
    /// out.
    pub paces: Vec<(u32, u8)>,
}

/// Requests of one entry to one service that waited for a slot, or were refused for lack of one, within the last second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// Short hash of the service's name.
    pub service: u32,
    /// Priority of the most urgent of them; 0 is served first.
    pub priority: u8,
    /// Number of those with this priority.
    pub count: u16,
}

/// Notice of an agent about the model engine next to it, sent because the instance list of the platform lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Address at which the engine accepts requests.
    pub server: SocketAddr,
    /// Unix time of the start of the engine in milliseconds; 0 if the engine does not report it.
    pub started: u64,
    /// Name of the model whose weights change.
    pub model: String,
    /// What has changed.
    pub change: Change,
}

/// Change of the weights that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The engine is about to load weights and accepts no new requests until it is done.
    Loading {
        /// Maximum duration of the load, in milliseconds.
        for_ms: u32,
    },
    /// The engine holds a version and accepts requests.
    Holds {
        /// Version of the weights.
        version: u64,
    },
}

/// Servers that crashed while they ran requests with one content, as one entry knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Bytes of the content's digest.
    pub content: [u8; 32],
    /// Incarnations of the servers that crashed.
    pub crashes: Vec<u64>,
    /// Incarnations whose crash had another cause, because the content was answered successfully afterwards.
    pub cleared: Vec<u64>,
    /// Number of times that the content ran again although it was refused.
    pub reruns: u8,
    /// Milliseconds since the content last crashed a server or was refused.
    pub age_ms: u32,
}

/// Crash of a backend server and the parts of the prompts that it was running, as one entry knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Milliseconds since the server last sent something.
    pub heard_age_ms: u32,
    /// Milliseconds since the crash was noticed.
    pub lost_age_ms: u32,
    /// Shared parts of the prompts; not necessarily all of them.
    pub parts: Vec<CrashPart>,
}

/// Part of a prompt in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashPart {
    /// Hash of the part.
    pub part: u64,
    /// Largest position in the prompts.
    pub position: u8,
    /// Whether a prompt with the part was answered shortly before the crash.
    pub is_answered: bool,
    /// Whether a prompt with the part was answered after the crash, so that another part caused it.
    pub is_cleared: bool,
}

/// Part of a prompt that is named as the cause of crashes, or was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Culprit {
    /// Hash of the part.
    pub part: u64,
    /// Some of the crashes that name the part, without other parts.
    pub crashes: Vec<Crash>,
    /// Number of times that a request with the part ran although the part was refused.
    pub reruns: u8,
    /// Milliseconds since the last of these runs; `None` if there was none.
    pub rerun_age_ms: Option<u32>,
    /// Milliseconds since the last request with the part.
    pub age_ms: u32,
}

/// Target version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the model.
    pub model: String,
    /// Version that the model's servers should hold.
    pub version: u64,
    /// Milliseconds within which the target was set, at most; `None` if it may have been set at any time.
    pub max_age_ms: Option<u32>,
}

/// Limit that a backend server has stated, as one entry knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Thousandths of a request per second that the server takes from all entries; `None` if it limits them no longer.
    pub millis_per_second: Option<u64>,
    /// Milliseconds within which the server stated it, at most.
    pub max_age_ms: u32,
    /// Milliseconds before which the server stated it, at least.
    pub min_age_ms: u32,
}

/// Requests that an entry could send to a server with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Number of requests.
    pub count: u32,
    /// Priority of the most urgent one; 0 is served first.
    pub priority: u8,
}

/// Requests that an entry may send to a server with a limit, given by the server's coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Number of requests.
    pub count: u32,
    /// Milliseconds until the entry may get the next grant.
    pub wait_ms: u32,
}

/// Datagram to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Sent by another entry.
    Beacon(Beacon),
    /// Sent by an agent.
    Notice(Notice),
    /// Sent by another entry: contents that may crash servers. Unlike a beacon, it adds to what was sent before.
    Suspects(Vec<Suspect>),
    /// Sent by another entry: crashes and the parts of prompts in them. It adds to what was sent before.
    Crashes(Vec<Crash>),
    /// Sent by another entry: parts of prompts that are refused. It adds to what was sent before.
    Culprits(Vec<Culprit>),
    /// Sent by another entry or an agent: target versions that are not long due. It adds to what was sent before.
    Targets(Vec<Target>),
    /// Sent by another entry: limits that servers state, and those that have ended lately.
    Limits(Vec<Limit>),
    /// Sent by another entry to the coordinator of the servers; replaces its earlier demands for them.
    Demands {
        /// Internal address of the sender.
        from: SocketAddr,
        /// Demands for servers with limits.
        demands: Vec<Demand>,
    },
    /// Sent by the coordinator of the servers. It adds to what was sent before.
    Grants(Vec<Grant>),
}

/// Datagram to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentDatagram {
    /// Sent by an entry or another agent: a new version of a model exists.
    Named {
        /// Name of the model.
        model: String,
        /// Newest version.
        version: u64,
        /// Milliseconds within which the version was set, at most; `None` if it may have been set at any time.
        max_age_ms: Option<u32>,
    },
    /// Sent by another agent: asks which pieces of a version are staged here.
    Ask {
        /// Internal address of the asking agent.
        from: SocketAddr,
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: u64,
        /// Milliseconds within which the version was set, at most; `None` if it may have been set at any time.
        max_age_ms: Option<u32>,
    },
    /// Sent by another agent: says which pieces of a version it has staged.
    Have {
        /// Internal address of the agent that has the pieces.
        from: SocketAddr,
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: u64,
        /// Number of pieces of the version.
        pieces: u32,
        /// Bit set of the staged pieces; piece 0 is the lowest bit of the first word.
        held: Vec<u64>,
        /// Bit set of the pieces that the agent is reading from the origin.
        reading: Vec<u64>,
        /// Whether the engine already serves the version.
        serving: bool,
    },
}

/// Encodes a datagram.
///
/// # Errors
/// Returns the error of the codec.
pub fn encode(datagram: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(datagram)
}

/// Decodes a datagram that [`encode`] encoded.
///
/// # Errors
/// Returns the error of the codec if the bytes are not a valid datagram of the type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
