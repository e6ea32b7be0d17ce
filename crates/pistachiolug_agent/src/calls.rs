//! Calls that run at the backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body as Stream, server::Reply};
use pistachiolug_platform::{
    engine::{self, Chunk, Engine, Generate, Generation as _},
    plain::{self, Service},
};
use pistachiolug_wire::{
    call::{Body, Event, Finish, Generation, Open, Plain, Response as Answer, Tokens, Work},
    codec,
    fault::{Code, Fault},
    load::Load,
};
use tokio::sync::mpsc;

/// Runs calls; clones share the backend server.
#[derive(Debug, Clone)]
pub struct Calls<E, S> {
    engine: E,
    service: S,
}

impl<E: Engine, S: Service> Calls<E, S> {
    /// Creates the service for one backend server.
    pub fn new(engine: E, service: S) -> Self {
        Self { engine, service }
    }

    /// Opens a call and answers with its stream of events.
    pub fn open(&self, body: &[u8]) -> Reply {
        let Ok(open) = codec::decode::<Open>(body) else {
            let mut reply = Response::new(Stream::from("malformed call"));
            *reply.status_mut() = StatusCode::BAD_REQUEST;
            return reply;
        };
        let (sender, stream) = Stream::channel();
        let calls = self.clone();
        tokio::spawn(async move { calls.run(open, sender).await });
        let mut reply = Response::new(stream);
        reply.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/octet-stream"),
        );
        reply
    }

    async fn run(&self, open: Open, sender: mpsc::Sender<Bytes>) {
        let writer = Writer {
            call: open.id,
            sender,
        };
        let ended = match &open.work {
            Work::Model(generation) => self.generate(&open, generation, &writer).await,
            Work::Plain(plain) => self.call_plain(&open, plain, &writer).await,
        };
        if let Err(fault) = ended {
            writer.send(Body::Failed(fault)).await;
        }
    }

    async fn generate(
        &self,
        open: &Open,
        generation: &Generation,
        writer: &Writer,
    ) -> Result<(), Fault> {
        let call = Generate {
            id: open.id,
            path: generation.path.clone(),
            body: generation.body.clone(),
            version: generation.version.clone(),
            priority: 0,
            reached: generation.reached,
            prefix: generation.prefix.clone(),
        };
        let mut stream = self.engine.generate(&call).await.map_err(refusal)?;
        let version = generation.version.clone();
        writer.send(Body::Started { version }).await;
        loop {
            match stream.next().await.map_err(refusal)? {
                Chunk::Tokens { at, texts, version } if version == generation.version => {
                    writer.send(Body::Tokens(Tokens { at, texts })).await;
                }
                Chunk::Tokens { .. } => {
                    return Err(Fault::unknown(
                        Code::BackendFailed,
                        "engine changed its version",
                    ));
                }
                Chunk::Done {
                    reason,
                    prompt_tokens,
                    tokens,
                } => {
                    let finish = Finish {
                        tokens,
                        prompt_tokens,
                        reason,
                        load: Load::default(),
                    };
                    writer.send(Body::Finished(finish)).await;
                    return Ok(());
                }
            }
        }
    }

    async fn call_plain(&self, open: &Open, plain: &Plain, writer: &Writer) -> Result<(), Fault> {
        let within = Duration::from_millis(open.deadline_ms.into());
        let version = String::new();
        writer.send(Body::Started { version }).await;
        let response = self
            .service
            .call(plain, within)
            .await
            .map_err(plain_fault)?;
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let answer = Answer {
            status: response.status().as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: response.into_body(),
            replayed: false,
        };
        writer.send(Body::Response(answer)).await;
        Ok(())
    }
}

/// Writes the events of one call.
struct Writer {
    call: pistachiolug_wire::call::Id,
    sender: mpsc::Sender<Bytes>,
}

impl Writer {
    async fn send(&self, body: Body) {
        let event = Event {
            call: self.call,
            body,
        };
        // A closed channel means that the entry is gone.
        let _ = self.sender.send(codec::frame(&event)).await;
    }
}

fn refusal(error: engine::Error) -> Fault {
    let message = error.to_string();
    match error {
        engine::Error::Unreachable { .. } | engine::Error::Refused { .. } => {
            Fault::not_run(Code::Unavailable, Duration::from_secs(1), &message)
        }
        _ => Fault::unknown(Code::BackendFailed, &message),
    }
}

fn plain_fault(error: plain::Error) -> Fault {
    let message = error.to_string();
    match error {
        plain::Error::Unreachable { .. } => {
            Fault::not_run(Code::Unavailable, Duration::from_secs(1), &message)
        }
        plain::Error::Unknown { .. } => Fault::unknown(Code::BackendFailed, &message),
    }
}
