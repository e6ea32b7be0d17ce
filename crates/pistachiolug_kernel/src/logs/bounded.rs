//! Appender that hands lines to a writer thread through a bounded buffer.

use std::{
    collections::HashMap,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Error, Layout, layout::JsonLayout, record::Record};

/// Largest number of bytes that wait for the writer; some seconds of a busy process.
const BUFFER_BYTES: usize = 512 << 10;

/// Lines a second of one message: above the decisions of a busy process, below what would burden it.
const LINES_PER_SECOND: u32 = 200;

/// Pause of the writer after a write, so that lines share system calls.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(super) struct Bounded {
    layout: JsonLayout,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct Pending {
    /// Whole lines; at most [`BUFFER_BYTES`].
    bytes: Vec<u8>,
    /// Lines left out since the last note of it.
    left_out: u64,
    /// Lines of the running second by message.
    meters: HashMap<&'static str, u32>,
    second: Option<Instant>,
}

impl Bounded {
    pub(super) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let writer = Arc::clone(&shared);
        let started = thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write(&writer));
        if let Err(error) = started {
            // Without its writer the buffer fills and lines are counted as left out.
            let _ = writeln!(io::stderr(), "log writer not started: {error}");
        }
        Self {
            layout: JsonLayout::default(),
            shared,
        }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        // Text that is put together at run time shares one budget.
        let message = record.payload().as_str().unwrap_or_default();
        if !self.shared.lock().admit(message, Instant::now()) {
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let mut pending = self.shared.lock();
        pending.push(&line);
        drop(pending);
        self.shared.filled.notify_one();
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
    fn admit(&mut self, message: &'static str, now: Instant) -> bool {
        let over = self
            .second
            .is_none_or(|second| now.duration_since(second) >= Duration::from_secs(1));
        if over {
            self.second = Some(now);
            self.meters.clear();
        }
        let lines = self.meters.entry(message).or_default();
        *lines += 1;
        let admitted = *lines <= LINES_PER_SECOND;
        self.left_out += u64::from(!admitted);
        admitted
    }

    fn push(&mut self, line: &[u8]) {
        if self.bytes.len() + line.len() > BUFFER_BYTES {
            self.left_out += 1;
        } else {
            self.bytes.extend_from_slice(line);
        }
    }

    /// Takes the waiting lines, with a note of those left out.
    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if self.left_out > 0 {
            let note = serde_json::json!({
                "level": "WARN",
                "message": "log lines left out",
                "kvs": { "count": self.left_out },
            });
            bytes.extend_from_slice(format!("{note}\n").as_bytes());
            self.left_out = 0;
        }
        bytes
    }
}

fn write(shared: &Shared) {
    loop {
        let mut pending = shared.lock();
        while pending.bytes.is_empty() {
            let waited = shared.filled.wait(pending);
            pending = waited.unwrap_or_else(PoisonError::into_inner);
        }
        let bytes = pending.take();
        drop(pending);
        if io::stdout().write_all(&bytes).is_err() {
            // The reader is gone for good; later lines are counted as left out.
            return;
        }
        thread::sleep(BATCH_PAUSE);
    }
}
