//! Bound on the number of open connections of a server, and the choice of those that are closed for new ones.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::Instant,
};

/// Time in which an ordinary peer sends the head of its request after it has connected, or goes on with a body: several
/// times the delay between regions.
pub const PROGRESS_TIME: Duration = Duration::from_millis(500);

/// Rate in bytes per second below which a body counts as slow once it is older than [`PROGRESS_TIME`]; a hundredth of the
/// narrowest link between regions.
pub const SLOW_BYTES_PER_SECOND: u64 = 32 << 10;

/// Time without a byte read after which a connection with a whole answer may be closed for another one; five times the
/// longest pause that callers of streams bear.
pub const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Time between two checks for unread answers beyond which the process was suspended, so that peers may have read meanwhile.
const SUSPENSION_GAP: Duration = Duration::from_secs(3);

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its first request head has not arrived.
    New,
    /// The body of a request is being received, so no server has the request.
    Body,
    /// A request is being handled, or its answer is being sent.
    Busy,
    /// An answer was sent, and the next request head has not arrived.
    Idle,
}

/// What is known of a connection when another one has to be closed for it.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// What the connection is used for.
    pub stage: Stage,
    /// Time since the stage began.
    pub age: Duration,
    /// Time since bytes were last received or sent; not more than `age`.
    pub quiet: Duration,
    /// Bytes received in the stage.
    pub received: u64,
    /// Whether a part of an answer waits for the peer to read.
    pub is_unread: bool,
}

impl Peer {
    /// Returns whether a body doesn't go on, or goes on so slowly that its peer can't be an ordinary one.
    fn is_stalled(&self) -> bool {
        let expected = self.age.as_secs_f64() * SLOW_BYTES_PER_SECOND as f64;
        let is_slow = (self.received as f64) < expected;
        self.age >= PROGRESS_TIME && (self.quiet >= PROGRESS_TIME || is_slow)
    }

    /// Returns the order in which connections are closed, lowest first; `None` if this one may not be closed.
    fn rank(&self) -> Option<u8> {
        match self.stage {
            Stage::New if self.age >= PROGRESS_TIME => Some(0),
            Stage::Body if self.is_stalled() => Some(1),
            Stage::Idle if self.is_unread => (self.quiet >= UNREAD_TIME).then_some(3),
            Stage::Idle if self.quiet >= PROGRESS_TIME => Some(2),
            _ => None,
        }
    }
}

/// Returns the index of the connection that is closed for a new one; `None` if none may be, so that the new one is
/// refused.
///
/// Answers the load of peers that hold more connections than the process has descriptors. First go connections that have
/// never sent a whole head, then bodies that don't go on, then kept connections without a request, then those whose
/// peers don't read their answers; the oldest ones first. A connection whose request a server may be running is never closed.
pub fn choose(peers: &[Peer]) -> Option<usize> {
    let ranked = peers.iter().enumerate();
    let ranked = ranked.filter_map(|(index, peer)| {
        let age = if peer.stage == Stage::Idle {
            peer.quiet
        } else {
            peer.age
        };
        Some((index, peer.rank()?, age))
    });
    let first = ranked.min_by(|(_, rank, age), (_, other_rank, other_age)| {
        rank.cmp(other_rank).then(other_age.cmp(age))
    });
    first.map(|(index, ..)| index)
}

/// Bounds on the connections of one server.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Largest number of open connections.
    pub connections: usize,
    /// Size of the kernel's buffer for the bytes that a connection has received and the process has not read; `None`:
    /// that of the system.
    pub receive_bytes: Option<usize>,
    /// Longest time for which an answer waits for a peer that does not read.
    pub write_timeout: Duration,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            connections: usize::MAX,
            receive_bytes: None,
            write_timeout: Duration::MAX,
        }
    }
}

/// Numbers of connections on which a bound acted, since the start of the server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// New connections that were closed at once.
    pub refused: u64,
    /// Connections that were closed for new ones.
    pub replaced: u64,
    /// Connections that were closed because their peers did not read.
    pub unread: u64,
}

/// Open connections of one server.
#[derive(Debug, Clone, Default)]
pub struct Connections(Rc<Table>);

#[derive(Debug, Default)]
struct Table {
    bound: Bound,
    open: RefCell<BTreeMap<u64, Activity>>,
    next: Cell<u64>,
    /// When unread answers were last checked for.
    checked_at: Cell<Option<Instant>>,
    totals: Cell<Totals>,
}

impl Connections {
    /// Creates a set without connections.
    pub fn new(bound: Bound) -> Self {
        Self(Rc::new(Table {
            bound,
            ..Table::default()
        }))
    }

    /// Returns the bounds.
    pub fn bound(&self) -> Bound {
        self.0.bound
    }

