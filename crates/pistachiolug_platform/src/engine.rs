//! Model engine behind an agent.

pub mod http;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use pistachiolug_wire::{call, digest::Digest};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Starts one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Call's identity, used to cancel.
    pub id: call::Id,
    /// Path of the engine's API, such as `/v1/chat/completions`.
    pub path: String,
    /// Caller's JSON body.
    pub body: Bytes,
    /// Version that must answer.
    pub version: String,
    /// Priority; larger runs earlier.
    pub priority: u8,
    /// Number of tokens to skip because the caller has them.
    pub reached: u32,
    /// Text of the skipped tokens.
    pub prefix: String,
}

/// Part of a generated answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// Consecutive tokens.
    Tokens {
        /// Index of the first token in the whole answer.
        at: u32,
        /// Texts in order.
        texts: Vec<String>,
        /// Version that the engine says it runs.
        version: String,
    },
    /// The answer is complete.
    Done {
        /// Reason in OpenAI's terms.
        reason: String,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the whole answer.
        tokens: u32,
    },
}

/// Stream of a running generation; dropping it cancels the generation.
pub trait Generation: Send + 'static {
    /// Waits for the next part; after [`Chunk::Done`] there is none.
    ///
    /// # Errors
    /// [`Error::Broken`] when the engine's connection ends before [`Chunk::Done`].
    fn next(&mut self) -> impl Future<Output = Result<Chunk, Error>> + Send;
}

/// Role that an engine plays in disaggregated serving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs prompts and generation.
    #[default]
    Both,
    /// Runs prompts only.
    Prefill,
    /// Runs generation only.
    Decode,
}

/// One model version held by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loaded {
    /// Model's name.
    pub model: String,
    /// Version's name.
    pub version: String,
    /// Digest of the whole weights.
    pub digest: Digest,
}

/// What an engine says of itself; load figures lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Drawn at each start of the engine; a change means that it lost its weights.
    pub incarnation: u64,
    /// Versions that can answer.
    pub loaded: Vec<Loaded>,
    /// Role.
    pub role: Role,
    /// Highest fencing number seen; 0 for an engine that ignores them.
    pub fence: u64,
    /// Running generations.
    pub running: u32,
    /// Waiting generations.
    pub queued: u32,
}

/// Orders an engine to serve a version whose parts it was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the agent's incarnation; only grows.
    pub fence: u64,
    /// Model's name.
    pub model: String,
    /// Version's name.
    pub version: String,
    /// Digest of the whole weights; the engine refuses others.
    pub digest: Digest,
    /// Length of the whole weights in bytes.
    pub length: u64,
}

/// Change in an engine's prefix cache; published late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means lost events.
    pub sequence: u64,
    /// Digest of the cached prompt prefix.
    pub prefix: Digest,
    /// Whether the prefix was added; otherwise it was dropped.
    pub added: bool,
}

/// Reports an engine call that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The engine could not be reached; nothing ran.
    #[snafu(display("engine unreachable: {reason}"))]
    Unreachable {
        /// Cause.
        reason: String,
    },
    /// The engine refused; nothing ran.
    #[snafu(display("engine refused with status {status}: {reason}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Cause given by the engine.
        reason: String,
    },
    /// The connection ended after the call was sent; it may have run.
    #[snafu(display("engine connection broke: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
    /// The order carries an old fencing number.
    #[snafu(display("fencing number is older than {current}"))]
    Fenced {
        /// Number the engine has seen.
        current: u64,
    },
    /// The engine's answer breaks its protocol.
    #[snafu(display("malformed engine answer: {reason}"))]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

/// Model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Running generation.
    type Generation: Generation;

    /// Starts a generation.
    fn generate(
        &self,
        call: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Generation, Error>> + Send;

    /// Cancels a generation; unknown ids are ignored.
    fn cancel(&self, id: call::Id) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the engine's own account of itself.
    fn state(&self) -> impl Future<Output = Result<State, Error>> + Send;

    /// Hands over bytes of a version at `offset`, before [`Engine::load`].
    fn stage(
        &self,
        order: &Order,
        offset: u64,
        bytes: Bytes,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to serve a staged version; all or nothing.
    ///
    /// # Errors
    /// [`Error::Fenced`], and [`Error::Refused`] with 409 when staged bytes are missing or do not match the digest.
    fn load(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to drop a version.
    fn unload(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to change its role.
    fn set_role(&self, fence: u64, role: Role) -> impl Future<Output = Result<(), Error>> + Send;

    /// Exports the KV cache of a running generation.
    fn export_cache(&self, id: call::Id) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Imports a KV cache, so that the generation `id` can resume here.
    fn import_cache(
        &self,
        id: call::Id,
        cache: Bytes,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for cache events after `sequence`.
    fn cache_events(
        &self,
        sequence: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;
}
