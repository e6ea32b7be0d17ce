//! Run of one generation.

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

/// Interval of comments while a generation waits or its first token is not due.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// One generation to run.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) weights: Digest,
    pub(super) prompt: Bytes,
    pub(super) version: String,
    pub(super) priority: u8,
    pub(super) from: u32,
    pub(super) cached: bool,
}

/// Sends the answer until it ends, is cancelled, or the engine crashes.
pub(super) async fn run(
    face: EngineServer,
    job: Job,
    sender: mpsc::Sender<Bytes>,
    mut cancelled: oneshot::Receiver<()>,
) {
    let mut crashes = face.control.crashes();
    crashes.mark_unchanged();
    let turn = face.slots.request(job.priority);
    let slot = tokio::select! {
        slot = wait_turn(turn, &sender) => slot,
        _ = &mut cancelled => None,
        _ = crashes.changed() => None,
    };
    let Some(_slot) = slot else {
        face.state().unregister(&job.id);
        return;
    };
    let index = face.state().record_start(begin(&job));
    let end = tokio::select! {
        biased;
        _ = crashes.changed() => End::Crashed,
        _ = &mut cancelled => End::Cancelled,
        end = send(&face, &job, index, &sender) => end,
    };
    let mut state = face.state();
    state.record_end(index, end);
    state.unregister(&job.id);
}

fn begin(job: &Job) -> Run {
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

/// Waits for a slot; `None` when the reader goes away.
async fn wait_turn(
    mut turn: oneshot::Receiver<Slot>,
    sender: &mpsc::Sender<Bytes>,
) -> Option<Slot> {
    loop {
        tokio::select! {
            slot = &mut turn => return slot.ok(),
            () = tokio::time::sleep(COMMENT_INTERVAL) => comment(sender).await?,
            () = sender.closed() => return None,
        }
    }
}

async fn comment(sender: &mpsc::Sender<Bytes>) -> Option<()> {
    sender.send(Bytes::from_static(b": waiting\n\n")).await.ok()
}

async fn send(face: &EngineServer, job: &Job, index: usize, sender: &mpsc::Sender<Bytes>) -> End {
    face.state().cache.touch(&job.prompt, Instant::now());
    if !job.cached && prefill(face, sender).await.is_none() {
        return End::Cancelled;
    }
    if control::has_crash_marker(&job.prompt) {
        face.crash();
        return End::Crashed;
    }
    let prompt = Digest::of(&job.prompt);
    for at in job.from..answer::token_count(&job.prompt) {
        let text = answer::token_text(&job.weights, &prompt, at);
        let event = json!({
            "version": job.version,
            "choices": [{ "index": 0, "delta": { "content": text } }],
        });
        let line = format!("data: {event}\n\n");
        if sender.send(line.into()).await.is_err() {
            return End::Cancelled;
        }
        face.state().record_token(index);
        tokio::select! {
            () = face.control.sleep(face.speed.token_interval) => {}
            () = sender.closed() => return End::Cancelled,
        }
    }
    finish(job, sender).await
}

/// Takes the time to the first token; `None` when the reader goes away.
async fn prefill(face: &EngineServer, sender: &mpsc::Sender<Bytes>) -> Option<()> {
    let first = face.control.sleep(face.speed.first_token);
    let mut first = std::pin::pin!(first);
    loop {
        tokio::select! {
            () = &mut first => return Some(()),
            () = face.control.sleep(COMMENT_INTERVAL) => comment(sender).await?,
            () = sender.closed() => return None,
        }
    }
}

async fn finish(job: &Job, sender: &mpsc::Sender<Bytes>) -> End {
    let last = json!({
        "version": job.version,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": { "prompt_tokens": 1 },
    });
    let lines = format!("data: {last}\n\ndata: [DONE]\n\n");
    match sender.send(lines.into()).await {
        Ok(()) => End::Whole,
        Err(_) => End::Cancelled,
    }
}
