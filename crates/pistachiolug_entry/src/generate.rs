//! Calls to models through the API that is compatible with OpenAI's, with streamed and unstreamed answers.

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

/// Time without data to a caller after which a comment line of server-sent events is sent as a keepalive. The write
/// shows whether the caller has disconnected.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Comment in a stream of server-sent events, which clients ignore.
const KEEPALIVE_COMMENT: &[u8] = b": wait\n\n";

/// Value of the outcome header of a stream; its last event holds the outcome.
const STREAMING_OUTCOME: &str = "streaming";

impl PublicApi {
    /// Serves a request to generate text.
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
        let mut open = self.build_open(lists, id, caller, &model.service, work)?;
        open.deadline_ms = self.deadline_ms(request)?;
        let deadline_scope = if parsed.stream {
            DeadlineScope::Start
        } else {
            DeadlineScope::Answer
        };
        let mut call = self.runner.open(open, deadline_scope).await?;
        let renderer = Renderer {
            api,
            id,
            model: parsed.model,
        };
        let version = call.started().await?;
        if parsed.stream {
            return Ok(stream_answer(call, renderer, version));
        }
        collect_answer(call, &renderer, &version).await
    }
}

async fn collect_answer(
    mut call: Call,
    renderer: &Renderer,
    version: &str,
) -> Result<Reply, Fault> {
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
            Part::Started(_) | Part::Response(_) => return Err(unexpected_part()),
        }
    }
}

fn stream_answer(call: Call, renderer: Renderer, version: String) -> Reply {
    let (sender, stream) = Body::channel();
    let mut reply = reply::render_answer(renderer.id, &version, "text/event-stream", stream);
    reply::set_outcome(&mut reply, STREAMING_OUTCOME);
    tokio::spawn(async move { relay(call, &renderer, &version, &sender).await });
    reply
}

/// Relays an answer until its end. If the caller leaves, the call is dropped, which cancels it.
async fn relay(mut call: Call, renderer: &Renderer, version: &str, sender: &mpsc::Sender<Bytes>) {
    loop {
        let Some(part) = next_part(&mut call, sender).await else {
            return;
        };
        let (event, is_last) = match part {
            Ok(Part::Text(texts)) => (renderer.render_chunk(&texts.concat(), version), false),
            Ok(Part::Finished(finish)) => (renderer.render_end(&finish, version), true),
            Ok(_) => (reply::render_error_event(&unexpected_part()), true),
            Err(fault) => (reply::render_error_event(&fault), true),
        };
        if sender.send(event.into()).await.is_err() || is_last {
            return;
        }
    }
}

/// Waits for the next part and sends comments meanwhile; returns `None` if the caller has left.
async fn next_part(call: &mut Call, sender: &mpsc::Sender<Bytes>) -> Option<Result<Part, Fault>> {
    let mut next = pin!(call.next());
    loop {
        tokio::select! {
            part = &mut next => return Some(part),
            () = sender.closed() => return None,
            () = time::sleep(KEEPALIVE_INTERVAL) => {
                // If the buffer is full, other data is on its way to a slow caller, so no comment is needed.
                let _ = sender.try_send(Bytes::from_static(KEEPALIVE_COMMENT));
            }
        }
    }
}

fn unexpected_part() -> Fault {
    Fault::unknown(Code::BackendFailed, "crossed answer")
}
