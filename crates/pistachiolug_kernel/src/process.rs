//! Errors with which a daemon ends.

use std::{io, net::SocketAddr};

use snafu::Snafu;

use crate::{kernel, metric};

/// Reason why a daemon could not start or did not end well.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A server could not listen on its address.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// Listening address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A metric could not be registered.
    #[snafu(display("could not register a metric: {source}"))]
    Metric {
        /// Error of the registration.
        source: metric::Error,
    },
    /// The process ran and ended after a failure.
    #[snafu(display("{source}"))]
    Kernel {
        /// Failure that ended the process.
        source: kernel::Error,
    },
}
