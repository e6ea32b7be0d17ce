//! Scripted agents, a runner that sends calls to them, and the messages of the scripts.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use pistachiolug_entry::{
    agent_client::AgentClient, call::Runner, metrics::Metrics, router::Router,
};
use pistachiolug_http::{
    body::Body as Stream,
    limit::Limit,
    secret::Secret,
    server::{Handler, Reply, Request, Server},
};
use pistachiolug_membership::view::View;
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::{
    call::{Body, Event, Finish, Generation, Id, Open, Plain, Response as Answer, Tokens, Work},
    codec,
    digest::Digest,
    fault::{Code, Fault},
    instance::{Instance, Place, Role, State},
    load::Load,
    revoke::{Cancel, Revoke, Verdict},
};
use tokio::sync::mpsc;

/// One step of a scripted answer.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Sends an event.
    Send(Body),
    /// Sends an event with the id of another call.
    WrongCall,
    /// Keeps the connection open and sends nothing more.
    Silence,
    /// Sends heartbeats until the entry disconnects.
    Wait,
}

/// Scripts that an agent has left and requests that it received.
#[derive(Debug, Default)]
pub(crate) struct Record {
    scripts: VecDeque<Vec<Step>>,
    verdicts: VecDeque<Verdict>,
    /// Messages that opened or joined a call.
    pub(crate) opens: Vec<Open>,
    /// Requests to revoke a call.
    pub(crate) revokes: Vec<Revoke>,
    /// Requests to cancel a call.
    pub(crate) cancels: Vec<Cancel>,
}

/// Scripted agent. The stream is closed at the end of a script.
#[derive(Debug, Clone, Default)]
pub(crate) struct Agent {
    record: Arc<Mutex<Record>>,
}

impl Agent {
    /// Creates an agent that plays one script per open or join and gives one verdict per revoke.
    ///
    /// When none is left, it answers 500.
    pub(crate) fn new(scripts: &[Vec<Step>], verdicts: &[Verdict]) -> Self {
        let record = Record {
            scripts: scripts.iter().cloned().collect(),
            verdicts: verdicts.iter().copied().collect(),
            ..Record::default()
        };
        Self {
            record: Arc::new(Mutex::new(record)),
        }
    }

    /// Starts the HTTP server of the agent.
    pub(crate) fn serve(&self) -> Server {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Server::bind(address, 1, Limit::default(), self.clone()).expect("port is free")
    }

