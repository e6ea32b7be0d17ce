//! One HTTP exchange with a backend server, on a connection of its own.
//!
//! A connection that is not reused can't be stale, and no bytes of an earlier answer can be mistaken for the next one.

use std::{error::Error, net::SocketAddr, pin::Pin, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout},
};

use crate::{
    head_limit::{Allowance, Limited},
    payload::Payload,
};

/// Longest time that opening a connection may take; a hundred times the delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest head of an answer, and largest part of a body that is read at once, in bytes. Each connection may take this
/// much memory, and an entry has some thousand.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Largest number of bytes of interim answers (status 1xx) and of the head that follows them.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Longest time for which the head of an answer is awaited after its request was withdrawn: much more than the delay
/// between regions, and less than the time within which a server has to learn that nobody waits.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Reason why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, because the request may no longer be sent to the server.
    Withheld,
    /// The request may have run.
    Lost(String),
}

/// Connection of one exchange. Dropping it closes the connection, which tells the server that nobody waits for the
/// answer.
#[derive(Debug)]
pub struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Request that was sent and has no answer. If it is dropped, its connection is closed a little later.
struct Pending<S: Future<Output = Answer> + 'static, L: FnOnce(&Response<Incoming>) + 'static> {
    /// `None` once there is an answer.
    parts: Option<(Pin<Box<S>>, Connection, L)>,
}

type Answer = hyper::Result<Response<Incoming>>;

impl<S: Future<Output = Answer> + 'static, L: FnOnce(&Response<Incoming>) + 'static> Pending<S, L> {
    /// Waits for the head of the answer; `None` if there was one before.
    async fn wait(&mut self) -> Option<(Answer, Connection)> {
        let (sending, ..) = self.parts.as_mut()?;
        let answer = sending.as_mut().await;
        let (_, connection, _) = self.parts.take()?;
        Some((answer, connection))
    }
}

impl<S: Future<Output = Answer> + 'static, L: FnOnce(&Response<Incoming>) + 'static> Drop
    for Pending<S, L>
{
    fn drop(&mut self) {
        let Some((sending, connection, on_late)) = self.parts.take() else {
            return;
        };
        spawn_local(async move {
            if let Ok(Ok(response)) = timeout(LATE_ANSWER_TIME, sending).await {
                on_late(&response);
            }
            drop(connection);
        });
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Arguments
/// `build` is called once the connection is open, with the time that this took; it returns `None` if the request may not be sent any more. `on_late` gets
/// an answer that arrives shortly after the returned future was dropped: what a server says of itself counts even if nobody
/// waits for the answer.
///
/// # Errors
/// [`Failure`], which tells whether the request may have run.
pub async fn exchange(
    address: SocketAddr,
    build: impl FnOnce(Duration) -> Option<Request<Payload>>,
    on_late: impl FnOnce(&Response<Incoming>) + 'static,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let asked_at = Instant::now();
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Failure::Unsent(error.to_string())),
        Err(_) => return Err(Failure::Unsent("connection timed out".to_owned())),
    };
    let connect_time = asked_at.elapsed();
    if let Err(error) = stream.set_nodelay(true) {
        return Err(Failure::Unsent(error.to_string()));
    }
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    // The read that completes the head may bring the begin of the body.
    let allowance = Allowance::new(MAX_HEAD_BYTES + MAX_BUFFER_BYTES);
    let stream = Limited::new(stream, allowance.clone());
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(|error| Failure::Unsent(error.to_string()))?;
    let task = spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(error:%; "connection to a server failed");
        }
    });
    let connection = Connection { task };
    let request = build(connect_time).ok_or(Failure::Withheld)?;
    let sending = Box::pin(async move { sender.send_request(request).await });
    let mut pending = Pending {
        parts: Some((sending, connection, on_late)),
    };
    let Some((answer, connection)) = pending.wait().await else {
        return Err(Failure::Lost("the answer was taken before".to_owned()));
    };
    match answer {
        Ok(response) => {
            allowance.lift();
            Ok((response, connection))
        }
        Err(error) if error.is_canceled() => Err(Failure::Unsent(error.to_string())),
        Err(error) => Err(Failure::Lost(describe(&error))),
    }
}

/// Returns the text of an error with that of its cause.
fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
