//! Event stream to one entry that reads a run: events from the next token that the entry needs, and heartbeats.

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

/// Sends the events of a run over one connection of an entry.
pub(super) struct Reader {
    /// Id under which the entry opened the call; all events carry it.
    pub(super) call: Id,
    /// Index of the next token to send.
    pub(super) next_token: u32,
    /// Whether the start event was sent.
    pub(super) has_sent_start: bool,
    /// Channel to the body of the reply.
    pub(super) sender: mpsc::Sender<Bytes>,
}

impl Reader {
    /// Sends events until the answer ends or the entry disconnects.
    pub(super) async fn send_events(
        mut self,
        run: Arc<Run>,
        heartbeat: Duration,
        load: impl Fn() -> Load,
    ) {
        let mut output = run.subscribe();
        let mut ticks = interval(heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let (frames, has_ended) = self.encode_new(&output.borrow_and_update());
            if !frames.is_empty() && self.sender.send(frames).await.is_err() || has_ended {
                return;
            }
            tokio::select! {
                changed = output.changed() => if changed.is_err() { return },
                _ = ticks.tick() => {
                    let event = self.encode(Body::Heartbeat(load()));
                    if self.sender.send(event).await.is_err() {
                        return;
                    }
                }
                () = self.sender.closed() => return,
            }
        }
    }

    /// Sends one event and ends the stream.
    pub(super) async fn send_last(self, body: Body) {
        // An error means that the entry has disconnected.
        let _ = self.sender.send(self.encode(body)).await;
    }

    /// Encodes all new events into one buffer, so that tokens that are ready together are sent together.
    ///
    /// The flag tells whether the answer has ended.
    fn encode_new(&mut self, output: &Output) -> (Bytes, bool) {
        let mut frames = BytesMut::new();
        if self.next_token < output.first_index() {
            let fault = Fault::unknown(Code::Unavailable, "earlier tokens are not kept here");
            frames.extend_from_slice(&self.encode(Body::Failed(fault)));
            return (frames.freeze(), true);
        }
        if let Some(version) = output.version.as_ref().filter(|_| !self.has_sent_start) {
            self.has_sent_start = true;
            let version = version.clone();
            frames.extend_from_slice(&self.encode(Body::Started { version }));
        }
        if let Some(tokens) = output.tokens_from(self.next_token) {
            self.next_token += tokens.texts.len() as u32;
            frames.extend_from_slice(&self.encode(Body::Tokens(tokens)));
        }
        if let Some(end) = &output.end {
            frames.extend_from_slice(&self.encode(end.clone()));
        }
        (frames.freeze(), output.end.is_some())
    }

    fn encode(&self, body: Body) -> Bytes {
        codec::encode_frame(&Event {
            call: self.call,
            body,
        })
    }
}
