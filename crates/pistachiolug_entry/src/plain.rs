//! Calls to plain services.

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

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header that marks the kept answer of an earlier run.
const REPLAYED_HEADER: &str = "x-pistachiolug-replayed";

/// Longest idempotency key in bytes.
const KEY_BYTES: usize = 255;

impl PublicApi {
    /// Serves a call to a plain service.
    pub(crate) async fn call_plain(
        &self,
        lists: &Lists,
        id: Id,
        caller: &Caller,
        rest: &str,
        request: &Request,
    ) -> Result<Reply, Fault> {
        let name = rest.split('/').next().unwrap_or_default();
        let service = lists
            .service(name)
            .ok_or_else(|| refusal(Code::NotFound, "no such service"))?;
        if !caller.plan.services.contains(&service.name) {
            return Err(refusal(Code::NotInPlan, "plan lacks the service"));
        }
        if !is_whole(request) {
            return Ok(reply::length_required(id));
        }
        let path = path_below(request, name);
        let safe = matches!(*request.method(), Method::GET | Method::HEAD);
        let mut listed = service.idempotent.iter();
        let plain = Plain {
            method: request.method().to_string(),
            idempotent: safe || listed.any(|prefix| path.starts_with(prefix)),
            path,
            content_type: content_type(request.headers())?,
            body: request.body().clone(),
            key: idempotency_key(request.headers())?,
        };
        let mut open = self.message(lists, id, caller, name, Work::Plain(plain))?;
        open.deadline_ms = self.deadline(request)?;
        let mut call = self.runner.open(open, DeadlineScope::Answer).await?;
        let mut part = call.next().await?;
        // The kept answer of an earlier run comes without a start of its own.
        if matches!(part, Part::Started(_)) {
            part = call.next().await?;
        }
        match part {
            Part::Response(response) => Ok(reply(id, response)),
            _ => Err(Fault::unknown(Code::BackendFailed, "no whole answer")),
        }
    }
}

/// Tells whether a body surely arrived whole.
///
/// The server library ends a chunked body that is cut short as if it were whole, and a work order that lacks its end
/// must not run. A JSON object or array shows its own end.
fn is_whole(request: &Request) -> bool {
    if !request.headers().contains_key(header::TRANSFER_ENCODING) {
        return true;
    }
    let body = request.body().trim_ascii_start();
    let delimited = matches!(body.first(), Some(b'{' | b'['));
    delimited && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}

/// Returns the path and query below a service's root.
fn path_below(request: &Request, name: &str) -> String {
    let whole = request
        .uri()
        .path_and_query()
        .map_or("", http::uri::PathAndQuery::as_str);
    let root = "/services/".len() + name.len();
    let below = whole.get(root..).unwrap_or_default();
    if below.starts_with('/') {
        below.to_owned()
    } else {
        format!("/{below}")
    }
}

fn content_type(headers: &HeaderMap) -> Result<String, Fault> {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return Ok(String::new());
    };
    let text = value.to_str().map(str::to_owned);
    text.map_err(|_| refusal(Code::InvalidRequest, "content type is no text"))
}

/// Reads the idempotency key: at most one, of 1 to [`KEY_BYTES`] visible ASCII characters.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Fault> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let visible = bytes.iter().all(u8::is_ascii_graphic);
    let fits = (1..=KEY_BYTES).contains(&bytes.len());
    match value.to_str() {
        Ok(key) if visible && fits && values.next().is_none() => Ok(Some(key.to_owned())),
        _ => {
            let rule = "Idempotency-Key must be given once, with 1 to 255 visible ASCII characters";
            Err(refusal(Code::InvalidRequest, rule))
        }
    }
}

fn reply(id: Id, response: Response) -> Reply {
    let mut reply = reply::render_answer(id, "", &response.content_type, Body::from(response.body));
    if response.replayed {
        let value = header::HeaderValue::from_static("true");
        reply.headers_mut().insert(REPLAYED_HEADER, value);
    }
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}
