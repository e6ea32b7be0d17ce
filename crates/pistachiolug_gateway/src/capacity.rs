//! What an entry may hold for its callers, derived from the memory and the descriptors of its process.

/// Descriptors that are left for files, logs, the store and other fixed uses.
const RESERVED_DESCRIPTORS: usize = 200;

/// Memory in bytes that a connection may take beside the shared budget: its read buffer, a small body and what it has
/// received and the process has not read.
const CONNECTION_BYTES: usize = 48 << 10;

/// Bounds in bytes of the kernel's buffer for what a connection has received. The smallest still carries the largest
/// body of the pages in a fraction of its time limit; the largest is the usual size without adjustment by the kernel.
const RECEIVE_BYTES: (usize, usize) = (16 << 10, 64 << 10);

/// Smallest number of connections of each port.
const MIN_CONNECTIONS: usize = 4;

/// Memory in bytes and descriptors of a process whose settings name none: those of the smallest entry of the older
/// deployments, and the usual limit of descriptors.
const DEFAULT: (usize, usize) = (160 << 20, 8192);

/// What an entry may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Memory in bytes for bodies of requests and answers and for unfinished events, beyond the first
    /// [`SMALL_BYTES`](pistachiolug_http::memory::SMALL_BYTES) of each.
    pub held_bytes: usize,
    /// Part of `held_bytes` that bodies of requests leave to answers: what a server has answered must not be lost for
    /// what no server has yet.
    pub answer_bytes: usize,
    /// Connections of callers.
    pub front_connections: usize,
    /// Connections of the system's other processes.
    pub internal_connections: usize,
    /// Connections of the load balancer's health checks.
    pub ready_connections: usize,
    /// Size in bytes of the kernel's buffer for what a connection has received and the process has not read.
    pub receive_bytes: usize,
}

impl Capacity {
    /// Returns the capacity of a process with this much memory in bytes and this many descriptors.
    ///
    /// Three eighths of the memory are for bodies, a third for connections; the rest is the process itself. Callers get
    /// two fifths of the descriptors, since each open request takes another one to its server.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let held_bytes = memory_bytes / 8 * 3;
        let usable = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(descriptors / 4);
        let by_memory = memory_bytes / 3 / CONNECTION_BYTES;
        let front = (usable * 2 / 5).min(by_memory).max(MIN_CONNECTIONS);
        let receive_bytes = memory_bytes / 8 / front;
        Self {
            held_bytes,
            answer_bytes: held_bytes / 4,
            front_connections: front,
            internal_connections: (usable / 8).max(MIN_CONNECTIONS),
            ready_connections: (usable / 16).max(MIN_CONNECTIONS),
            receive_bytes: receive_bytes.clamp(RECEIVE_BYTES.0, RECEIVE_BYTES.1),
        }
    }

    /// Returns the capacity for settings that may not name the memory in bytes or the number of descriptors.
    pub fn from_settings(memory_bytes: Option<usize>, descriptors: Option<usize>) -> Self {
        let (memory, fds) = DEFAULT;
        Self::new(memory_bytes.unwrap_or(memory), descriptors.unwrap_or(fds))
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self::from_settings(None, None)
    }
}
