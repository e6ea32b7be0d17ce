//! Why a daemon could not run.

use std::{io, net::SocketAddr};

use snafu::Snafu;

use crate::{kernel, metric};

/// Reports why a daemon could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A metric could not be made.
    #[snafu(display("metrics: {source}"))]
    Metric {
        /// Cause.
        source: metric::Error,
    },
    /// The process failed.
    #[snafu(display("{source}"))]
    Kernel {
        /// Cause.
        source: kernel::Error,
    },
}
