//! One request of a caller, from its arrival to its end.

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{Request, header, request};
use pistachiolug_wire::digest::Digest;
use tokio::time::Instant;

use crate::{
    config::{Authorized, Config, Kind},
    deadline::{self, Passed},
    fingerprint::Fingerprint,
    headers::{self, Outgoing, Tokens},
    names::Names,
    payload::{Content, Payload},
    permit::{OpenRequest, Permit},
    pool::Requirements,
    prefix::Prefix,
    prefix_cache::Prompt,
    queue::Rank,
    reservation::Reserve,
    state::State,
};

/// Amount by which the priority value of a caller's retry is raised at engines; larger values are served later.
const LATE_PRIORITY_PENALTY: u8 = 4;

/// Largest priority value that engines accept.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// Request of a caller that was accepted.
#[derive(Debug)]
pub struct Call {
    /// Id of the caller's attempt, from the request's header; empty if it has none.
    pub id: String,
    /// Head as the caller sent it.
    pub head: request::Parts,
    /// Whole body.
    pub body: Rc<Content>,
    /// Digest of what stays the same when the caller sends the request again: method, host, path, workspace and body.
    pub content: Digest,
    /// Content and shared parts of the prompt, by which the cause of crashes is recognized.
    pub fingerprint: Fingerprint,
    /// Route and workspace.
    pub authorized: Authorized,
    /// Version of the configuration that they are from.
    pub config_version: u64,
    /// Service that was picked among the route's targets.
    pub service: Arc<str>,
    /// Model; `None` for requests to plain services.
    pub model: Option<Arc<str>>,
    /// Size in tokens, as the caller states it.
    pub tokens: Tokens,
    /// Shared parts of the prompt, as the caller states them.
    pub prefix: Prefix,
    /// Chain of the prompt's parts; empty unless the route says that prompts have shared parts.
    pub prompt: Prompt,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the entry has to answer, as time of [`State::now`]; shortly before the caller's own deadline.
    pub deadline: Duration,
    /// Whether it is the caller's first attempt, which can still be answered on time.
    pub is_first_attempt: bool,
    /// Counts the request as open while it lives.
    pub open_request: OpenRequest,
}

impl Call {
    /// Returns the time until the deadline, or until the last answers before the process ends; zero after it.
    pub fn time_left(&self) -> Duration {
        let state = &self.open_request.state;
        let deadline = state.bound_by_stop(self.deadline);
        deadline.saturating_sub(state.now())
    }

    /// Waits for a future until the deadline.
    ///
    /// # Errors
    /// [`Passed`] if the future is not ready then.
    pub async fn run_until_deadline<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, Passed> {
        deadline::run_until(&self.open_request.state, self.deadline, future).await
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns the conditions that a server has to meet now.
    ///
    /// # Arguments
    /// `tried` are the ids of the servers that were already sent the request.
    pub fn requirements(&self, state: &State, tried: &[Arc<str>]) -> Requirements {
        let mut requirements = Requirements {
            service: Arc::clone(&self.service),
            target_version: None,
            min_version: None,
            min_version_behind_congestion: None,
            model: self.model.clone(),
            prompt_tokens: self.tokens.prompt,
            tried: tried.to_vec(),
            is_late: !self.is_first_attempt,
            priority: self.authorized.priority(),
            workspace: self
                .authorized
                .workspace
                .as_ref()
                .map(|workspace| Arc::clone(&workspace.name)),
            reserve: Reserve::default(),
            is_exempt: false,
            zones: state.zones(self),
            freed_server: None,
            // A repeated send is rare, and its time to the first event is not comparable.
            prompt: if tried.is_empty() {
                self.prompt.clone()
            } else {
                Prompt::default()
            },
        };
        state.update_versions(&mut requirements);
        state.update_reservation(&mut requirements);
        requirements
    }

    /// Gives the memory of the body back once a server has begun to answer, unless the request may be sent again.
    pub fn release_body(&self) {
        let route = &self.authorized.route;
        if !route.is_repeatable() && !route.resumable {
            self.body.release();
        }
    }

    /// Returns the route and workspace of the request in a configuration; `None` if it does not allow the request.
    pub fn authorize(&self, config: &Config, names: &Names) -> Option<Authorized> {
        let host = headers::text(&self.head.headers, &header::HOST).or(self.head.uri.host());
        let key = headers::text(&self.head.headers, &names.key);
        let authorized = config.authorize(host.unwrap_or_default(), self.head.uri.path(), key);
        authorized.ok()
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.authorized.route.kind == Kind::Stream
    }

    /// Returns the request's rank in a queue.
    pub fn rank(&self) -> Rank {
        Rank {
            is_late: !self.is_first_attempt,
            priority: self.authorized.priority(),
        }
    }

    /// Returns the priority at an engine; `None` for requests to plain services.
    fn engine_priority(&self) -> Option<u8> {
        self.model.as_ref()?;
        let penalty = if self.is_first_attempt {
            0
        } else {
            LATE_PRIORITY_PENALTY
        };
        Some(
            self.authorized
                .priority()
                .saturating_add(penalty)
                .min(MAX_ENGINE_PRIORITY),
        )
    }

    /// Builds the request that is sent to a server.
    ///
    /// # Arguments
    /// `last_event` is the id of the last event that the caller has, if a stream is resumed.
    pub fn build_request(
        &self,
        state: &State,
        permit: &Permit,
        last_event: Option<u64>,
    ) -> Request<Payload> {
        let model = self.model.as_deref();
        let send = Outgoing {
            authorized: &self.authorized,
            choice: &permit.choice,
            time_left: self.time_left(),
            version: model.and_then(|model| {
                let held = permit.choice.record.version(model)?;
                state.is_version_required(model, held).then_some(held)
            }),
            priority: self.engine_priority(),
            last_event,
        };
        let headers = headers::build(&self.head, &state.options.names, &send);
        let mut request = Request::new(Payload::new(&self.body));
        *request.method_mut() = self.head.method.clone();
        // The request line holds only the path; the host stays in its header.
        if let Some(path) = self.head.uri.path_and_query() {
            *request.uri_mut() = path.as_str().parse().unwrap_or_default();
        }
        *request.headers_mut() = headers;
        request
    }
}
