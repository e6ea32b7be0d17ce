//! Headers of forwarded requests and answers.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header, request, response};
use hyper::body::Body;
use pistachiolug_routing::rate_limit;

use crate::{backoff, config::Authorized, names::Names, pool::Choice, server::Version};

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Size of a model request in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt; 0 if not stated.
    pub prompt: u32,
    /// Largest number of tokens of the answer; 0 if not stated.
    pub answer: u32,
}

/// Returns the text of a header; `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the media type of a body in lower case, without its parameters; `None` if it is not stated.
pub fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = text(headers, &header::CONTENT_TYPE)?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase())
}

/// Returns how long the sender of a request waits; `None` without a valid header.
pub fn time_limit(headers: &HeaderMap, names: &Names) -> Option<Duration> {
    let millis = text(headers, &names.deadline)?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the size that a model request states.
pub fn tokens(headers: &HeaderMap, names: &Names) -> Tokens {
    let sizes = text(headers, &names.tokens).unwrap_or_default();
    let mut sizes = sizes.split(',').map(|size| size.trim().parse().ok());
    Tokens {
        prompt: sizes.next().flatten().unwrap_or_default(),
        answer: sizes.next().flatten().unwrap_or_default(),
    }
}

/// Returns whether an answer states that its server is draining.
pub fn is_draining(headers: &HeaderMap, names: &Names) -> bool {
    text(headers, &names.draining).is_some_and(|value| value.trim() != "0")
}

/// Returns the time for which the sender of an answer wants no requests; `None` if it is zero or not stated.
///
/// # Errors
/// Returns the value of the header if it is not a number of seconds.
pub fn retry_after<T>(response: &Response<T>) -> Result<Option<Duration>, &HeaderValue> {
    let value = response.headers().get(header::RETRY_AFTER);
    let value = value.filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE);
    let Some(value) = value else {
        return Ok(None);
    };
    let retry_after = value.to_str().ok().and_then(backoff::parse_retry_after);
    let retry_after = retry_after.ok_or(value)?;
    Ok((!retry_after.is_zero()).then_some(retry_after))
}

/// Returns the requests per second to which the sender of an answer limits all entries together; `None` if it does not.
///
/// # Errors
/// Returns the values of the header if not all of them are decimal numbers.
pub fn limit(headers: &HeaderMap, names: &Names) -> Result<Option<f64>, String> {
    let values = headers.get_all(&names.limit).iter();
    let texts: Vec<_> = values
        .map(|value| String::from_utf8_lossy(value.as_bytes()))
        .collect();
    let limit = rate_limit::parse(texts.iter().map(|text| &**text));
    limit.map_err(|rate_limit::Invalid| texts.join(", "))
}

/// Returns whether the end of an answer can be told from the end of its connection: it has a length, chunks or no body.
pub fn is_framed(response: &Response<impl Body>) -> bool {
    let encoding = text(response.headers(), &header::TRANSFER_ENCODING).unwrap_or_default();
    let is_chunked = encoding.to_ascii_lowercase().contains("chunked");
    is_chunked || response.body().size_hint().exact().is_some()
}

/// Removes the headers that apply to one connection only, including those that `Connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Removes from the head of an answer what applies to the server's connection only: headers, and the protocol version,
/// which decides how the end of the body is marked.
pub fn remove_connection(head: &mut response::Parts) {
    remove_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
}

/// Information for a server about one attempt of a request.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Route and workspace.
    pub authorized: &'a Authorized,
    /// Chosen server.
    pub choice: &'a Choice,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Only version that may run the request; `None` if any may.
    pub version: Option<Version>,
    /// Priority among the requests that wait at an engine, within 0..=9; 0 is served first.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has; set when a stream is resumed.
    pub last_event: Option<u64>,
}

/// Builds the headers of one attempt from those of the caller.
pub fn build(head: &request::Parts, names: &Names, outgoing: &Outgoing<'_>) -> HeaderMap {
    let mut headers = head.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(&names.key);
    headers.remove(&names.workspace);
    headers.remove(&names.expected_version);
    headers.remove(&names.priority);
    let time_left_ms = outgoing.time_left.as_millis() as u64;
    headers.insert(names.deadline.clone(), time_left_ms.into());
    if let Some(workspace) = &outgoing.authorized.workspace {
        insert_text(&mut headers, &names.workspace, &workspace.name);
    }
    insert_text(
        &mut headers,
        &names.expected_server,
        &outgoing.choice.record.id,
    );
    if let Some(version) = outgoing.version {
        headers.insert(names.expected_version.clone(), version.into());
    }
    if let Some(priority) = outgoing.priority {
        headers.insert(names.priority.clone(), u16::from(priority).into());
    }
    if let Some(id) = outgoing.last_event {
        headers.insert(names.last_event.clone(), id.into());
    }
    headers
}

/// Returns whether a request can name a server with this id, as each has to: the address may be another server's. Spaces around
/// a value are not part of it, so that another server may have the id without them.
pub fn can_name(id: &str) -> bool {
    !id.is_empty() && id.trim() == id && HeaderValue::from_str(id).is_ok()
}

/// Sets a header; removes it if the text is not valid in one, so that the caller's own value is not forwarded.
fn insert_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    } else {
        log::warn!(header = name.as_str(); "value is not valid in a header; header removed");
        headers.remove(name);
    }
}
