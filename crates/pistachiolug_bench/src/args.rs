//! Command line arguments of the load tool.

#![allow(missing_docs, unreachable_pub)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Load tool and stand-ins of pistachiolug.
    cmd bench {
        /// Runs one stand-in: kv, directory, origin, engine, plain or relay.
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
            /// Generations that an engine runs at once.
            optional --slots slots: u32
            /// Address that a relay forwards to.
            optional --target target: SocketAddr
            /// Address on which a relay takes orders.
            optional --control control: SocketAddr
        }
        /// Runs experiments, writes their results, and exits 1 if an invariant was violated.
        cmd run {
            /// Files of the experiments, JSON with comments.
            repeated file: PathBuf
            /// Folder of the results; `out` unless named.
            optional --out out: PathBuf
        }
        /// Runs random faults under load, writes the results, and exits 1 if an invariant was violated.
        cmd chaos {
            /// Seed of the faults and of the load.
            required --seed seed: u64
            /// Length in minutes; 1 unless set.
            optional --minutes minutes: f64
            /// Folder of the results; `out` unless named.
            optional --out out: PathBuf
        }
        /// Measures what control costs each process without calls, and prints a row for each role.
        cmd capacity {
            /// Number of agents.
            required --agents agents: usize
            /// Number of entries.
            required --entries entries: usize
            /// Rows of the customers list.
            optional --customers customers: usize
            /// List changes a second.
            optional --changes changes: f64
            /// Length of the measurement in seconds; 20 unless set.
            optional --seconds seconds: u64
        }
        /// Starts a whole deployment on loopback, spreads a model, makes calls and prints what held.
        cmd demo {
            /// Leaves the deployment running and prints requests to try.
            optional --stay
        }
        /// Prints the figures of a second result against a first as ratios.
        cmd compare {
            /// First result, the base of the ratios.
            required first: PathBuf
            /// Second result.
            required second: PathBuf
        }
        /// Compares rate controllers of transfers on one link with bursts of calls, in a deterministic model.
        cmd shaping {}
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
