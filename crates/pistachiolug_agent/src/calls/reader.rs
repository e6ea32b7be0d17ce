//! Connection of one entry to a run: events from the token that the entry has reached, and heartbeats.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use pistachiolug_wire::{
    call::{Body, Event, Id},
    codec,
    fault::{Code, Fault},
    load::Load,
};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::run::{Output, Run};

/// Connection of one entry.
pub(super) struct Reader {
    /// Id that the entry opened, which its events carry.
    pub(super) call: Id,
    /// Index of the next token to send.
    pub(super) next: u32,
    /// Whether the start was sent.
    pub(super) started: bool,
    /// Way to the connection.
    pub(super) sender: mpsc::Sender<Bytes>,
}

impl Reader {
    /// Sends events until the answer ends or the entry goes away.
    pub(super) async fn follow(
        mut self,
        run: Arc<Run>,
        heartbeat: Duration,
        load: impl Fn() -> Load,
    ) {
        let mut output = run.subscribe();
        let mut ticks = interval(heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let (frames, ended) = self.collect(&output.borrow_and_update());
            if !frames.is_empty() && self.sender.send(frames).await.is_err() || ended {
                return;
            }
            tokio::select! {
                changed = output.changed() => if changed.is_err() { return },
                _ = ticks.tick() => {
                    let beat = self.frame(Body::Heartbeat(load()));
                    if self.sender.send(beat).await.is_err() {
                        return;
                    }
                }
                () = self.sender.closed() => return,
            }
        }
    }

    /// Sends one last event.
    pub(super) async fn end(self, body: Body) {
        // A closed channel means that the entry is gone.
        let _ = self.sender.send(self.frame(body)).await;
    }

    /// Collects all that is new, so that tokens that are ready together travel together.
    fn collect(&mut self, output: &Output) -> (Bytes, bool) {
        let mut frames = BytesMut::new();
        if self.next < output.first_index() {
            let lost = Fault::unknown(Code::Unavailable, "earlier tokens are not kept here");
            frames.extend_from_slice(&self.frame(Body::Failed(lost)));
            return (frames.freeze(), true);
        }
        if let Some(version) = output.version.as_ref().filter(|_| !self.started) {
            self.started = true;
            let version = version.clone();
            frames.extend_from_slice(&self.frame(Body::Started { version }));
        }
        if let Some(tokens) = output.tokens_from(self.next) {
            self.next += tokens.texts.len() as u32;
            frames.extend_from_slice(&self.frame(Body::Tokens(tokens)));
        }
        if let Some(end) = &output.end {
            frames.extend_from_slice(&self.frame(end.clone()));
        }
        (frames.freeze(), output.end.is_some())
    }

    fn frame(&self, body: Body) -> Bytes {
        codec::frame(&Event {
            call: self.call,
            body,
        })
    }
}
