//! Log appender that passes lines to a writer thread through a bounded buffer.

use std::{
    collections::HashMap,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Error, Layout, layout::JsonLayout, record::Record};

/// Capacity of the buffer between the loggers and the writer; holds a few seconds of a busy process's logs.
const BUFFER_BYTES: usize = 512 << 10;

/// Rate limit of each message in lines per second. A busy process stays below it, and more lines would slow it down.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Pause of the writer after each write, so that one system call writes many lines.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Appender that never blocks; it drops lines above the rate limit and lines that do not fit into the buffer.
#[derive(Debug)]
pub(super) struct Bounded {
    layout: JsonLayout,
    shared: Arc<Shared>,
}

/// Buffer that the loggers and the writer thread share.
#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    /// Notified when a line was added.
    line_added: Condvar,
}

/// Lines that the writer has not taken yet.
#[derive(Debug, Default)]
struct Pending {
    /// Complete lines, at most [`BUFFER_BYTES`].
    bytes: Vec<u8>,
    /// Number of lines dropped since a line last reported it.
    dropped_lines: u64,
    /// Number of lines in the current second by message.
    line_counts: HashMap<&'static str, u32>,
    /// Start of the current second; `None` before the first line.
    second_start: Option<Instant>,
}

impl Bounded {
    pub(super) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let for_writer = Arc::clone(&shared);
        let spawned = thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&for_writer));
        if let Err(error) = spawned {
            // Without the writer the buffer fills up, and further lines are dropped and counted.
            let _ = writeln!(
                io::stderr(),
                "could not start the log writer thread: {error}"
            );
        }
        Self {
            layout: JsonLayout::default(),
            shared,
        }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        // Messages that are formatted at run time share one rate limit.
        let message = record.payload().as_str().unwrap_or_default();
        if !self.shared.lock().admit_line(message, Instant::now()) {
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let mut pending = self.shared.lock();
        pending.push(&line);
        drop(pending);
        self.shared.line_added.notify_one();
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let bytes = self.shared.lock().take();
        io::stdout().write_all(&bytes).map_err(Error::from_io_error)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pending {
    /// Counts a line of a message; returns whether it is within the rate limit. A refused line counts as dropped.
    fn admit_line(&mut self, message: &'static str, now: Instant) -> bool {
        let is_over = self
            .second_start
            .is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1));
        if is_over {
            self.second_start = Some(now);
            self.line_counts.clear();
        }
        let lines = self.line_counts.entry(message).or_default();
        *lines += 1;
        let admitted = *lines <= MAX_LINES_PER_SECOND;
        self.dropped_lines += u64::from(!admitted);
        admitted
    }

    /// Adds a complete line, or drops it if the buffer is full.
    fn push(&mut self, line: &[u8]) {
        if self.bytes.len() + line.len() > BUFFER_BYTES {
            self.dropped_lines += 1;
        } else {
            self.bytes.extend_from_slice(line);
        }
    }

    /// Takes all lines; if some were dropped, a last line reports their number.
    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if self.dropped_lines > 0 {
            let report = serde_json::json!({
                "level": "WARN",
                "message": "log lines left out",
                "kvs": { "count": self.dropped_lines },
            });
            bytes.extend_from_slice(format!("{report}\n").as_bytes());
            self.dropped_lines = 0;
        }
        bytes
    }
}

/// Writes lines to standard output until it is closed.
fn write_lines(shared: &Shared) {
    loop {
        let mut pending = shared.lock();
        while pending.bytes.is_empty() {
            let wait_result = shared.line_added.wait(pending);
            pending = wait_result.unwrap_or_else(PoisonError::into_inner);
        }
        let bytes = pending.take();
        drop(pending);
        if io::stdout().write_all(&bytes).is_err() {
            // Standard output was closed and will not come back. The buffer fills up, and further lines are dropped.
            return;
        }
        thread::sleep(BATCH_PAUSE);
    }
}