    /// Returns how often a bound acted.
    pub fn totals(&self) -> Totals {
        self.0.totals.get()
    }

    /// Adds a connection. If there are too many, another one is closed; `None` if none may be closed.
    pub(crate) fn open(&self) -> Option<Guard> {
        let table = &*self.0;
        let mut totals = table.totals.get();
        let mut open = table.open.borrow_mut();
        if open.len() >= table.bound.connections {
            let now = Instant::now();
            let (ids, peers): (Vec<u64>, Vec<Peer>) = open
                .iter()
                .map(|(id, activity)| (*id, activity.peer(now)))
                .unzip();
            let Some(chosen) = choose(&peers) else {
                totals.refused += 1;
                table.totals.set(totals);
                return None;
            };
            if let Some(activity) = open.remove(&ids[chosen]) {
                activity.close();
            }
            totals.replaced += 1;
            table.totals.set(totals);
        }
        let id = table.next.get();
        table.next.set(id + 1);
        let activity = Activity::new(Instant::now());
        open.insert(id, activity.clone());
        Some(Guard {
            connections: self.clone(),
            id,
            activity,
        })
    }

    /// Closes the connections whose peers have not read for the longest time allowed. Must be called every second; after
    /// a longer pause that time counts anew.
    pub fn close_unread(&self) {
        let (table, now) = (&*self.0, Instant::now());
        let checked_at = table.checked_at.replace(Some(now));
        let was_suspended = checked_at.is_some_and(|at| now.duration_since(at) >= SUSPENSION_GAP);
        let is_unread = |activity: &Activity| {
            let mut progress = activity.lock();
            if was_suspended && progress.blocked_at.is_some() {
                progress.blocked_at = Some(now);
            }
            let blocked_at = progress.blocked_at;
            blocked_at.is_some_and(|at| now.duration_since(at) >= table.bound.write_timeout)
        };
        let mut open = table.open.borrow_mut();
        let before = open.len();
        open.retain(|_, activity| {
            let is_unread = is_unread(activity);
            if is_unread {
                activity.close();
            }
            !is_unread
        });
        let mut totals = table.totals.get();
        totals.unread += (before - open.len()) as u64;
        table.totals.set(totals);
    }
}

/// Membership of an open connection, which ends when it is dropped.
pub(crate) struct Guard {
    connections: Connections,
    id: u64,
    pub(crate) activity: Activity,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.0.open.borrow_mut().remove(&self.id);
    }
}

/// What a connection does. Handlers find it among the extensions of a request.
#[derive(Debug, Clone)]
pub struct Activity(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    progress: Mutex<Progress>,
    closed: Notify,
}

#[derive(Debug)]
struct Progress {
    stage: Stage,
    began_at: Instant,
    /// When bytes were last received or sent, or the stage began.
    moved_at: Instant,
    /// Bytes received in the stage.
    received: u64,
    /// Since when the peer has not read; `None` while nothing waits for it.
    blocked_at: Option<Instant>,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self(Arc::new(Shared {
            progress: Mutex::new(Progress {
                stage: Stage::New,
                began_at: now,
                moved_at: now,
                received: 0,
                blocked_at: None,
            }),
            closed: Notify::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        // No code that holds the lock panics.
        let progress = self.0.progress.lock();
        progress.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the connection begins a stage.
    pub fn begin(&self, stage: Stage) {
        let now = Instant::now();
        let mut progress = self.lock();
        progress.stage = stage;
        progress.began_at = now;
        progress.moved_at = now;
        progress.received = 0;
    }

    fn peer(&self, now: Instant) -> Peer {
        let progress = self.lock();
        Peer {
            stage: progress.stage,
            age: now.duration_since(progress.began_at),
            quiet: now.duration_since(progress.moved_at),
            received: progress.received,
            is_unread: progress.blocked_at.is_some(),
        }
    }

    fn close(&self) {
        self.0.closed.notify_one();
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn wait_closed(&self) {
        self.0.closed.notified().await;
    }

    fn record_read(&self, bytes: usize) {
        if bytes > 0 {
            let mut progress = self.lock();
            progress.moved_at = Instant::now();
            progress.received += bytes as u64;
        }
    }

    fn record_write<T>(&self, polled: &Poll<io::Result<T>>) {
        let mut progress = self.lock();
        if polled.is_pending() {
            progress.blocked_at.get_or_insert_with(Instant::now);
        } else {
            progress.blocked_at = None;
            progress.moved_at = Instant::now();
        }
    }
}

/// Stream whose reads and writes are recorded.
#[derive(Debug)]
pub(crate) struct Watched<S> {
    inner: S,
    activity: Activity,
}

impl<S> Watched<S> {
    pub(crate) fn new(inner: S, activity: Activity) -> Self {
        Self { inner, activity }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.activity.record_read(buffer.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.activity.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.activity.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
