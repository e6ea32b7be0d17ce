//! Port for callers.

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
    error,
    openai::Api,
};

/// Header with the time the caller waits at most, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-pistachiolug-deadline-ms";

/// Wait that an overloaded entry asks for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves callers; clones share the process's state.
#[derive(Debug, Clone)]
pub struct Door {
    /// Lists in force.
    pub force: ActiveLists,
    /// Calls.
    pub runner: Runner,
    /// Phases of the process.
    pub control: Control,
    /// Time a caller waits at most, in milliseconds.
    pub deadline_ms: u32,
}

impl Handler for Door {
    async fn handle(&self, request: Request) -> Reply {
        let id = Id(rand::random());
        let mut reply = if let Some(methods) = allowed(&request) {
            error::method_not_allowed(id, methods)
        } else {
            let lists = self.force.current();
            let answered = self.answer(&lists, id, &request).await;
            answered.unwrap_or_else(|fault| error::reply(&fault, Some(id)))
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
        let mut reply = error::reply(&Fault::not_run(code, wait, message), None);
        *reply.status_mut() = status;
        // What is left of the body must not be taken for the next request.
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
        reply
    }
}

impl Door {
    async fn answer(&self, lists: &Lists, id: Id, request: &Request) -> Result<Reply, Fault> {
        if !self.force.is_ready() {
            let message = "the lists are not read yet";
            return Err(Fault::not_run(Code::Unavailable, RETRY_AFTER, message));
        }
        let caller = caller::identify(lists, request.headers())
            .ok_or_else(|| refused(Code::InvalidKey, "missing, unknown or revoked key"))?;
        let path = request.uri().path();
        if path == "/v1/models" {
            return Ok(models(lists, id, &caller));
        }
        if let Some(api) = Api::of(path) {
            return self.generate(lists, id, &caller, api, request).await;
        }
        if let Some(rest) = path.strip_prefix("/services/") {
            return self.call_plain(lists, id, &caller, rest, request).await;
        }
        Err(refused(Code::NotFound, "no such path"))
    }

    /// Builds the message that opens a call, unless its content crashed too many backend servers.
    pub(crate) fn message(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        service: &str,
        work: Work,
    ) -> Result<Open, Fault> {
        let content = work.content(service);
        let crashes = lists.suspect(&content).map_or(0, |row| row.count());
        let crashes = u8::try_from(crashes).unwrap_or(u8::MAX);
        if suspect::decide(crashes) == Decision::Refuse {
            let message = "the request crashed the backend servers that ran it";
            return Err(refused(Code::CrashSuspect, message));
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

    /// Returns the time the caller waits at most: its own deadline, but no more than the settings'.
    pub(crate) fn deadline(&self, request: &Request) -> Result<u32, Fault> {
        let Some(value) = request.headers().get(DEADLINE_HEADER) else {
            return Ok(self.deadline_ms);
        };
        let text = value.to_str().unwrap_or_default();
        match text.parse::<u32>() {
            Ok(wanted) if wanted > 0 => Ok(wanted.min(self.deadline_ms)),
            _ => {
                let rule =
                    format!("{DEADLINE_HEADER} must be a whole number of milliseconds above 0");
                Err(refused(Code::InvalidRequest, &rule))
            }
        }
    }
}

/// Creates the final answer to a request that is wrong in itself.
pub(crate) fn refused(code: Code, message: &str) -> Fault {
    Fault::not_run(code, Duration::ZERO, message)
}

/// Returns the methods of a path if the request has another one.
fn allowed(request: &Request) -> Option<&'static str> {
    let path = request.uri().path();
    let wanted = match path {
        "/v1/models" => Method::GET,
        path if Api::of(path).is_some() => Method::POST,
        _ => return None,
    };
    let name = match wanted {
        Method::GET => "GET",
        _ => "POST",
    };
    (*request.method() != wanted).then_some(name)
}

fn models(lists: &Lists, id: Id, caller: &Caller) -> Reply {
    let names = caller.plan.models.iter();
    let rows: Vec<_> = names
        .filter_map(|name| lists.model(name))
        .map(|model| json!({ "id": model.name, "object": "model", "owned_by": "pistachiolug" }))
        .collect();
    let body = json!({ "object": "list", "data": rows }).to_string();
    error::answered(id, "", "application/json", body.into())
}
