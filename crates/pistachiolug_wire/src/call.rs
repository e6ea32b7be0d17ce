//! Calls as an entry opens them at an agent, and the events that answer them.

use std::{fmt, net::SocketAddr, str::FromStr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, fault::Fault, load::Load};

/// Identifies one call at every hop; drawn at random by the entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Generation by a model engine.
    Model(Generation),
    /// Request to a plain service.
    Plain(Plain),
}

/// Generation by a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Model's name in the plans list.
    pub model: String,
    /// Only version that may answer; empty lets the agent choose the newest version in force that it serves.
    pub version: String,
    /// Path of the engine's API, such as `/v1/chat/completions`.
    pub path: String,
    /// Caller's JSON body.
    pub body: Bytes,
    /// Number of tokens the caller already has; the answer starts after them.
    pub reached: u32,
    /// Text of those tokens, for engines that resume from text.
    pub prefix: String,
    /// Estimated cost in tokens: prompt plus longest answer.
    pub estimate: u32,
    /// Internal address of the leaving agent that keeps the engine's cache of the tokens reached, if there is one.
    pub cache: Option<SocketAddr>,
}

impl Work {
    /// Digests what the backend server sees, without names that differ from one send to the next.
    ///
    /// Entry and agent name crash suspects and compare reused idempotency keys by it.
    pub fn content_digest(&self, service: &str) -> Digest {
        let parts: [&[u8]; 5] = match self {
            Self::Model(generation) => [
                service.as_bytes(),
                b"POST",
                generation.path.as_bytes(),
                b"",
                &generation.body,
            ],
            Self::Plain(plain) => [
                service.as_bytes(),
                plain.method.as_bytes(),
                plain.path.as_bytes(),
                plain.content_type.as_bytes(),
                &plain.body,
            ],
        };
        Digest::of_parts(&parts)
    }
}

/// Request to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plain {
    /// HTTP method.
    pub method: String,
    /// Path below the service's root, with the query.
    pub path: String,
    /// Content type of `body`.
    pub content_type: String,
    /// Caller's body.
    pub body: Bytes,
    /// Idempotency key; calls with the same customer, service and key run at most once.
    pub key: Option<String>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// Opens a call at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Call's identity; the same for a resend by the entry.
    pub id: Id,
    /// Service the agent must guard.
    pub service: String,
    /// Customer's name.
    pub customer: String,
    /// Customer's plan.
    pub plan: String,
    /// Revision of the lists the entry decided by.
    pub lists_revision: u64,
    /// Time left to the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Digest of the request's content, which names crash suspects.
    pub content: Digest,
    /// The work.
    pub work: Work,
    /// Joins a queued, started or finished call; never opens a new one.
    pub join: bool,
    /// Backend servers that died while they ran this content, as far as the entry knows.
    pub crashes: u8,
    /// Internal address of the entry, where a leaving agent sends its notice.
    pub entry: Option<SocketAddr>,
}

/// One message of the agent's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Call that the event belongs to; the entry drops the connection on a mismatch.
    pub call: Id,
    /// Content.
    pub body: Body,
}

/// Content of an [`Event`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The call waits or runs and the connection is alive.
    Heartbeat(Load),
    /// The call has started at the backend server, on the named version.
    Started {
        /// Version that answers; empty for plain services.
        version: String,
    },
    /// A piece of the generated answer.
    Tokens(Tokens),
    /// Whole answer of a plain service.
    Response(Response),
    /// The answer is complete.
    Finished(Finish),
    /// The call ends without an answer.
    ///
    /// After tokens of a model's answer, [`Code::Leaving`](crate::fault::Code::Leaving) with outcome `not-run` means that
    /// the rest will not be generated here: the entry resumes it elsewhere, on the same version, at the token it has
    /// reached. [`Code::CrashSuspect`](crate::fault::Code::CrashSuspect) with outcome `unknown` means that the backend
    /// server died while it ran the call: an idempotent call may be opened once more, with [`Open::crashes`] raised.
    Failed(Fault),
    /// An earlier call with the same idempotency key runs at another instance; the entry may join it there.
    Elsewhere(Elsewhere),
}

/// Where an earlier call with the same idempotency key runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// Name of the agent's instance.
    pub instance: String,
    /// Identity of the earlier call, to be opened with [`Open::join`].
    pub call: Id,
}

/// Consecutive generated tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// Index of the first token, from 0 at the start of the answer.
    pub at: u32,
    /// Texts of the tokens, in order.
    pub texts: Vec<String>,
}

/// End of a generated answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Number of tokens in the whole answer.
    pub tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Reason in OpenAI's terms: `stop` or `length`.
    pub reason: String,
    /// Load after the call.
    pub load: Load,
}

/// Whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of `body`.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Whether this is the kept answer of an earlier run with the same idempotency key.
    pub replayed: bool,
}
