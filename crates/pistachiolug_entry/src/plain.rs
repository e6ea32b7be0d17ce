//! Calls to plain services: HTTP requests that are passed on to a backend server without a model.

use http::{HeaderMap, Method, StatusCode, header};
use pistachiolug_http::{
    body::Body,
    server::{Reply, Request},
};
use pistachiolug_lists::lists::Lists;
use pistachiolug_wire::{
    call::{Id, Plain, Response, Work},
    fault::{Code, Fault},
};

use serde::de::IgnoredAny;

use crate::{
    call::{DeadlineScope, Part},
    caller::Caller,
    public_api::{PublicApi, refusal},
    reply,
};

/// Request header with the idempotency key of the caller.
const KEY_HEADER: &str = "idempotency-key";

/// Response header that marks the stored answer of an earlier run.
const REPLAYED_HEADER: &str = "x-pistachiolug-replayed";

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

impl PublicApi {
    /// Serves a call to a plain service.
    pub(crate) async fn call_plain(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        service_path: &str,
        request: &Request,
    ) -> Result<Reply, Fault> {
        let name = service_path.split('/').next().unwrap_or_default();
        let service = lists
            .service(name)
            .ok_or_else(|| refusal(Code::NotFound, "no such service"))?;
        if !caller.plan.services.contains(&service.name) {
            return Err(refusal(Code::NotInPlan, "plan lacks the service"));
        }
        if !is_complete(request) {
            return Ok(reply::length_required(id));
        }
        let path = path_below(request, name);
        let is_safe = matches!(*request.method(), Method::GET | Method::HEAD);
        let mut idempotent_prefixes = service.idempotent.iter();
        let plain = Plain {
            method: request.method().to_string(),
            idempotent: is_safe || idempotent_prefixes.any(|prefix| path.starts_with(prefix)),
            path,
            content_type: content_type(request.headers())?,
            body: request.body().clone(),
            key: idempotency_key(request.headers())?,
        };
        let mut open = self.build_open(lists, id, caller, name, Work::Plain(plain))?;
        open.deadline_ms = self.deadline_ms(request)?;
        let mut call = self.runner.open(open, DeadlineScope::Answer).await?;
        let mut part = call.next().await?;
        // The stored answer of an earlier run arrives without a start.
        if matches!(part, Part::Started(_)) {
            part = call.next().await?;
        }
        match part {
            Part::Response(response) => Ok(render_response(id, response)),
            _ => Err(Fault::unknown(Code::BackendFailed, "no whole answer")),
        }
    }
}

/// Returns whether a body certainly arrived completely.
///
/// The server library ends a chunked body that is cut short as if it were complete, and a truncated request must not
/// run. A JSON object or array shows by itself whether it is complete.
fn is_complete(request: &Request) -> bool {
    if !request.headers().contains_key(header::TRANSFER_ENCODING) {
        return true;
    }
    let body = request.body().trim_ascii_start();
    let is_delimited = matches!(body.first(), Some(b'{' | b'['));
    is_delimited && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}

/// Returns the path and query below the root of the service `name`; begins with `/`.
fn path_below(request: &Request, name: &str) -> String {
    let full_path = request
        .uri()
        .path_and_query()
        .map_or("", http::uri::PathAndQuery::as_str);
    let root_length = "/services/".len() + name.len();
    let below_root = full_path.get(root_length..).unwrap_or_default();
    if below_root.starts_with('/') {
        below_root.to_owned()
    } else {
        format!("/{below_root}")
    }
}

fn content_type(headers: &HeaderMap) -> Result<String, Fault> {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return Ok(String::new());
    };
    let text = value.to_str().map(str::to_owned);
    text.map_err(|_| refusal(Code::InvalidRequest, "content type is no text"))
}

/// Returns the idempotency key; `None` without one.
///
/// # Errors
/// Returns a fault unless the header is given once with 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Fault> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let is_visible = bytes.iter().all(u8::is_ascii_graphic);
    let has_valid_length = (1..=MAX_KEY_BYTES).contains(&bytes.len());
    match value.to_str() {
        Ok(key) if is_visible && has_valid_length && values.next().is_none() => {
            Ok(Some(key.to_owned()))
        }
        _ => {
            let rule = "Idempotency-Key must be given once, with 1 to 255 visible ASCII characters";
            Err(refusal(Code::InvalidRequest, rule))
        }
    }
}

fn render_response(id: Id, response: Response) -> Reply {
    let mut reply = reply::render_answer(id, "", &response.content_type, Body::from(response.body));
    if response.replayed {
        let value = header::HeaderValue::from_static("true");
        reply.headers_mut().insert(REPLAYED_HEADER, value);
    }
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}
