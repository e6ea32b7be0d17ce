//! Calls that an entry opens at an agent, and the events by which the agent answers.

use std::{fmt, net::SocketAddr, str::FromStr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, fault::Fault, load::Load};

/// Random id of a call, chosen by the entry; written as 32 hex digits.
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

/// Work that a call requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Generation by a model engine.
    Model(Generation),
    /// Request to a plain service.
    Plain(Plain),
}

/// Request for a generation by a model engine, in the form in which it is sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Name of the model in the lists.
    pub model: String,
    /// Version that has to answer. If empty, the agent takes the one in its lists, or another until that one is loaded.
    pub version: String,
    /// Path of the API of the engine, such as `/v1/chat/completions`.
    pub path: String,
    /// JSON body of the caller.
    pub body: Bytes,
    /// Number of tokens that the caller already has; the answer starts after them.
    pub reached: u32,
    /// Text of those tokens, for engines that resume from text.
    pub prefix: String,
    /// Estimated cost in tokens: prompt plus longest answer.
    pub estimate: u32,
    /// Internal address of the leaving agent that keeps the engine cache of those tokens; `None` if there is none.
    pub cache: Option<SocketAddr>,
}

impl Work {
    /// Computes the digest of what the backend server receives, without the parts that differ between two sends.
    ///
    /// Entry and agent identify crash suspects and compare requests with the same idempotency key by it.
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
    /// Path below the root of the service, with the query.
    pub path: String,
    /// Content type of `body`; empty if the caller states none.
    pub content_type: String,
    /// Body of the caller.
    pub body: Bytes,
    /// Idempotency key; calls with the same customer, service and key run at most once. `None` without one.
    pub key: Option<String>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// Request to open or join a call at an agent; posted to `/internal/call`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Id of the call; stays the same when the entry sends the call again.
    pub id: Id,
    /// Service of the call, which must be the one of the agent.
    pub service: String,
    /// Name of the customer.
    pub customer: String,
    /// Name of the plan of the customer.
    pub plan: String,
    /// Revision of the lists by which the entry admitted the call.
    pub lists_revision: u64,
    /// Time left until the deadline of the caller, in milliseconds.
    pub deadline_ms: u32,
    /// Digest of the content ([`Work::content_digest`]), which identifies crash suspects.
    pub content: Digest,
    /// Requested work.
    pub work: Work,
    /// Whether to join a queued, started or finished call without ever opening a new one.
    pub join: bool,
    /// Number of backend servers known to the entry that crashed while they ran this content.
    pub crashes: u8,
    /// Internal address of the entry, to which a leaving agent sends its notice; `None` for no notice.
    pub entry: Option<SocketAddr>,
}

/// Message in the answer of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Id of the call; the entry closes the connection if it is not the one of its call.
    pub call: Id,
    /// Content of the event.
    pub body: Body,
}

/// Content of an [`Event`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The call waits or runs; sent at intervals so that the entry notices a lost connection.
    Heartbeat(Load),
    /// The call has started at the backend server.
    Started {
        /// Model version that answers; empty for plain services.
        version: String,
    },
    /// Next tokens of a generated answer.
    Tokens(Tokens),
    /// Complete answer of a plain service.
    Response(Response),
    /// A generated answer is complete.
    Finished(Finish),
    /// The call ends without an answer.
    ///
    /// After tokens of a generated answer, [`Code::Leaving`](crate::fault::Code::Leaving) with outcome `not-run` means
    /// that this agent will not generate the rest. The entry resumes the call at another agent with the same version,
    /// after the last token that it has.
    ///
    /// [`Code::CrashSuspect`](crate::fault::Code::CrashSuspect) with outcome `unknown` means that the backend server
    /// crashed while it ran the call. An idempotent call may then be opened once more, with [`Open::crashes`] raised.
    Failed(Fault),
    /// An earlier call with the same idempotency key runs or ran at another instance; the entry may join it there.
    Elsewhere(Elsewhere),
}

/// Instance and id of an earlier call with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// Instance name of the agent that has the earlier call.
    pub instance: String,
    /// Id of the earlier call, to be opened with [`Open::join`].
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
    /// Number of tokens of the answer, including those of earlier agents.
    pub tokens: u32,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Reason of the end, as in OpenAI's API: `stop` or `length`.
    pub reason: String,
    /// Load of the agent after the call.
    pub load: Load,
}

/// Complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Content type of `body`.
    pub content_type: String,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether this is the stored answer of an earlier run with the same idempotency key.
    pub replayed: bool,
}
