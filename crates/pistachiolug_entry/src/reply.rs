//! Replies to callers; errors have the format of OpenAI's API.

use std::time::Duration;

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body, server::Reply};
use pistachiolug_wire::{
    call,
    fault::{Code, Fault},
    outcome::{self, Outcome},
};
use serde_json::{Value, json};

/// Renders a fault as a reply; `id` is `None` if the request was refused before it got a call id.
pub fn render_fault(fault: &Fault, id: Option<call::Id>) -> Reply {
    let body = render_error_body(fault).to_string();
    let mut builder = Response::builder()
        .status(status(fault.code))
        .header(header::CONTENT_TYPE, "application/json")
        .header(outcome::HEADER, fault.outcome.as_str());
    if let Some(id) = id {
        builder = builder.header(outcome::CALL_HEADER, id.to_string());
    }
    if fault.retry_after_ms > 0 {
        let seconds = fault.retry_after_ms.div_ceil(1000);
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    builder
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::from("")))
}

/// Renders an answer; an empty `version` adds no version header.
pub fn render_answer(id: call::Id, version: &str, content_type: &str, body: Body) -> Reply {
    let builder = Response::builder()
        .header(header::CONTENT_TYPE, content_type)
        .header(outcome::HEADER, Outcome::Answered.as_str())
        .header(outcome::CALL_HEADER, id.to_string());
    let builder = if version.is_empty() {
        builder
    } else {
        builder.header(outcome::VERSION_HEADER, version)
    };
    builder
        .body(body)
        .unwrap_or_else(|_| Response::new(Body::from("")))
}

/// Replaces the outcome header of a reply.
pub fn set_outcome(reply: &mut Reply, outcome: &'static str) {
    let value = header::HeaderValue::from_static(outcome);
    reply.headers_mut().insert(outcome::HEADER, value);
}

/// Renders the reply 405 to a method that the path does not allow; `methods` are those that it allows.
pub fn method_not_allowed(id: call::Id, methods: &'static str) -> Reply {
    let message = format!("the path takes {methods} only");
    let fault = Fault::not_run(Code::InvalidRequest, Duration::ZERO, &message);
    let mut reply = render_fault(&fault, Some(id));
    *reply.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    let methods = header::HeaderValue::from_static(methods);
    reply.headers_mut().insert(header::ALLOW, methods);
    reply
}

/// Renders the reply 411 to a body that may have been cut short without a sign of it.
pub fn length_required(id: call::Id) -> Reply {
    let message = "state the body's length, or send a JSON object or array";
    let fault = Fault::not_run(Code::InvalidRequest, Duration::ZERO, message);
    let mut reply = render_fault(&fault, Some(id));
    *reply.status_mut() = StatusCode::LENGTH_REQUIRED;
    reply
}

/// Renders the event that ends an incomplete streamed answer.
pub fn render_error_event(fault: &Fault) -> String {
    format!("event: error\ndata: {}\n\n", render_error_body(fault))
}

/// Renders the JSON body of a fault.
pub fn render_error_body(fault: &Fault) -> Value {
    json!({ "error": {
        "message": fault.message,
        "type": error_type(fault.code),
        "code": fault.code,
        "outcome": fault.outcome,
        "retry_after_ms": fault.retry_after_ms,
    }})
}

/// Returns the HTTP status that belongs to a fault code.
pub fn status(code: Code) -> StatusCode {
    match code {
        Code::InvalidRequest => StatusCode::BAD_REQUEST,
        Code::InvalidKey => StatusCode::UNAUTHORIZED,
        Code::NotInPlan => StatusCode::FORBIDDEN,
        Code::NotFound => StatusCode::NOT_FOUND,
        Code::KeyReused | Code::CrashSuspect => StatusCode::UNPROCESSABLE_ENTITY,
        Code::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Code::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Code::BackendFailed => StatusCode::BAD_GATEWAY,
        Code::Overloaded
        | Code::Leaving
        | Code::Unavailable
        | Code::Revoked
        | Code::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn error_type(code: Code) -> &'static str {
    match code {
        Code::InvalidRequest | Code::NotFound | Code::KeyReused | Code::CrashSuspect => {
            "invalid_request_error"
        }
        Code::InvalidKey => "authentication_error",
        Code::NotInPlan => "permission_error",
        Code::RateLimited => "rate_limit_error",
        _ => "server_error",
    }
}
