//! Explains where a request would go now and why, without sending it.
//!
//! The report comes from the code that places requests. It holds no key and no part of a prompt.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, request};
use pistachiolug_wire::digest::Digest;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    acquire::{self, Admission},
    admission::Decision,
    call::Call,
    config::{Authorized, Config, Denial},
    fingerprint::Fingerprint,
    headers,
    payload::Content,
    pool::{Exclusion, Explanation, Requirements},
    prefix::Prefix,
    prefix_cache::Evidence,
    receive,
    selection::{self, Candidate},
    state::{State, find_engine},
    versions::millis,
};

/// Path of the report at the internal port; the query has the fields of the request.
pub const PATH: &str = "/debug/explain";

/// Number of times that the server is chosen. The choice is random in part, so the report says how often each server is
/// chosen.
const DRAWS: usize = 64;

/// Reason for which there is no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The entry has no configuration yet.
    Starting,
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a workspace, and the query names none that the configuration has.
    NoWorkspace,
    /// The route does not lead to the named service.
    NoService,
    /// A field has a value that is not valid in a header.
    Malformed,
}

impl Refusal {
    /// Returns the reason as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "the entry has no configuration yet",
            Self::NoRoute => "no route matches the host and path",
            Self::NoWorkspace => "the route needs a workspace of the configuration",
            Self::NoService => "the route does not lead to the service",
            Self::Malformed => "a field is not valid in a header",
        }
    }
}

/// Fields of the request, from the query of a URL.
#[derive(Debug, Default)]
struct Query {
    host: String,
    path: String,
    /// Name of the workspace.
    workspace: Option<String>,
    /// Service among the route's targets; picked as for a request if absent.
    service: Option<String>,
    model: Option<String>,
    /// Tokens of the prompt and largest number of tokens of the answer, separated by a comma.
    tokens: Option<String>,
    /// Parts of the prompt, as in the request's header.
    prefix: Option<String>,
    /// Whether it is a caller's retry, which can't be answered on time any more.
    is_late: bool,
}

impl Query {
    fn parse(query: &str) -> Self {
        let mut parsed = Self::default();
        for field in query.split('&') {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            let value = percent_decode(value);
            match name {
                "host" => parsed.host = value,
                "path" => parsed.path = value,
                "workspace" => parsed.workspace = Some(value),
                "service" => parsed.service = Some(value),
                "model" => parsed.model = Some(value),
                "tokens" => parsed.tokens = Some(value),
                "prefix" => parsed.prefix = Some(value),
                "late" => parsed.is_late = value != "0",
                _ => {}
            }
        }
        parsed
    }

    /// Returns the head that a request with these fields has.
    fn head(&self, state: &State) -> Result<request::Parts, Refusal> {
        let names = &state.options.names;
        let mut headers = http::HeaderMap::new();
        let mut insert = |name: &HeaderName, value: &Option<String>| {
            if let Some(value) = value {
                let value = HeaderValue::from_str(value).map_err(|_| Refusal::Malformed)?;
                headers.insert(name.clone(), value);
            }
            Ok(())
        };
        insert(&names.model, &self.model)?;
        insert(&names.tokens, &self.tokens)?;
        insert(&names.prefix, &self.prefix)?;
        let (mut head, ()) = Request::new(()).into_parts();
        head.headers = headers;
        Ok(head)
    }
}

/// Decodes percent-encoded text of a URL (RFC 3986, section 2.1); malformed sequences stay as they are.
fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the report on a request that the query of a URL describes.
///
/// # Errors
/// [`Refusal`] if the query describes no request that the entry would place.
pub fn report(state: &Rc<State>, query: &str) -> Result<Value, Refusal> {
    let query = Query::parse(query);
    let config = state.config().ok_or(Refusal::Starting)?;
    let call = build_call(state, &config, &query)?;
    let requirements = call.requirements(state, &[]);
    let rank = call.rank();
    let ahead = state.count_preceding(&requirements, rank);
    let is_next = state.is_next(&requirements, rank);
    let now = state.now();
    let engine = find_engine(&config, &call.service);
    let location = &state.options.location;
    let (servers, draws) = state.with_pool(|pool| {
        let mut random = rand::rng();
        let draws: Vec<Arc<str>> = (0..DRAWS)
            .filter_map(|_| pool.choose(&requirements, engine, location, now, &mut random))
            .map(|choice| choice.record.id)
            .collect();
        let servers = pool.explain(&requirements, engine, location, now, &mut random);
        (servers, draws)
    });
    let has_slot = is_next && !draws.is_empty();
    let admission = acquire::admit(state, &call, &requirements, ahead);
    Ok(json!({
        "route": &*call.authorized.route.name,
        "workspace": call.authorized.workspace.as_ref().map(|workspace| &*workspace.name),
        "service": &*call.service,
        "model": call.model.as_deref(),
        "priority": call.authorized.priority(),
        "prompt_tokens": requirements.prompt_tokens,
        "late": requirements.is_late,
        "target_version": requirements.target_version,
        "oldest_version": requirements.min_version,
        "configuration": config.version(),
        "rows_age_ms": rows_age(state).map(millis),
        "ahead": ahead,
        "decision": if has_slot { "place" } else { decision_name(&admission.decision) },
        "admission": describe_admission(&admission),
        "prefixes": describe_prefixes(state, &requirements),
        "draws": DRAWS,
        "servers": describe_servers(&servers, &draws),
    }))
}

