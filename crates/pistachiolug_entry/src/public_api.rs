//! HTTP interface for callers.

use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header};
use pistachiolug_http::server::{Handler, Reply, Request};
use pistachiolug_kernel::phase::{Control, Phase};
use pistachiolug_lists::{active::ActiveLists, lists::Lists};
use pistachiolug_routing::suspect::{self, Decision};
use pistachiolug_wire::{
    call::{Id, Open, Work},
    fault::{Code, Fault},
};
use serde_json::json;

use crate::{
    call::Runner,
    caller::{self, Caller},
    openai::Api,
    reply,
};

/// Request header with the longest time in milliseconds that the caller waits.
pub const DEADLINE_HEADER: &str = "x-pistachiolug-deadline-ms";

/// Time after which a caller may retry if the entry is overloaded or starting.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handler of the requests of callers; clones share the state of the process.
#[derive(Debug, Clone)]
pub struct PublicApi {
    /// Lists by which callers, models and services are found.
    pub active_lists: ActiveLists,
    /// Runner of the calls.
    pub runner: Runner,
    /// Phase of the process; from [`Phase::Draining`] on, each reply closes its connection.
    pub control: Control,
    /// Longest time that a caller may wait, in milliseconds.
    pub deadline_ms: u32,
}

impl Handler for PublicApi {
    async fn handle(&self, request: Request) -> Reply {
        let id = Id(rand::random());
        let mut reply = if let Some(method) = allowed_method(&request) {
            reply::method_not_allowed(id, method)
        } else {
            let lists = self.active_lists.current();
            let result = self.route(&lists, id, &request).await;
            result.unwrap_or_else(|fault| reply::render_fault(&fault, Some(id)))
        };
        if self.control.phase() >= Phase::Draining {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    fn refuse(&self, status: StatusCode) -> Reply {
        let (code, message) = match status {
            StatusCode::SERVICE_UNAVAILABLE => (Code::Overloaded, "too many requests at once"),
            StatusCode::PAYLOAD_TOO_LARGE => (Code::InvalidRequest, "the body is too large"),
            StatusCode::REQUEST_TIMEOUT => (Code::InvalidRequest, "the body came too slowly"),
            _ => (Code::InvalidRequest, "the body was cut short"),
        };
        let wait = match code {
            Code::Overloaded => RETRY_AFTER,
            _ => Duration::ZERO,
        };
        let mut reply = reply::render_fault(&Fault::not_run(code, wait, message), None);
        *reply.status_mut() = status;
        // Closing the connection keeps the rest of the body from being read as the next request.
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
        reply
    }
}

impl PublicApi {
    async fn route(&self, lists: &Lists, id: Id, request: &Request) -> Result<Reply, Fault> {
        if !self.active_lists.is_ready() {
            let message = "the lists are not read yet";
            return Err(Fault::not_run(Code::Unavailable, RETRY_AFTER, message));
        }
        let caller = caller::identify(lists, request.headers())
            .ok_or_else(|| refusal(Code::InvalidKey, "missing, unknown or revoked key"))?;
        let path = request.uri().path();
        if path == "/v1/models" {
            return Ok(list_models(lists, id, &caller));
        }
        if let Some(api) = Api::from_path(path) {
            return self.generate(lists, id, &caller, api, request).await;
        }
        if let Some(service_path) = path.strip_prefix("/services/") {
            return self
                .call_plain(lists, id, &caller, service_path, request)
                .await;
        }
        Err(refusal(Code::NotFound, "no such path"))
    }

    /// Builds the message that opens a call.
    ///
    /// # Errors
    /// Returns a fault if the same content has crashed too many backend servers.
    pub(crate) fn build_open(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        service: &str,
        work: Work,
    ) -> Result<Open, Fault> {
        let content = work.content_digest(service);
        let crashes = lists.suspect(&content).map_or(0, |row| row.count());
        let crashes = u8::try_from(crashes).unwrap_or(u8::MAX);
        if suspect::decide(crashes) == Decision::Refuse {
            let message = "the request crashed the backend servers that ran it";
            return Err(refusal(Code::CrashSuspect, message));
        }
        Ok(Open {
            id,
            service: service.to_owned(),
            customer: caller.customer.name.clone(),
            plan: caller.plan.name.clone(),
            lists_revision: lists.revision(),
            deadline_ms: self.deadline_ms,
            content,
            work,
            join: false,
            crashes,
            entry: None,
        })
    }

    /// Returns the time limit of a call in milliseconds: the one in its header, but at most the one of the settings.
    ///
    /// # Errors
    /// Returns a fault if the header is not a whole number above 0.
    pub(crate) fn deadline_ms(&self, request: &Request) -> Result<u32, Fault> {
        let Some(value) = request.headers().get(DEADLINE_HEADER) else {
            return Ok(self.deadline_ms);
        };
        let text = value.to_str().unwrap_or_default();
        match text.parse::<u32>() {
            Ok(requested) if requested > 0 => Ok(requested.min(self.deadline_ms)),
            _ => {
                let rule =
                    format!("{DEADLINE_HEADER} must be a whole number of milliseconds above 0");
                Err(refusal(Code::InvalidRequest, &rule))
            }
        }
    }
}

/// Creates the fault of a request that no retry can make valid.
pub(crate) fn refusal(code: Code, message: &str) -> Fault {
    Fault::not_run(code, Duration::ZERO, message)
}

/// Returns the method that the path allows if the request has another one; `None` if its method is right.
fn allowed_method(request: &Request) -> Option<&'static str> {
    let path = request.uri().path();
    let allowed = match path {
        "/v1/models" => Method::GET,
        path if Api::from_path(path).is_some() => Method::POST,
        _ => return None,
    };
    let name = match allowed {
        Method::GET => "GET",
        _ => "POST",
    };
    (*request.method() != allowed).then_some(name)
}

fn list_models(lists: &Lists, id: Id, caller: &Caller) -> Reply {
    let names = caller.plan.models.iter();
    let rows: Vec<_> = names
        .filter_map(|name| lists.model(name))
        .map(|model| json!({ "id": model.name, "object": "model", "owned_by": "pistachiolug" }))
        .collect();
    let body = json!({ "object": "list", "data": rows }).to_string();
    reply::render_answer(id, "", "application/json", body.into())
}
