//! Run of one call: its output so far, and the commands to its driver.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use pistachiolug_wire::call::{Body, Open, Tokens, Work};
use tokio::sync::watch;

/// Command to the driver of a run; a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Run, or go on after a pause.
    Proceed,
    /// Stop for now and release the slot.
    Pause,
    /// Stop for now; the run is resumed alone, when nothing else runs.
    Isolate,
    /// Stop, because an entry is going to resume the call at another instance.
    Move,
    /// Stop, because nobody needs the answer.
    Cancel,
}

/// Run of one call, shared by its readers and its driver.
#[derive(Debug)]
pub struct Run {
    /// Call as it was first opened.
    pub open: Open,
    /// Cost charged in advance: estimated tokens of a generation, or units of a plain call.
    pub cost: u32,
    /// Time of the arrival, by the agent's clock.
    pub arrived_at: Duration,
    output: watch::Sender<Output>,
    command: watch::Sender<Command>,
    /// Number of connected readers.
    readers: AtomicUsize,
}

/// Output of a run so far.
#[derive(Debug, Default)]
pub struct Output {
    /// Version that answers, set at the start; empty for a plain service.
    pub version: Option<String>,
    /// Index of the first token in `text`.
    first_index: u32,
    /// Texts of all tokens, joined.
    text: String,
    /// Byte offset in `text` at which each token ends.
    ends: Vec<u32>,
    /// Last event; the output no longer changes once it is set.
    pub end: Option<Body>,
}

impl Run {
    /// Creates the run of a call that has just arrived.
    pub fn new(open: Open, cost: u32, arrived_at: Duration) -> Self {
        let first_index = match &open.work {
            Work::Model(generation) => generation.reached,
            Work::Plain(_) => 0,
        };
        let output = Output {
            first_index,
            ..Output::default()
        };
        Self {
            open,
            cost,
            arrived_at,
            output: watch::Sender::new(output),
            command: watch::Sender::new(Command::Proceed),
            readers: AtomicUsize::new(0),
        }
    }

    /// Returns whether `open` has the same customer, service and content, as a join or a repeated send must.
    pub fn is_same(&self, open: &Open) -> bool {
        let own = &self.open;
        own.customer == open.customer && own.service == open.service && own.content == open.content
    }

    /// Returns whether the work may run again at another instance.
    pub fn is_repeatable(&self) -> bool {
        match &self.open.work {
            Work::Model(_) => true,
            Work::Plain(plain) => plain.idempotent,
        }
    }

    /// Subscribes to changes of the output.
    pub fn subscribe(&self) -> watch::Receiver<Output> {
        self.output.subscribe()
    }

    /// Calls `read` with the output so far and returns its result.
    pub fn read<R>(&self, read: impl FnOnce(&Output) -> R) -> R {
        read(&self.output.borrow())
    }

    /// Sets the version at the first start; a resumed run keeps its version.
    pub fn mark_started(&self, version: &str) {
        self.output.send_if_modified(|output| {
            let is_first = output.version.is_none() && output.end.is_none();
            if is_first {
                output.version = Some(version.to_owned());
            }
            is_first
        });
    }

    /// Appends tokens, the first of which has index `at`; returns `false` if they do not continue the output.
    pub fn append_tokens(&self, at: u32, texts: &[String]) -> bool {
        self.output.send_if_modified(|output| {
            let continues = at == output.next_index() && output.end.is_none();
            if continues {
                output.extend(texts);
            }
            continues
        })
    }

    /// Sets the last event; returns `false` if the output had already ended.
    pub fn finish(&self, end: Body) -> bool {
        self.output.send_if_modified(|output| {
            let is_first = output.end.is_none();
            if is_first {
                output.end = Some(end);
            }
            is_first
        })
    }

    /// Returns whether the output has ended.
    pub fn has_ended(&self) -> bool {
        self.output.borrow().end.is_some()
    }

    /// Subscribes to commands.
    pub fn commands(&self) -> watch::Receiver<Command> {
        self.command.subscribe()
    }

    /// Sends a command to the driver, unless the current one overrides it.
    ///
    /// [`Command::Proceed`] ends a pause or an isolation, but never a move or a cancellation.
    pub fn send_command(&self, command: Command) {
        self.command.send_if_modified(|current| {
            let resumes = command == Command::Proceed && *current <= Command::Isolate;
            let is_accepted = command > *current || resumes;
            if is_accepted {
                *current = command;
            }
            is_accepted
        });
    }

    /// Adds a reader that connects.
    pub fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::AcqRel);
    }

    /// Removes a reader that disconnects; returns whether it was the last.
    pub fn remove_reader(&self) -> bool {
        self.readers.fetch_sub(1, Ordering::AcqRel) == 1
    }

    /// Returns whether no reader is connected.
    pub fn has_no_readers(&self) -> bool {
        self.readers.load(Ordering::Acquire) == 0
    }
}

impl Output {
    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.first_index + self.ends.len() as u32
    }

    /// Returns the index of the first token that is kept.
    pub fn first_index(&self) -> u32 {
        self.first_index
    }

    /// Returns the texts of all kept tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the tokens from index `at` on; `None` if there are none.
    pub fn tokens_from(&self, at: u32) -> Option<Tokens> {
        let first = at.checked_sub(self.first_index)? as usize;
        let ends = self.ends.get(first..).filter(|ends| !ends.is_empty())?;
        let mut start = first.checked_sub(1).map_or(0, |before| self.ends[before]);
        let mut texts = Vec::with_capacity(ends.len());
        for end in ends {
            texts.push(self.text[start as usize..*end as usize].to_owned());
            start = *end;
        }
        Some(Tokens { at, texts })
    }

    /// Returns the size of the output in bytes.
    pub fn size_bytes(&self) -> usize {
        let end = match &self.end {
            Some(Body::Response(response)) => response.body.len(),
            _ => 0,
        };
        self.text.len() + self.ends.len() * size_of::<u32>() + end
    }

    fn extend(&mut self, texts: &[String]) {
        for text in texts {
            self.text.push_str(text);
            self.ends.push(self.text.len() as u32);
        }
    }
}
