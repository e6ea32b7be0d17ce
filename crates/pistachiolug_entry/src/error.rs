//! Errors as callers see them, in OpenAI's shape.

use std::time::Duration;

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body, server::Reply};
use pistachiolug_wire::{
    call,
    fault::{Code, Fault},
    outcome,
};
use serde_json::{Value, json};

/// Renders a fault as a whole reply.
pub fn reply(fault: &Fault, id: Option<call::Id>) -> Reply {
    let body = body(fault).to_string();
    let mut builder = Response::builder()
        .status(status(fault.code))
        .header(header::CONTENT_TYPE, "application/json")
        .header(outcome::HEADER, fault.outcome.as_str());
    if let Some(id) = id {
        builder = builder.header(outcome::CALL_HEADER, id.to_string());
    }
    if fault.retry_after_ms > 0 {
        let wait = Duration::from_millis(fault.retry_after_ms.into());
        builder = builder.header(header::RETRY_AFTER, wait.as_secs().max(1));
    }
    builder
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::from("")))
}

/// Renders a fault's error body.
pub fn body(fault: &Fault) -> Value {
    json!({ "error": {
        "message": fault.message,
        "type": kind(fault.code),
        "code": fault.code,
        "outcome": fault.outcome,
        "retry_after_ms": fault.retry_after_ms,
    }})
}

/// Returns the HTTP status of a cause.
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

fn kind(code: Code) -> &'static str {
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