    /// Returns the requests that the agent received.
    pub(crate) fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no scripted agent panics")
    }

    fn open(&self, body: &[u8]) -> Reply {
        let open: Open = codec::decode(body).expect("calls are well formed");
        let mut record = self.record();
        let script = record.scripts.pop_front();
        let call = open.id;
        record.opens.push(open);
        let Some(script) = script else {
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let (sender, stream) = Stream::channel();
        tokio::spawn(async move { play_script(script, call, sender).await });
        Response::new(stream)
    }

    fn revoke(&self, body: &[u8]) -> Reply {
        let mut record = self.record();
        let revoke = codec::decode(body).expect("revokes are well formed");
        record.revokes.push(revoke);
        match record.verdicts.pop_front() {
            Some(verdict) => Response::new(codec::encode(&verdict).into()),
            None => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

impl Handler for Agent {
    async fn handle(&self, request: Request) -> Reply {
        match request.uri().path() {
            "/internal/call" => self.open(request.body()),
            "/internal/revoke" => self.revoke(request.body()),
            "/internal/cancel" => {
                let cancel = codec::decode(request.body()).expect("cancels are well formed");
                self.record().cancels.push(cancel);
                Response::new(codec::encode(&Verdict::Started).into())
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

async fn play_script(script: Vec<Step>, call: Id, sender: mpsc::Sender<Bytes>) {
    for step in script {
        let event = match step {
            Step::Send(body) => Event { call, body },
            Step::WrongCall => Event {
                call: Id(call.0 ^ 1),
                body: tokens(0, &["stray"]),
            },
            Step::Silence => {
                sender.closed().await;
                return;
            }
            Step::Wait => loop {
                let body = Body::Heartbeat(Load::default());
                if sender
                    .send(codec::encode_frame(&Event { call, body }))
                    .await
                    .is_err()
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            },
        };
        if sender.send(codec::encode_frame(&event)).await.is_err() {
            return;
        }
    }
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Stream::from(""));
    *reply.status_mut() = status;
    reply
}

/// Returns a runner that prefers the agent at `near` and then uses the one at `far`, which is in another zone.
pub(crate) fn runner(near: SocketAddr, far: SocketAddr) -> Runner {
    let agents = [("near", "midrand", near), ("far", "pinetown", far)];
    let instances = agents.map(|(name, zone, address)| Instance {
        name: name.to_owned(),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address,
        place: place(zone),
        state: State::Live,
    });
    let view = View::default();
    view.replace(Snapshot {
        version: 1,
        instances: instances.to_vec(),
    });
    let router = Router::new(view, "entry-0", place("midrand"));
    let metrics = Metrics::new(&prometheus::Registry::new()).expect("names are free");
    let remote = AgentClient::new(Secret::new("secret"));
    Runner::new(router, remote, metrics, None)
}

fn place(zone: &str) -> Place {
    Place {
        region: "gauteng".to_owned(),
        zone: zone.to_owned(),
    }
}

/// Returns an address at which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("port is free");
    listener.local_addr().expect("listener has an address")
}

/// Returns the message that opens a call with a random id.
pub(crate) fn open(work: Work) -> Open {
    Open {
        id: Id(rand::random()),
        service: "assistant".to_owned(),
        customer: "paid".to_owned(),
        plan: "paid".to_owned(),
        lists_revision: 1,
        deadline_ms: 20_000,
        content: Digest::of(b""),
        work,
        join: false,
        crashes: 0,
        entry: None,
    }
}

/// Returns a call to a model.
pub(crate) fn generation() -> Work {
    Work::Model(Generation {
        model: "pasta".to_owned(),
        version: String::new(),
        path: "/v1/completions".to_owned(),
        body: Bytes::from_static(b"{}"),
        reached: 0,
        prefix: String::new(),
        estimate: 10,
        cache: None,
    })
}

/// Returns a call to a plain service.
pub(crate) fn plain(idempotent: bool) -> Work {
    Work::Plain(Plain {
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        content_type: String::new(),
        body: Bytes::from_static(b"{}"),
        key: None,
        idempotent,
    })
}

/// Returns the start of an answer as a step.
pub(crate) fn started(version: &str) -> Step {
    Step::Send(Body::Started {
        version: version.to_owned(),
    })
}

/// Returns the event body with tokens from index `at` on.
pub(crate) fn tokens(at: u32, texts: &[&str]) -> Body {
    Body::Tokens(Tokens {
        at,
        texts: texts.iter().map(|text| (*text).to_owned()).collect(),
    })
}

/// Returns tokens from index `at` on as a step.
pub(crate) fn text(at: u32, texts: &[&str]) -> Step {
    Step::Send(tokens(at, texts))
}

/// Returns the end of an answer of `tokens` tokens as a step.
pub(crate) fn finished(tokens: u32) -> Step {
    Step::Send(Body::Finished(Finish {
        tokens,
        prompt_tokens: 1,
        reason: "stop".to_owned(),
        load: Load::default(),
    }))
}

/// Returns the complete answer of a plain service as a step.
pub(crate) fn response(body: &'static str) -> Step {
    Step::Send(Body::Response(Answer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Bytes::from_static(body.as_bytes()),
        replayed: false,
    }))
}

/// Returns a fault with outcome `not-run` as a step.
pub(crate) fn not_run(code: Code) -> Step {
    Step::Send(Body::Failed(Fault::not_run(
        code,
        Duration::from_secs(3),
        "refused",
    )))
}

/// Returns a fault with outcome `unknown` as a step.
pub(crate) fn unknown(code: Code) -> Step {
    Step::Send(Body::Failed(Fault::unknown(code, "failed")))
}
