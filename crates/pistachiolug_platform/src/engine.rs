//! Model engine that an agent runs calls on.

pub mod http;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use pistachiolug_wire::{call, digest::Digest};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Request to start a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Id of the call, by which the generation can be cancelled.
    pub id: call::Id,
    /// Path in the engine's API, such as `/v1/chat/completions`.
    pub path: String,
    /// JSON body that the caller sent.
    pub body: Bytes,
    /// Only version of the model that may answer.
    pub version: String,
    /// Priority; larger values run earlier.
    pub priority: u8,
    /// Number of tokens that the caller already has; the generation resumes after them.
    pub reached: u32,
    /// Text of these tokens.
    pub prefix: String,
}

/// Part of a generated answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// Consecutive tokens.
    Tokens {
        /// Index of the first of these tokens in the whole answer.
        at: u32,
        /// Texts of the tokens, in order.
        texts: Vec<String>,
        /// Version that the engine reports with these tokens; empty if it has reported none.
        version: String,
    },
    /// The answer is complete.
    Done {
        /// Finish reason of the OpenAI API, such as `stop` or `length`.
        reason: String,
        /// Number of tokens of the prompt; 0 if the engine does not report it.
        prompt_tokens: u32,
        /// Number of tokens of the whole answer, including those before a resume.
        tokens: u32,
    },
}

/// Stream of a running generation; dropping it cancels the generation.
pub trait Generation: Send + 'static {
    /// Waits for the next part; [`Chunk::Done`] is the last one.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection to the engine ends or is silent for too long before [`Chunk::Done`].
    fn next(&mut self) -> impl Future<Output = Result<Chunk, Error>> + Send;
}

/// Role that an engine plays in disaggregated serving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Processes prompts and generates tokens.
    #[default]
    Both,
    /// Only processes prompts.
    Prefill,
    /// Only generates tokens.
    Decode,
}

/// Model version that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the whole weights.
    pub digest: Digest,
}

/// Status of an engine, as it reports. The numbers of generations lag behind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Random number that the engine draws at each start; a change means that it has lost its weights.
    pub incarnation: u64,
    /// Versions that can run generations.
    pub loaded: Vec<Loaded>,
    /// Role in disaggregated serving.
    pub role: Role,
    /// Highest fencing token seen; 0 for an engine that ignores fencing tokens.
    pub fence: u64,
    /// Number of running generations.
    pub running: u32,
    /// Number of waiting generations.
    pub queued: u32,
}

/// Order to load or unload a version; a load follows after the weights were staged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the agent's incarnation; it never decreases.
    pub fence: u64,
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the whole weights; the engine refuses weights with another digest.
    pub digest: Digest,
    /// Length of the whole weights in bytes.
    pub length: u64,
}

/// Change in an engine's prefix cache. Engines publish these events late, and some are lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// Digest of the cached prompt prefix.
    pub prefix: Digest,
    /// Whether the prefix was added; otherwise it was evicted.
    pub added: bool,
}

/// Failure of a call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The engine could not be reached, so the call did not run.
    #[snafu(display("engine unreachable: {reason}"))]
    Unreachable {
        /// Description of the cause.
        reason: String,
    },
    /// The engine refused the call, which did not run.
    #[snafu(display("engine refused with status {status}: {reason}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Cause that the engine gave; empty if it gave none.
        reason: String,
    },
    /// The connection ended, or no answer arrived in time, after the call was sent. It may have run.
    #[snafu(display("engine connection broke: {reason}"))]
    Broken {
        /// Description of the cause.
        reason: String,
    },
    /// The engine has already seen a higher fencing token than that of the order.
    #[snafu(display("fencing number is older than {current}"))]
    Fenced {
        /// Highest fencing token that the engine has seen.
        current: u64,
    },
    /// The engine's answer does not follow the protocol.
    #[snafu(display("malformed engine answer: {reason}"))]
    Malformed {
        /// Description of the violation.
        reason: String,
    },
}

/// Interface of a model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Stream of a running generation.
    type Generation: Generation;

    /// Starts a generation.
    ///
    /// # Errors
    /// [`Error::Refused`], for example if the engine does not serve the version, or any error of the connection.
    fn generate(
        &self,
        call: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Generation, Error>> + Send;

    /// Cancels a generation; an unknown id is ignored.
    fn cancel(&self, id: call::Id) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the engine's status.
    fn state(&self) -> impl Future<Output = Result<State, Error>> + Send;

    /// Sends the bytes of a version from `offset` on, before [`Engine::load`].
    fn stage(
        &self,
        order: &Order,
        offset: u64,
        bytes: Bytes,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to load a staged version. If it fails, the engine does not serve any part of the version.
    ///
    /// # Errors
    /// [`Error::Fenced`], or [`Error::Refused`] with status 409 if staged bytes are missing or don't match the digest.
    fn load(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to unload a version.
    fn unload(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to change its role.
    fn set_role(&self, fence: u64, role: Role) -> impl Future<Output = Result<(), Error>> + Send;

    /// Exports the KV cache of a running generation.
    fn export_cache(&self, id: call::Id) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Imports a KV cache, so that this engine can resume the generation `id`.
    fn import_cache(
        &self,
        id: call::Id,
        cache: Bytes,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits at most for `wait` until there are cache events after `sequence`; empty if there are none.
    fn cache_events(
        &self,
        sequence: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;
}
