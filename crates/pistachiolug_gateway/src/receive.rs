//! Reception of a request: its route, workspace, body and deadline.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, header, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pistachiolug_http::connections::{Activity, Stage};
use pistachiolug_wire::digest::Digest;
use rand::RngExt;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    admission,
    call::Call,
    config::{Authorized, Config, Denial, Kind, Limits, Route},
    deadline,
    fingerprint::Fingerprint,
    headers,
    intake::Refusal,
    names::Names,
    payload::Content,
    prefix::Prefix,
    prefix_cache::Prompt,
    reply::Reason,
    state::{State, find_engine},
};

/// Time before the caller's deadline at which the entry answers itself, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Longest time for which the body of a denied request is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Retry delay for callers of an entry that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Denial of a request before it is assigned to a server; it did not and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied {
    /// Reason of the answer.
    pub reason: Reason,
    /// Time after which the caller may come again.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Denied {
    fn from(reason: Reason) -> Self {
        let retry_after = (reason == Reason::Starting).then_some(STARTING_RETRY_AFTER);
        Self {
            reason,
            retry_after,
        }
    }
}

/// Looks up a request's route and workspace and reads its body.
///
/// # Errors
/// Returns the reason for the denial.
pub async fn receive(
    state: &Rc<State>,
    head: request::Parts,
    mut body: Incoming,
    id: &str,
    arrived: Instant,
) -> Result<Call, Denied> {
    let open_request = state.open_request();
    let activity = head.extensions.get::<Activity>();
    // No server has the request until its body is whole, so its connection may be closed for others.
    let begin = |stage| activity.iter().for_each(|activity| activity.begin(stage));
    if !body.is_end_stream() {
        begin(Stage::Body);
    }
    let config = state.config().ok_or(Reason::Starting);
    let allowed = config.and_then(|config| {
        let authorized = authorize(&config, state, &head)?;
        Ok((config, authorized))
    });
    let (config, authorized) = match allowed {
        Ok(allowed) => allowed,
        Err(reason) => {
            discard_body(body, arrived + DISCARD_TIME).await;
            return Err(reason.into());
        }
    };
    let names = &state.options.names;
    let route = &authorized.route;
    let time_limit = headers::time_limit(&head.headers, names).unwrap_or(route.timeout);
    let deadline = state.now() + time_limit.min(route.timeout).saturating_sub(ANSWER_MARGIN);
    let read = read_body(state, &mut body, config.limits());
    let read = deadline::run_until(state, deadline, read).await;
    let read = read.unwrap_or_else(|_| {
        let is_stop_over = state.is_stop_over();
        Err(if is_stop_over {
            Reason::Stopping
        } else {
            Reason::BadBody
        })
    });
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(reason) => {
            discard_body(body, Instant::now() + DISCARD_TIME).await;
            let time_left = deadline.saturating_sub(state.now());
            let point = rand::rng().random_range(0.0..1.0);
            let retry_after = admission::retry_after(time_left, None, point);
            let retry_after = (reason == Reason::NoMemory).then_some(retry_after);
            return Err(Denied {
                reason,
                retry_after,
            });
        }
    };
    begin(Stage::Busy);
    let is_first_attempt = state.record_time_limit(&route.name, time_limit);
    let service = Arc::clone(route.pick_service(&mut rand::rng()));
    let model = find_engine(&config, &service)
        .and_then(|_| headers::text(&head.headers, &names.model))
        .map(Arc::from);
    let tokens = headers::tokens(&head.headers, names);
    let prefix = Prefix::from_headers(&head.headers, names);
    let prompt = read_prompt(route, model.as_deref(), &head.headers, names);
    state.count_request(&service);
    let content = digest_content(&head, &authorized, &bytes);
    let named_model = headers::text(&head.headers, &names.model).unwrap_or_default();
    let fingerprint = Fingerprint::new(content, named_model, &prefix);
    let body = Content::new(bytes, authorized.route.attempts <= 1);
    Ok(Call {
        id: id.to_owned(),
        head,
        body,
        content,
        fingerprint,
        authorized,
        config_version: config.version(),
        service,
        model,
        tokens,
        prefix,
        prompt,
        arrived,
        deadline,
        is_first_attempt,
        open_request,
    })
}

/// Reads the chain of a prompt's parts; empty unless the route says that prompts have shared parts, and that answers are
/// streams, whose first events show what a server held.
pub(crate) fn read_prompt(
    route: &Route,
    model: Option<&str>,
    headers: &HeaderMap,
    names: &Names,
) -> Prompt {
    match model {
        Some(model) if route.shares_prompts && route.kind == Kind::Stream => {
            Prompt::from_headers(headers, names, model)
        }
        _ => Prompt::default(),
    }
}

/// Computes the digest by which a request that comes again, at any entry, is recognized.
fn digest_content(head: &request::Parts, authorized: &Authorized, body: &[u8]) -> Digest {
    let workspace = authorized.workspace.as_ref();
    let path = head.uri.path_and_query();
    Digest::of_parts(&[
        head.method.as_str().as_bytes(),
        authorized.route.host.as_bytes(),
        path.map_or("", |path| path.as_str()).as_bytes(),
        workspace.map_or("", |workspace| &workspace.name).as_bytes(),
        body,
    ])
}

fn authorize(config: &Config, state: &State, head: &request::Parts) -> Result<Authorized, Reason> {
    let host = headers::text(&head.headers, &header::HOST).or(head.uri.host());
    let key = headers::text(&head.headers, &state.options.names.key);
    let authorized = config.authorize(host.unwrap_or_default(), head.uri.path(), key);
    authorized.map_err(|denial| match denial {
        Denial::NoRoute => Reason::NoRoute,
        Denial::BadKey => Reason::BadKey,
    })
}

/// Reads the body of a denied request. If the connection were closed before, the reset would meet a caller that is still
/// sending, which then may not see the answer.
async fn discard_body(mut body: Incoming, until: Instant) {
    let discard = async { while let Some(Ok(_)) = body.frame().await {} };
    // The answer is the same if the body takes longer.
    let _ = timeout_at(until, discard).await;
}

/// Reads the body of a request within the limits and the memory for all bodies.
async fn read_body(state: &State, body: &mut Incoming, limits: Limits) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reception = state.intake.begin(limits.body_bytes, state.now());
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        reception.reserve(length, state.now())?;
    }
    loop {
        let frame = tokio::select! {
            frame = timeout(limits.idle_timeout, body.frame()) => frame,
            () = reception.wait_dropped() => return Err(Reason::NoMemory),
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                // Trailers have no effect here.
                if let Some(data) = frame.data_ref() {
                    reception.push(data, state.now())?;
                }
            }
            Ok(None) => return Ok(reception.finish()?),
            Ok(Some(Err(_))) | Err(_) => return Err(Reason::BadBody),
        }
    }
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::TooLarge => Self::TooLarge,
            Refusal::NoMemory => Self::NoMemory,
        }
    }
}
