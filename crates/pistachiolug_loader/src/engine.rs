//! Model engine beside the agent, and the origin of weights.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use snafu::Snafu;

use crate::manifest::Manifest;

/// Reports a call to an engine or origin that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// There is no usable answer.
    #[snafu(display("{reason}"))]
    Failed {
        /// Cause.
        reason: String,
    },
    /// The version is not kept any more.
    #[snafu(display("version is gone"))]
    Gone,
}

/// What an engine says of itself now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Models that it holds, with their versions.
    pub models: Vec<(String, u64)>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Number of accepted_orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Unix time of its start in milliseconds; 0 if it does not say.
    pub started_ms: u64,
}

impl Report {
    /// Returns the version of a model that the engine holds.
    pub fn loaded_version(&self, model: &str) -> Option<u64> {
        let held = self.models.iter().find(|(name, _)| name == model);
        held.map(|(_, version)| *version)
    }
}

/// Engine's answer to a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResponse {
    /// It has begun or is already done.
    Accepted,
    /// It does not fit the engine's state; look again.
    Conflict,
}

/// Engine on the agent's own machine.
pub trait Engine: Clone + 'static {
    /// Reads what the engine says of itself.
    fn report(&self) -> impl Future<Output = Result<Report, Error>>;

    /// Stages one piece; the engine keeps one copy per model.
    fn stage(
        &self,
        model: &str,
        index: usize,
        bytes: Bytes,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Reads a staged piece; `None` if there is none.
    fn read_staged(
        &self,
        model: &str,
        index: usize,
    ) -> impl Future<Output = Result<Option<Bytes>, Error>>;

    /// Orders the engine to load what is staged at once; it breaks its running requests off.
    ///
    /// # Arguments
    /// `accepted_orders` is the number of accepted_orders that the engine must have accepted so far.
    fn load(
        &self,
        model: &str,
        version: u64,
        accepted_orders: u64,
    ) -> impl Future<Output = Result<LoadResponse, Error>>;
}

/// Origin of weights; every byte it sends is paid for, and it may send wrong ones.
pub trait Origin: Clone + 'static {
    /// Reads the digests of a version.
    fn read_manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<Manifest, Error>>;

    /// Reads one piece.
    fn read_piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;
}
