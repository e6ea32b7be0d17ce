//! Arguments of the load tool.

#![allow(missing_docs, unreachable_pub)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Load tool and stand-ins of pistachiolug.
    cmd bench {
        /// Runs one stand-in: kv, directory, origin, engine or plain.
        cmd standin {
            /// Role.
            required role: String
            /// Address to listen on.
            required --listen listen: SocketAddr
            /// Bytes a second of an origin's link.
            optional --rate rate: u64
            /// Lag of the instance list in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Time to an engine's first token, or of a plain call, in milliseconds.
            optional --first-ms first_ms: u64
            /// Time between an engine's tokens in milliseconds.
            optional --gap-ms gap_ms: u64
            /// Makes an engine refuse old fencing numbers.
            optional --checks-fence
        }

        /// Measures the spread of a version to N members on loopback with shaped links.
        cmd spread {
            /// How members get their chunks: time-first, bytes-first, origin or chain.
            optional --policy policy: String
            /// Numbers of members, separated by commas.
            optional --n n: String
            /// Bytes of the version.
            optional --bytes bytes: usize
            /// Bytes of a chunk.
            optional --chunk-bytes chunk_bytes: usize
            /// Bytes a second of the origin's link.
            optional --origin-rate origin_rate: u64
            /// Bytes a second of each member's link.
            optional --link-rate link_rate: u64
            /// Members in a hundred to kill half way.
            optional --kill-percent kill_percent: usize
            /// Seed of the version's bytes.
            optional --seed seed: u64
        }
    }
}
