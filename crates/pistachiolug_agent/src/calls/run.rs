//! Run of one call: its answer so far, and the orders given to whoever drives it.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use pistachiolug_wire::call::{Body, Open, Tokens, Work};
use tokio::sync::watch;

/// What the driver of a run is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Run.
    Proceed,
    /// Stop for now and give the slot back.
    Pause,
    /// Stop for now, to be resumed while nothing else runs.
    Isolate,
    /// Stop, because an entry is to resume the call at another instance.
    Move,
    /// Stop, because nobody wants the answer.
    Cancel,
}

/// Run of one call; readers and the driver share it.
#[derive(Debug)]
pub struct Run {
    /// Call as it was opened first.
    pub open: Open,
    /// Charged cost in units.
    pub cost: u32,
    /// Time of the arrival.
    pub arrived_at: Duration,
    log: watch::Sender<Output>,
    order: watch::Sender<Command>,
    /// Readers that are connected now.
    readers: AtomicUsize,
}

/// Answer so far.
#[derive(Debug, Default)]
pub struct Output {
    /// Version that answers, once started; empty for a plain service.
    pub version: Option<String>,
    /// Index of the first token in `text`.
    base: u32,
    /// Texts of all tokens.
    text: String,
    /// End of each token in `text`, in bytes.
    ends: Vec<u32>,
    /// Last event; nothing changes after it.
    pub end: Option<Body>,
}

impl Run {
    /// Creates the run of a call that has just arrived.
    pub fn new(open: Open, cost: u32, arrived_at: Duration) -> Self {
        let base = match &open.work {
            Work::Model(generation) => generation.reached,
            Work::Plain(_) => 0,
        };
        let log = Output {
            base,
            ..Output::default()
        };
        Self {
            open,
            cost,
            arrived_at,
            log: watch::Sender::new(log),
            order: watch::Sender::new(Command::Proceed),
            readers: AtomicUsize::new(0),
        }
    }

    /// Tells whether `open` is the same call, as a join or a second send must be.
    pub fn is_same(&self, open: &Open) -> bool {
        let own = &self.open;
        own.customer == open.customer && own.service == open.service && own.content == open.content
    }

    /// Tells whether the work may run again elsewhere.
    pub fn is_repeatable(&self) -> bool {
        match &self.open.work {
            Work::Model(_) => true,
            Work::Plain(plain) => plain.idempotent,
        }
    }

    /// Subscribes to the answer.
    pub fn subscribe(&self) -> watch::Receiver<Output> {
        self.log.subscribe()
    }

    /// Reads the answer so far.
    pub fn read<R>(&self, read: impl FnOnce(&Output) -> R) -> R {
        read(&self.log.borrow())
    }

    /// Notes the start on a version; a resumed run stays on its first version.
    pub fn mark_started(&self, version: &str) {
        self.log.send_if_modified(|log| {
            let first = log.version.is_none() && log.end.is_none();
            if first {
                log.version = Some(version.to_owned());
            }
            first
        });
    }

    /// Adds tokens of which the first has index `at`; `false` if they do not continue the answer.
    pub fn append_tokens(&self, at: u32, texts: &[String]) -> bool {
        self.log.send_if_modified(|log| {
            let fits = at == log.next_index() && log.end.is_none();
            if fits {
                log.extend(texts);
            }
            fits
        })
    }

    /// Ends the answer; `false` if it has ended before.
    pub fn finish(&self, end: Body) -> bool {
        self.log.send_if_modified(|log| {
            let first = log.end.is_none();
            if first {
                log.end = Some(end);
            }
            first
        })
    }

    /// Tells whether the answer has ended.
    pub fn has_ended(&self) -> bool {
        self.log.borrow().end.is_some()
    }

    /// Subscribes to orders.
    pub fn commands(&self) -> watch::Receiver<Command> {
        self.order.subscribe()
    }

    /// Gives an order; [`Command::Proceed`] undoes a pause or isolation, and nothing undoes a cancel or move.
    pub fn send_command(&self, order: Command) {
        self.order.send_if_modified(|now| {
            let undoes = order == Command::Proceed && *now <= Command::Isolate;
            let taken = order > *now || undoes;
            if taken {
                *now = order;
            }
            taken
        });
    }

    /// Counts a reader that connects.
    pub fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a reader that leaves and tells whether it was the last.
    pub fn remove_reader(&self) -> bool {
        self.readers.fetch_sub(1, Ordering::AcqRel) == 1
    }

    /// Tells whether nobody reads.
    pub fn has_no_readers(&self) -> bool {
        self.readers.load(Ordering::Acquire) == 0
    }
}

impl Output {
    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.base + self.ends.len() as u32
    }

    /// Returns the index of the first token that is kept.
    pub fn first_index(&self) -> u32 {
        self.base
    }

    /// Returns the texts of all kept tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the tokens from an index on, or `None` if there are none.
    pub fn tokens_from(&self, at: u32) -> Option<Tokens> {
        let first = at.checked_sub(self.base)? as usize;
        let ends = self.ends.get(first..).filter(|ends| !ends.is_empty())?;
        let mut start = first.checked_sub(1).map_or(0, |before| self.ends[before]);
        let mut texts = Vec::with_capacity(ends.len());
        for end in ends {
            texts.push(self.text[start as usize..*end as usize].to_owned());
            start = *end;
        }
        Some(Tokens { at, texts })
    }

    /// Returns the size of the answer in bytes.
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
