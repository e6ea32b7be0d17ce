//! Port for callers.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use pistachiolug_http::{
    body::Body,
    server::{Handler, Reply, Request},
};
use pistachiolug_lists::{force::Force, lists::Lists};
use pistachiolug_wire::{
    call::{Generation, Id, Open, Plain, Work},
    fault::{Code, Fault},
    outcome::{self, Outcome},
};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    call::{Part, Runner, Running},
    caller::{self, Caller},
    error,
    openai::{self, Api, Shape},
};

/// Serves callers; clones share the process's state.
#[derive(Debug, Clone)]
pub struct Door {
    /// Lists in force.
    pub force: Force,
    /// Calls.
    pub runner: Runner,
    /// Time a caller waits at most, in milliseconds.
    pub deadline_ms: u32,
}

impl Handler for Door {
    async fn handle(&self, request: Request) -> Reply {
        let lists = self.force.now();
        let id = Id(rand::random());
        let answered = self.answer(&lists, id, request).await;
        answered.unwrap_or_else(|fault| error::reply(&fault, Some(id)))
    }

    fn refuse(&self, status: StatusCode) -> Reply {
        let code = match status {
            StatusCode::SERVICE_UNAVAILABLE => Code::Overloaded,
            _ => Code::InvalidRequest,
        };
        let fault = Fault::not_run(code, Duration::from_secs(1), status.as_str());
        let mut reply = error::reply(&fault, None);
        *reply.status_mut() = status;
        reply
    }
}

impl Door {
    async fn answer(&self, lists: &Lists, id: Id, request: Request) -> Result<Reply, Fault> {
        let caller = caller::identify(lists, request.headers())
            .ok_or_else(|| refused(Code::InvalidKey, "unknown key"))?;
        let path = request.uri().path().to_owned();
        if path == "/v1/models" {
            return Ok(models(&caller));
        }
        if let Some(api) = Api::of(&path) {
            return self.generate(lists, id, &caller, api, &request).await;
        }
        if let Some(rest) = path.strip_prefix("/services/") {
            return self.call_plain(lists, id, &caller, rest, &request).await;
        }
        Err(refused(Code::NotFound, "no such path"))
    }

    async fn generate(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        api: Api,
        request: &Request,
    ) -> Result<Reply, Fault> {
        let body = request.body();
        let parsed: openai::Request = serde_json::from_slice(body)
            .map_err(|error| refused(Code::InvalidRequest, &error.to_string()))?;
        let model = lists
            .model(&parsed.model)
            .ok_or_else(|| refused(Code::NotFound, "no such model"))?;
        if !caller.plan.models.contains(&model.name) {
            return Err(refused(Code::NotInPlan, "plan lacks the model"));
        }
        let generation = Generation {
            model: model.name.clone(),
            version: model.version.clone(),
            path: request.uri().path().to_owned(),
            body: body.clone(),
            reached: 0,
            prefix: String::new(),
            estimate: openai::estimate(&parsed, body.len()),
            cache: None,
        };
        let open = self.open(lists, id, caller, &model.service, Work::Model(generation));
        let mut running = self.runner.open(&open).await?;
        let shape = Shape {
            api,
            id,
            model: parsed.model,
        };
        let version = started(&mut running).await?;
        if parsed.stream {
            return Ok(streamed(running, shape, version));
        }
        whole(running, &shape, &version).await
    }

    async fn call_plain(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        rest: &str,
        request: &Request,
    ) -> Result<Reply, Fault> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = lists
            .service(name)
            .ok_or_else(|| refused(Code::NotFound, "no such service"))?;
        if !caller.plan.services.contains(&service.name) {
            return Err(refused(Code::NotInPlan, "plan lacks the service"));
        }
        let path = format!("/{path}");
        let safe = matches!(*request.method(), Method::GET | Method::HEAD);
        let text = |name| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let plain = Plain {
            method: request.method().to_string(),
            idempotent: safe
                || service
                    .idempotent
                    .iter()
                    .any(|prefix| path.starts_with(prefix)),
            path,
            content_type: text("content-type").unwrap_or_default(),
            body: request.body().clone(),
            key: text("idempotency-key"),
        };
        let open = self.open(lists, id, caller, name, Work::Plain(plain));
        let mut running = self.runner.open(&open).await?;
        started(&mut running).await?;
        match running.next().await? {
            Part::Response(response) => Ok(plain_reply(id, response)),
            _ => Err(Fault::unknown(Code::BackendFailed, "no whole answer")),
        }
    }

    fn open(&self, lists: &Lists, id: Id, caller: &Caller, service: &str, work: Work) -> Open {
        Open {
            id,
            service: service.to_owned(),
            customer: caller.customer.name.clone(),
            plan: caller.plan.name.clone(),
            lists_revision: lists.revision(),
            deadline_ms: self.deadline_ms,
            content: work.content(service),
            work,
            join: false,
            crashes: 0,
            entry: None,
        }
    }
}

async fn started(running: &mut Running) -> Result<String, Fault> {
    match running.next().await? {
        Part::Started(version) => Ok(version),
        _ => Err(Fault::unknown(Code::BackendFailed, "answer without start")),
    }
}

async fn whole(mut running: Running, shape: &Shape, version: &str) -> Result<Reply, Fault> {
    let mut text = String::new();
    loop {
        match running.next().await? {
            Part::Text(texts) => text.extend(texts),
            Part::Finished(finish) => {
                let body = shape.whole(&text, &finish, version);
                return Ok(answered(shape.id, version, "application/json", body.into()));
            }
            Part::Started(_) | Part::Response(_) => {
                return Err(Fault::unknown(Code::BackendFailed, "crossed answer"));
            }
        }
    }
}

fn streamed(running: Running, shape: Shape, version: String) -> Reply {
    let (sender, stream) = Body::channel();
    let reply = answered(shape.id, &version, "text/event-stream", stream);
    tokio::spawn(async move { relay(running, &shape, &version, &sender).await });
    reply
}

async fn relay(mut running: Running, shape: &Shape, version: &str, sender: &mpsc::Sender<Bytes>) {
    loop {
        let (event, last) = match running.next().await {
            Ok(Part::Text(texts)) => (shape.chunk(&texts.concat(), version), false),
            Ok(Part::Finished(finish)) => (shape.last(&finish, version), true),
            Ok(_) => (String::new(), false),
            Err(fault) => (
                format!("event: error\ndata: {}\n\n", error::body(&fault)),
                true,
            ),
        };
        if sender.send(event.into()).await.is_err() || last {
            return;
        }
    }
}

fn answered(id: Id, version: &str, content_type: &str, body: Body) -> Reply {
    Response::builder()
        .header(header::CONTENT_TYPE, content_type)
        .header(outcome::HEADER, Outcome::Answered.as_str())
        .header(outcome::VERSION_HEADER, version)
        .header(outcome::CALL_HEADER, id.to_string())
        .body(body)
        .unwrap_or_else(|_| Response::new(Body::from("")))
}

fn plain_reply(id: Id, response: pistachiolug_wire::call::Response) -> Reply {
    let mut reply = answered(id, "", &response.content_type, Body::from(response.body));
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}

fn models(caller: &Caller) -> Reply {
    let rows: Vec<_> = caller
        .plan
        .models
        .iter()
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    let body = json!({ "object": "list", "data": rows }).to_string();
    answered(Id(0), "", "application/json", body.into())
}

fn refused(code: Code, message: &str) -> Fault {
    Fault::not_run(code, Duration::ZERO, message)
}
