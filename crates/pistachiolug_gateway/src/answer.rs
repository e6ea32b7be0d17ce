//! Body of an answer that is no stream: kept until it is whole, or passed on as it arrives if it is too large for that.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{Stream, stream::unfold};
use http::{Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use pistachiolug_http::memory::{Budget, Buffer};

use crate::{
    call::Call,
    headers,
    metrics::{ANSWERED, BROKEN, CALLER_LEFT},
    permit::Permit,
    reply::Broken,
    state::State,
    upstream::Connection,
};

/// Largest body in bytes that is kept until it is whole.
pub const MAX_WHOLE_BYTES: usize = 4 << 20;

/// Answer whose body was read as far as it is kept.
#[derive(Debug)]
pub enum Read {
    /// The whole answer.
    Whole(Response<Bytes>),
    /// Answer of a stated length that is too large to be kept.
    Large(Box<Large>),
}

/// Answer of which a part has not been read.
#[derive(Debug)]
pub struct Large {
    head: response::Parts,
    /// What was read before it turned out that the answer is too large.
    start: Buffer,
    /// What was read last and did not fit.
    unkept: Option<Bytes>,
    body: Incoming,
    connection: Connection,
}

/// Reads the body of an answer until it is whole, or until it is too large to be kept.
///
/// # Errors
/// Returns the reason why there is no whole answer: it broke off, or it states no length and has no end within the
/// memory for it.
pub async fn read(
    budget: &Budget,
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<Read, String> {
    let (mut head, mut body) = response.into_parts();
    headers::remove_connection(&mut head);
    let length = body.size_hint().exact();
    let mut start = Buffer::new(budget, MAX_WHOLE_BYTES);
    let mut unkept = None;
    let mut fits = length.is_none_or(|length| length <= MAX_WHOLE_BYTES as u64);
    while fits {
        let frame = call.run_until_deadline(body.frame()).await;
        let frame = frame.map_err(|_| "answer incomplete at the deadline".to_owned())?;
        let Some(frame) = frame else {
            return Ok(Read::Whole(Response::from_parts(head, start.freeze())));
        };
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        fits = start.push(&data).is_ok();
        unkept = (!fits).then_some(data);
    }
    if length.is_none() {
        let read = start.len();
        return Err(format!(
            "answer without a length is too large after {read} bytes"
        ));
    }
    Ok(Read::Large(Box::new(Large {
        head,
        start,
        unkept,
        body,
        connection,
    })))
}

/// Answer that is passed on as it arrives.
struct Passage {
    state: Rc<State>,
    call: Rc<Call>,
    permit: Rc<Permit>,
    status: StatusCode,
    body: Incoming,
    /// Keeps the connection open.
    _connection: Connection,
    /// Number of servers that were sent the request.
    sends: usize,
    /// Number of bytes passed on.
    bytes: u64,
    is_ended: bool,
}

impl Large {
    /// Returns the answer to the caller, whose body arrives as fast as the caller reads it.
    ///
    /// # Arguments
    /// `sends` is the number of servers that were sent the request.
    pub fn pass_on(
        self,
        state: Rc<State>,
        call: Rc<Call>,
        permit: Rc<Permit>,
        sends: usize,
    ) -> Response<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
        let passage = Passage {
            state,
            call,
            permit,
            status: self.head.status,
            body: self.body,
            _connection: self.connection,
            sends,
            bytes: 0,
            is_ended: false,
        };
        let start = Some(self.start.freeze()).filter(|start| !start.is_empty());
        let read: Vec<Bytes> = start.into_iter().chain(self.unkept).collect();
        let read = read.into_iter();
        let body = unfold((passage, read), |(mut passage, mut read)| async move {
            let item = match read.next() {
                Some(data) => Ok(data),
                None => passage.next().await?,
            };
            if let Ok(data) = &item {
                passage.bytes += data.len() as u64;
                // Nothing is asked for after the stated length.
                if read.len() == 0 && passage.body.is_end_stream() {
                    passage.end();
                }
            }
            Some((item.map(Frame::data), (passage, read)))
        });
        Response::from_parts(self.head, body)
    }
}

impl Passage {
    /// Waits for the next bytes; `None` after the end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        while !self.is_ended {
            let frame = self.call.run_until_deadline(self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.permit.record_contact(&self.call.fingerprint);
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Ok(None) => self.end(),
                Ok(Some(Err(error))) => {
                    self.permit.record_failure();
                    self.permit.record_answer(false);
                    self.permit.record_loss();
                    self.finish(BROKEN, &error.to_string());
                    return Some(Err(Broken));
                }
                Err(_) => {
                    self.finish(BROKEN, "answer incomplete at the deadline");
                    return Some(Err(Broken));
                }
            }
        }
        None
    }

    /// Records that the server has sent the whole answer.
    fn end(&mut self) {
        if self.status.is_success() {
            self.state.record_work(&self.call, &self.permit);
            self.permit.record_success();
        } else {
            self.permit.record_outcome();
        }
        self.finish(ANSWERED, "");
    }

    /// Logs and counts the end of the answer.
    fn finish(&mut self, outcome: &'static str, reason: &str) {
        self.is_ended = true;
        let call = &self.call;
        log::info!(
            call = call.id.as_str(),
            server = &*self.permit.choice.record.id,
            status = self.status.as_u16(),
            outcome,
            reason,
            bytes = self.bytes,
            sends = self.sends,
            age_ms = call.age_ms();
            "large answer ended"
        );
        self.state.metrics.outcomes.get(outcome).inc();
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(CALLER_LEFT, "");
        }
    }
}
