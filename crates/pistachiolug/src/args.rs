//! Arguments of the command line.

#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Weight distribution and call routing for bursts.
    cmd pistachiolug {
        /// Runs an entry, which takes calls from callers.
        cmd entry {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }
        /// Runs an agent beside a backend server.
        cmd agent {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }
    }
}
