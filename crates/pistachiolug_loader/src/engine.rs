//! Interfaces of the model engine next to the agent and of the origin of weights.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use snafu::Snafu;

use crate::manifest::Manifest;

/// Failure of a call to an engine or origin.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No usable answer was received.
    #[snafu(display("{reason}"))]
    Failed {
        /// Cause.
        reason: String,
    },
    /// The origin no longer has the version.
    #[snafu(display("version is no longer available"))]
    Gone,
}

/// Current status of an engine, as reported by itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Names and versions of the loaded models.
    pub models: Vec<(String, u64)>,
    /// Whether only some layers of the models are loaded, so that the engine serves nothing.
    pub is_partial: bool,
    /// Whether the engine is executing a load order.
    pub busy: bool,
    /// Number of load orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Unix time of the engine's start in milliseconds; 0 if the engine does not report it.
    pub started_ms: u64,
}

impl Report {
    /// Returns the loaded version of a model; `None` if the model is not loaded with all layers.
    pub fn loaded_version(&self, model: &str) -> Option<u64> {
        self.held_version(model).filter(|_| !self.is_partial)
    }

    /// Returns the version of a model of which some layers are loaded, but not all.
    pub fn partial_version(&self, model: &str) -> Option<u64> {
        self.held_version(model).filter(|_| self.is_partial)
    }

    /// Returns the version of a model of which any layers are loaded.
    pub fn held_version(&self, model: &str) -> Option<u64> {
        let held = self.models.iter().find(|(name, _)| name == model);
        held.map(|(_, version)| *version)
    }
}

/// Layers that an engine is to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layers {
    /// All layers, or those that are missing.
    All,
    /// All but the first of `count` layers; the engine serves nothing with them.
    AllButFirst {
        /// Number of layers of the model; at least 2.
        count: usize,
    },
}

/// Engine's response to a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResponse {
    /// The engine has begun to carry out the order.
    Accepted,
    /// What the order asks for is in effect already; it does not count as accepted.
    InEffect,
    /// The order does not match the engine's state; the caller has to read the report again.
    Conflict,
    /// The engine will not carry out the order.
    Rejected,
}

/// Model engine on the agent's own machine.
pub trait Engine: Clone + 'static {
    /// Returns the requests per second that the engine takes from all instances together, by its latest answers; `None` if
    /// it does not limit them.
    fn limit(&self) -> Option<f64> {
        None
    }

    /// Returns the time that calls have waited so that the engine's limit is kept, summed over all calls so far.
    fn paced_time(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns how long a number of calls takes at least so that the engine's limit is kept.
    fn paced_duration(&self, _calls: usize) -> Duration {
        Duration::ZERO
    }

    /// Returns the engine for one verification: its calls may be made sooner than others within the limit, and no answer to a
    /// call before it can be taken for one of the verification.
    #[must_use]
    fn for_verification(&self) -> Self {
        self.clone()
    }

    /// Reads the engine's status.
    fn report(&self) -> impl Future<Output = Result<Report, Error>>;

    /// Stages one piece; the engine keeps one staged copy per model.
    fn stage(
        &self,
        model: &str,
        index: usize,
        bytes: Bytes,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Reads a staged piece; `None` if the piece is not staged.
    fn read_staged(
        &self,
        model: &str,
        index: usize,
    ) -> impl Future<Output = Result<Option<Bytes>, Error>>;

    /// Orders the engine to load the staged pieces of some layers immediately, which aborts its running requests. An engine
    /// that holds these layers of the version does nothing; it keeps layers of the version that it holds already.
    ///
    /// # Arguments
    /// `accepted_orders` is the number of orders that the engine must have accepted so far; otherwise it reports a
    /// conflict.
    ///
    /// # Errors
    /// [`Error`] without an answer; the engine may still accept the order.
    fn load(
        &self,
        model: &str,
        version: u64,
        layers: Layers,
        accepted_orders: u64,
    ) -> impl Future<Output = Result<LoadResponse, Error>>;

    /// Orders the engine to give up its weights immediately, so that it rejects requests until it has loaded others.
    ///
    /// # Arguments
    /// As for [`Engine::load`]; `version` is the one that the engine holds.
    ///
    /// # Errors
    /// As for [`Engine::load`].
    fn unload(
        &self,
        model: &str,
        version: u64,
        accepted_orders: u64,
    ) -> impl Future<Output = Result<LoadResponse, Error>>;
}

/// Origin of weights. Its traffic is charged by the byte, and it may return corrupt data.
pub trait Origin: Clone + 'static {
    /// Reads the digests of a version's pieces.
    fn read_manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<Manifest, Error>>;

    /// Reads one piece of a version.
    fn read_piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;
}
