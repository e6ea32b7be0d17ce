//! Calls to models: OpenAI-shaped requests, plain and streamed answers.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use pistachiolug_http::{
    body::Body,
    server::{Reply, Request},
};
use pistachiolug_lists::lists::Lists;
use pistachiolug_wire::{
    call::{Generation, Id, Work},
    fault::{Code, Fault},
};
use tokio::{sync::mpsc, time};

use crate::{
    call::{Call, DeadlineScope, Part},
    caller::Caller,
    openai::{self, Api, Renderer},
    public_api::{PublicApi, refusal},
    reply,
};

/// Silence towards a caller after which a comment is sent, so that a caller that is gone is noticed.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Comment of a server-sent event stream, which clients skip.
const COMMENT: &[u8] = b": wait\n\n";

/// Outcome header of a stream, whose last event tells the true outcome.
const STREAMING: &str = "streaming";

impl PublicApi {
    /// Serves a generation.
    pub(crate) async fn generate(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        api: Api,
        request: &Request,
    ) -> Result<Reply, Fault> {
        let body = request.body();
        let parsed =
            openai::parse(body).map_err(|reason| refusal(Code::InvalidRequest, &reason))?;
        let model = lists
            .model(&parsed.model)
            .ok_or_else(|| refusal(Code::NotFound, "no such model"))?;
        if !caller.plan.models.contains(&model.name) {
            return Err(refusal(Code::NotInPlan, "plan lacks the model"));
        }
        let generation = Generation {
            model: model.name.clone(),
            version: String::new(),
            path: request.uri().path().to_owned(),
            body: body.clone(),
            reached: 0,
            prefix: String::new(),
            estimate: openai::estimate_tokens(&parsed, body.len()),
            cache: None,
        };
        let work = Work::Model(generation);
        let mut open = self.message(lists, id, caller, &model.service, work)?;
        open.deadline_ms = self.deadline(request)?;
        let patience = if parsed.stream {
            DeadlineScope::Start
        } else {
            DeadlineScope::Answer
        };
        let mut call = self.runner.open(open, patience).await?;
        let renderer = Renderer {
            api,
            id,
            model: parsed.model,
        };
        let version = call.started().await?;
        if parsed.stream {
            return Ok(streamed(call, renderer, version));
        }
        whole(call, &renderer, &version).await
    }
}

async fn whole(mut call: Call, renderer: &Renderer, version: &str) -> Result<Reply, Fault> {
    let mut text = String::new();
    loop {
        match call.next().await? {
            Part::Text(texts) => text.extend(texts),
            Part::Finished(finish) => {
                let body = renderer.render_answer(&text, &finish, version);
                return Ok(reply::render_answer(
                    renderer.id,
                    version,
                    "application/json",
                    body.into(),
                ));
            }
            Part::Started(_) | Part::Response(_) => return Err(crossed()),
        }
    }
}

fn streamed(call: Call, renderer: Renderer, version: String) -> Reply {
    let (sender, stream) = Body::channel();
    let mut reply = reply::render_answer(renderer.id, &version, "text/event-stream", stream);
    reply::set_outcome(&mut reply, STREAMING);
    tokio::spawn(async move { relay(call, &renderer, &version, &sender).await });
    reply
}

/// Relays an answer until its end; a caller that goes away drops the call.
async fn relay(mut call: Call, renderer: &Renderer, version: &str, sender: &mpsc::Sender<Bytes>) {
    loop {
        let Some(part) = next_or_gone(&mut call, sender).await else {
            return;
        };
        let (event, last) = match part {
            Ok(Part::Text(texts)) => (renderer.render_chunk(&texts.concat(), version), false),
            Ok(Part::Finished(finish)) => (renderer.render_end(&finish, version), true),
            Ok(_) => (reply::render_error_event(&crossed()), true),
            Err(fault) => (reply::render_error_event(&fault), true),
        };
        if sender.send(event.into()).await.is_err() || last {
            return;
        }
    }
}

/// Waits for the next part while comments keep the caller's connection in use; `None` if the caller is gone.
async fn next_or_gone(
    call: &mut Call,
    sender: &mpsc::Sender<Bytes>,
) -> Option<Result<Part, Fault>> {
    let mut next = pin!(call.next());
    loop {
        tokio::select! {
            part = &mut next => return Some(part),
            () = sender.closed() => return None,
            () = time::sleep(COMMENT_INTERVAL) => {
                // A full buffer means that the caller is slow and bytes are on their way anyway.
                let _ = sender.try_send(Bytes::from_static(COMMENT));
            }
        }
    }
}

fn crossed() -> Fault {
    Fault::unknown(Code::BackendFailed, "crossed answer")
}
