//! Exchange of chunks with other members over HTTP.

mod fetch;
mod poll;
mod pull;
mod serve;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_http::{client::Client, pace::Bucket, secret::Secret};
use pistachiolug_wire::digest::Digest;
use snafu::Snafu;
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time::Instant,
};

use crate::{manifest::Manifest, planner::policy::Tuning, roster::Roster, staging::Buffer};

/// Settings of one member.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the member.
    pub instance: String,
    /// Region of the member.
    pub region: String,
    /// Region nearest to the origin; empty means that each region reads the origin.
    pub home_region: String,
    /// Bounds of each transfer.
    pub tuning: Tuning,
    /// Staging budget in bytes.
    pub staging_bytes: u64,
    /// Rate of the link up in bytes a second; 0 means no limit.
    pub upload_bytes_per_second: u64,
    /// Rate of the link down in bytes a second; 0 means no limit.
    pub download_bytes_per_second: u64,
    /// Copies of a version that may be uploaded.
    pub upload_copies: f64,
    /// Uploads at once.
    pub upload_slots: usize,
    /// Shortest interval between two questions to a neighbour.
    pub query_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instance: String::new(),
            region: String::new(),
            home_region: String::new(),
            tuning: Tuning::default(),
            staging_bytes: 8 << 30,
            upload_bytes_per_second: 0,
            download_bytes_per_second: 0,
            upload_copies: 2.0,
            upload_slots: 8,
            query_interval: Duration::from_millis(500),
        }
    }
}

/// Reports a pull that cannot succeed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The version does not fit into the staging budget.
    #[snafu(display(
        "version of {length} bytes is larger than the staging budget of {budget} bytes"
    ))]
    TooLarge {
        /// Length of the version in bytes.
        length: u64,
        /// Budget in bytes.
        budget: u64,
    },
    /// Nobody takes the pieces any more.
    #[snafu(display("receiver of the pieces is gone"))]
    Closed,
}

/// Version to pull.
#[derive(Debug, Clone)]
pub struct Target {
    /// Digest of the manifest.
    pub id: Digest,
    /// Manifest.
    pub manifest: Arc<Manifest>,
    /// Members that need the version.
    pub roster: watch::Receiver<Arc<Roster>>,
}

/// Verified piece that is handed on at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Digest of the chunk.
    pub digest: Digest,
    /// Content.
    pub bytes: Bytes,
}

/// Progress of one transfer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Pieces held.
    pub held: usize,
    /// Pieces of the version.
    pub total: usize,
    /// Bytes from the origin and the store.
    pub source_bytes: u64,
    /// Bytes from other members.
    pub member_bytes: u64,
    /// Pieces reused from other versions.
    pub reused: usize,
    /// Chunks refused for their digest.
    pub corrupt: u64,
    /// Reads that a source refused for its rate.
    pub throttled: u64,
}

/// Member of all its spreads; clones share one state.
#[derive(Debug)]
pub struct Swarm<S> {
    shared: Arc<Shared<S>>,
}

impl<S> Clone for Swarm<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
struct Shared<S> {
    options: Options,
    client: Client,
    secret: Secret,
    /// Origin and store.
    sources: Vec<S>,
    start: Instant,
    buffer: Mutex<Buffer>,
    /// Moves with each arrival, so that waiting neighbours are answered.
    news: watch::Sender<u64>,
    upload_bucket: Bucket,
    download_bucket: Bucket,
    uploads: Arc<Semaphore>,
    /// Transfers under way.
    active: AtomicUsize,
    progress: Mutex<BTreeMap<Digest, Progress>>,
}

impl<S> Swarm<S> {
    /// Creates a member that reads from `sources`.
    pub fn new(mut options: Options, client: Client, secret: Secret, sources: Vec<S>) -> Self {
        options.tuning.source_count = sources.len();
        let shared = Shared {
            client,
            secret,
            sources,
            start: Instant::now(),
            buffer: Mutex::new(Buffer::new(options.staging_bytes)),
            news: watch::Sender::new(0),
            upload_bucket: Bucket::new(options.upload_bytes_per_second),
            download_bucket: Bucket::new(options.download_bytes_per_second),
            uploads: Arc::new(Semaphore::new(options.upload_slots)),
            active: AtomicUsize::new(0),
            progress: Mutex::default(),
            options,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns a staged chunk.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.shared.buffer().chunk(digest)
    }

    /// Returns the progress of the transfer of a version; `None` before its first.
    pub fn progress(&self, id: &Digest) -> Option<Progress> {
        lock(&self.shared.progress).get(id).copied()
    }

    /// Says whether the engine serves a version, which tells others that it is around.
    pub fn set_serving(&self, id: &Digest, serving: bool) {
        self.shared.buffer().set_serving(id, serving);
    }

    /// Drops the staged pieces of a version for which `keep` does not hold.
    pub fn retain_pieces(&self, id: &Digest, keep: impl Fn(u32) -> bool) {
        self.shared.buffer().retain_pieces(id, keep);
    }

    /// Forgets a version.
    pub fn remove(&self, id: &Digest) {
        self.shared.buffer().remove(id);
        lock(&self.shared.progress).remove(id);
    }

    /// Returns the staged bytes and their budget.
    pub fn staging_usage(&self) -> (u64, u64) {
        let buffer = self.shared.buffer();
        (buffer.used(), buffer.budget())
    }

    /// Returns the pacing of the link up.
    pub fn upload_bucket(&self) -> &Bucket {
        &self.shared.upload_bucket
    }

    /// Returns the pacing of the link down.
    pub fn download_bucket(&self) -> &Bucket {
        &self.shared.download_bucket
    }

    /// Returns the settings.
    pub fn options(&self) -> &Options {
        &self.shared.options
    }
}

impl<S> Shared<S> {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        lock(&self.buffer)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn note(&self, id: &Digest, change: impl FnOnce(&mut Progress)) {
        change(lock(&self.progress).entry(*id).or_default());
    }
}

/// Counts a transfer under way and closes it at the end, also when it is cancelled.
struct Active<S> {
    shared: Arc<Shared<S>>,
    id: Digest,
}

impl<S> Active<S> {
    fn enter(shared: &Arc<Shared<S>>, id: Digest) -> Self {
        shared.active.fetch_add(1, Ordering::AcqRel);
        Self {
            shared: Arc::clone(shared),
            id,
        }
    }
}

impl<S> Drop for Active<S> {
    fn drop(&mut self) {
        self.shared.active.fetch_sub(1, Ordering::AcqRel);
        self.shared.buffer().close(&self.id);
    }
}

/// Where verified pieces go at once, if the engine takes them in parts.
pub type PartSender = mpsc::Sender<Part>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