/// Builds a call that has the fields of the query, an empty body and no key. It counts as open only until it is dropped.
fn build_call(state: &Rc<State>, config: &Config, query: &Query) -> Result<Call, Refusal> {
    let authorized = authorize(config, query)?;
    let route = &authorized.route;
    let service = match &query.service {
        None => Arc::clone(route.pick_service(&mut rand::rng())),
        Some(name) => {
            let mut targets = route.targets.iter();
            let target = targets.find(|target| *target.service == **name);
            Arc::clone(&target.ok_or(Refusal::NoService)?.service)
        }
    };
    let names = &state.options.names;
    let head = query.head(state)?;
    let model: Option<Arc<str>> = find_engine(config, &service)
        .and_then(|_| headers::text(&head.headers, &names.model))
        .map(Arc::from);
    let prefix = Prefix::from_headers(&head.headers, names);
    let content = Digest::of(&[]);
    Ok(Call {
        id: String::new(),
        body: Content::new(Bytes::new(), false),
        content,
        fingerprint: Fingerprint::new(content, "", &prefix),
        config_version: config.version(),
        service,
        tokens: headers::tokens(&head.headers, names),
        prompt: receive::read_prompt(route, model.as_deref(), &head.headers, names),
        prefix,
        model,
        arrived: Instant::now(),
        deadline: state.now() + route.timeout,
        is_first_attempt: !query.is_late,
        open_request: state.open_request(),
        authorized,
        head,
    })
}

fn authorize(config: &Config, query: &Query) -> Result<Authorized, Refusal> {
    let workspace = query.workspace.as_deref();
    let authorized = config.authorize_workspace(&query.host, &query.path, workspace);
    authorized.map_err(|denial| match denial {
        Denial::NoRoute => Refusal::NoRoute,
        Denial::BadKey => Refusal::NoWorkspace,
    })
}

fn rows_age(state: &State) -> Option<Duration> {
    let answered_at = state.with_rows(|rows| rows.answered_at());
    answered_at.map(|at| state.now().saturating_sub(at))
}

fn decision_name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Wait(_) => "wait",
        Decision::Refuse => "refuse",
    }
}

fn describe_admission(admission: &Admission) -> Value {
    let max_wait = match admission.decision {
        Decision::Wait(max_wait) => Some(max_wait),
        Decision::Refuse => None,
    };
    json!({
        "without_slot": decision_name(&admission.decision),
        "max_wait_ms": max_wait.map(millis),
        "servable": admission.servable,
        "placeable": admission.is_placeable,
        "reopens_in_ms": admission.reopens_in.map(millis),
        "limit": admission.limit,
        "freed_per_second": admission.rates.freed_per_second,
        "first_attempts_per_second": admission.rates.first_attempts_per_second,
    })
}

/// Returns whether prefixes are weighed for the service; null if the request has no prompt with shared parts.
fn describe_prefixes(state: &State, requirements: &Requirements) -> Value {
    if requirements.prompt.is_empty() {
        return Value::Null;
    }
    let now = state.now();
    state.with_pool(|pool| {
        let evidence = pool.prefix_evidence(&requirements.service);
        json!({
            "phase": evidence.map_or("testing", |evidence| evidence.phase(now).as_str()),
            "share": evidence.map(Evidence::share),
            "range_tokens": evidence.map(Evidence::range),
        })
    })
}

fn describe_servers(servers: &[Explanation], draws: &[Arc<str>]) -> Value {
    let describe = |server: &Explanation| {
        let chosen = draws.iter().filter(|id| **id == server.id).count();
        json!({
            "id": &*server.id,
            "zone": &*server.zone,
            "excluded": server.exclusion.map(Exclusion::as_str),
            "chosen": chosen,
            "cost": server.candidate.as_ref().map(describe_cost),
            "calls": server.calls,
            "slowdown": server.slowdown,
            "held_tokens": server.held.tokens,
            "held_age_ms": (server.held.tokens > 0).then_some(millis(server.held.age)),
            "models_age_ms": millis(server.models_age),
        })
    };
    servers.iter().map(describe).collect()
}

fn describe_cost(candidate: &Candidate) -> Value {
    json!({
        "total_ms": selection::cost_ms(candidate),
        "expected_wait_ms": candidate.expected_wait_ms,
        "failure_rate": candidate.failure_rate,
        "upcoming_load_ms": candidate.upcoming_load.cost_ms(),
        "distance_ms": candidate.distance.cost_ms(),
        "saving_ms": candidate.saving_ms,
    })
}
