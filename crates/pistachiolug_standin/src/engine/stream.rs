//! Stream of one generation, from the wait for a slot to the last token.

use std::time::{Duration, Instant};

use bytes::Bytes;
use pistachiolug_wire::digest::Digest;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use super::{
    answer, control,
    record::{End, Run},
    server::EngineServer,
    slots::Slot,
};

/// Interval of comments that show the reader a live stream while a generation has not sent its first token.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Generation to run.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) weights: Digest,
    pub(super) prompt: Bytes,
    pub(super) version: String,
    pub(super) priority: u8,
    /// Index of the first token to send.
    pub(super) from: u32,
    /// Whether an imported cache makes the first token available at once.
    pub(super) cached: bool,
}

/// Runs a generation until it ends, is cancelled, loses its reader, or its stream is aborted.
pub(super) async fn run(
    engine: EngineServer,
    job: Job,
    sender: mpsc::Sender<Bytes>,
    mut cancelled: oneshot::Receiver<()>,
) {
    let mut aborts = engine.control.subscribe_aborts();
    aborts.mark_unchanged();
    let slot_request = engine.slots.request(job.priority);
    let slot = tokio::select! {
        slot = wait_for_slot(slot_request, &sender) => slot,
        _ = &mut cancelled => None,
        _ = aborts.changed() => None,
    };
    let Some(_slot) = slot else {
        engine.state().unregister(&job.id);
        return;
    };
    let index = engine.state().record_start(new_run(&job));
    let end = tokio::select! {
        biased;
        _ = aborts.changed() => End::Crashed,
        _ = &mut cancelled => End::Cancelled,
        end = send_tokens(&engine, &job, index, &sender) => end,
    };
    let mut state = engine.state();
    state.record_end(index, end);
    state.unregister(&job.id);
}

fn new_run(job: &Job) -> Run {
    Run {
        id: job.id.clone(),
        version: job.version.clone(),
        prompt: Digest::of(&job.prompt),
        priority: job.priority,
        from: job.from,
        sent: 0,
        cached: job.cached,
        end: End::Running,
    }
}

/// Waits for a slot and sends comments meanwhile. Returns `None` if the reader closes the connection.
async fn wait_for_slot(
    mut slot_request: oneshot::Receiver<Slot>,
    sender: &mpsc::Sender<Bytes>,
) -> Option<Slot> {
    loop {
        tokio::select! {
            slot = &mut slot_request => return slot.ok(),
            () = tokio::time::sleep(COMMENT_INTERVAL) => send_comment(sender).await?,
            () = sender.closed() => return None,
        }
    }
}

async fn send_comment(sender: &mpsc::Sender<Bytes>) -> Option<()> {
    sender.send(Bytes::from_static(b": waiting\n\n")).await.ok()
}

/// Sends the tokens of a generation that holds a slot. Returns how it ended.
async fn send_tokens(
    engine: &EngineServer,
    job: &Job,
    index: usize,
    sender: &mpsc::Sender<Bytes>,
) -> End {
    engine.state().cache.touch(&job.prompt, Instant::now());
    if !job.cached && prefill(engine, sender).await.is_none() {
        return End::Cancelled;
    }
    if control::has_crash_marker(&job.prompt) {
        engine.crash();
        return End::Crashed;
    }
    let prompt = Digest::of(&job.prompt);
    for token_index in job.from..answer::token_count(&job.prompt) {
        let text = answer::token_text(&job.weights, &prompt, token_index);
        let event = json!({
            "version": job.version,
            "choices": [{ "index": 0, "delta": { "content": text } }],
        });
        let line = format!("data: {event}\n\n");
        if sender.send(line.into()).await.is_err() {
            return End::Cancelled;
        }
        engine.state().record_token(index);
        tokio::select! {
            () = engine.control.sleep(engine.timing.token_interval) => {}
            () = sender.closed() => return End::Cancelled,
        }
    }
    send_end(job, sender).await
}

/// Waits for the time to the first token and sends comments meanwhile.
///
/// Returns `None` if the reader closes the connection.
async fn prefill(engine: &EngineServer, sender: &mpsc::Sender<Bytes>) -> Option<()> {
    let first = engine.control.sleep(engine.timing.first_token);
    let mut first = std::pin::pin!(first);
    loop {
        tokio::select! {
            () = &mut first => return Some(()),
            () = engine.control.sleep(COMMENT_INTERVAL) => send_comment(sender).await?,
            () = sender.closed() => return None,
        }
    }
}

/// Sends the last event and the end marker.
async fn send_end(job: &Job, sender: &mpsc::Sender<Bytes>) -> End {
    let event = json!({
        "version": job.version,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": { "prompt_tokens": 1 },
    });
    let text = format!("data: {event}\n\ndata: [DONE]\n\n");
    match sender.send(text.into()).await {
        Ok(()) => End::Whole,
        Err(_) => End::Cancelled,
    }
}
