//! Replies and query parameters, for all stand-ins.

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body, server::Reply};
use serde::Serialize;

/// Builds a reply with a JSON body.
///
/// # Panics
/// Panics if the value can't be written as JSON, which is a bug of the stand-in.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("replies are serializable");
    let mut reply = Response::new(Body::from(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    reply
}

/// Builds a reply with an empty body.
pub fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(""));
    *reply.status_mut() = status;
    reply
}

/// Returns a number from a query such as `a=1&b=2`; 0 if it is missing or no number.
pub fn query_number(query: Option<&str>, name: &str) -> u64 {
    query_text(query, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Returns the text of a parameter in a query, without decoding; `None` if it is missing.
pub fn query_text<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
