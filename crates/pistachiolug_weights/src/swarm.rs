//! Transfer of chunks between members over HTTP.

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
    /// Name of the member's instance.
    pub instance: String,
    /// Region of the member.
    pub region: String,
    /// Region nearest to the origin; if empty, each region reads the origin.
    pub home_region: String,
    /// Limits of each transfer.
    pub tuning: Tuning,
    /// Staging budget in bytes.
    pub staging_bytes: u64,
    /// Upload rate of the link in bytes per second; 0 means no limit.
    pub upload_bytes_per_second: u64,
    /// Download rate of the link in bytes per second; 0 means no limit.
    pub download_bytes_per_second: u64,
    /// Number of copies of a version that may be uploaded per allowance window.
    pub upload_copies: f64,
    /// Maximum number of concurrent uploads.
    pub upload_slots: usize,
    /// Minimum interval between two queries to a neighbour.
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

/// Reason why a pull cannot succeed.
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
    /// The receiver of the parts was dropped.
    #[snafu(display("receiver of the parts was dropped"))]
    Closed,
}

/// Version to pull.
#[derive(Debug, Clone)]
pub struct Target {
    /// Digest of the manifest.
    pub id: Digest,
    /// Manifest of the version.
    pub manifest: Arc<Manifest>,
    /// Members that need the version; may change during the pull.
    pub roster: watch::Receiver<Arc<Roster>>,
}

/// Verified piece that is forwarded as soon as it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Digest of the chunk.
    pub digest: Digest,
    /// Content of the chunk.
    pub bytes: Bytes,
}

/// Progress of one transfer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of pieces held.
    pub held: usize,
    /// Number of pieces of the version.
    pub total: usize,
    /// Bytes received from the origin and the weight store.
    pub source_bytes: u64,
    /// Bytes received from other members.
    pub member_bytes: u64,
    /// Number of pieces reused from other versions.
    pub reused: usize,
    /// Number of chunks rejected because of a wrong digest.
    pub corrupt: u64,
    /// Number of reads that a source rejected because of its rate limit.
    pub throttled: u64,
}

/// Member that distributes versions together with the other members; clones share one state.
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
    /// Origin and weight store.
    sources: Vec<S>,
    start: Instant,
    buffer: Mutex<Buffer>,
    /// Incremented with each arrival, which wakes long-polling neighbours.
    arrivals: watch::Sender<u64>,
    upload_bucket: Bucket,
    download_bucket: Bucket,
    uploads: Arc<Semaphore>,
    /// Number of active transfers.
    active_transfers: AtomicUsize,
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
            arrivals: watch::Sender::new(0),
            upload_bucket: Bucket::new(options.upload_bytes_per_second),
            download_bucket: Bucket::new(options.download_bytes_per_second),
            uploads: Arc::new(Semaphore::new(options.upload_slots)),
            active_transfers: AtomicUsize::new(0),
            progress: Mutex::default(),
            options,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the content of a staged chunk; `None` if it is not staged.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.shared.buffer().chunk(digest)
    }

    /// Returns the progress of a version's transfer; `None` before its first one.
    pub fn progress(&self, id: &Digest) -> Option<Progress> {
        lock(&self.shared.progress).get(id).copied()
    }

    /// Records whether the engine serves a version. Other members then expect to find its pieces at members.
    pub fn set_serving(&self, id: &Digest, serving: bool) {
        self.shared.buffer().set_serving(id, serving);
    }

    /// Drops the staged pieces of a version for which `keep` returns false.
    pub fn retain_pieces(&self, id: &Digest, keep: impl Fn(u32) -> bool) {
        self.shared.buffer().retain_pieces(id, keep);
    }

    /// Drops a version with its staged pieces and its progress.
    pub fn remove(&self, id: &Digest) {
        self.shared.buffer().remove(id);
        lock(&self.shared.progress).remove(id);
    }

    /// Returns the size of the staged chunks and the staging budget, both in bytes.
    pub fn staging_usage(&self) -> (u64, u64) {
        let buffer = self.shared.buffer();
        (buffer.used(), buffer.budget())
    }

    /// Returns the token bucket that paces uploads.
    pub fn upload_bucket(&self) -> &Bucket {
        &self.shared.upload_bucket
    }

    /// Returns the token bucket that paces downloads.
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

    fn update_progress(&self, id: &Digest, change: impl FnOnce(&mut Progress)) {
        change(lock(&self.progress).entry(*id).or_default());
    }
}

/// Guard of an active transfer that ends the transfer when dropped, also after a cancellation.
struct ActiveTransfer<S> {
    shared: Arc<Shared<S>>,
    id: Digest,
}

impl<S> ActiveTransfer<S> {
    fn start(shared: &Arc<Shared<S>>, id: Digest) -> Self {
        shared.active_transfers.fetch_add(1, Ordering::AcqRel);
        Self {
            shared: Arc::clone(shared),
            id,
        }
    }
}

impl<S> Drop for ActiveTransfer<S> {
    fn drop(&mut self) {
        self.shared.active_transfers.fetch_sub(1, Ordering::AcqRel);
        self.shared.buffer().close(&self.id);
    }
}

/// Channel to which verified pieces are forwarded, for an engine that accepts weights in parts.
pub type PartSender = mpsc::Sender<Part>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
