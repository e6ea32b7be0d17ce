//! Server for single-threaded daemons: every connection is a task of the current thread.
//!
//! Unlike [`crate::server`], handlers see request bodies as they arrive, learn by being dropped that the peer has
//! left, and open connections can be closed after their current answer.

use std::{convert::Infallible, error::Error, future::Future, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::{body::Body as ReplyBody, server::Reply};

/// Longest queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Pause after a failed accept, which usually means that descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer that the HTTP library accepts, in bytes.
const BUFFER_BYTES_LEAST: usize = 8192;

/// Bounds of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Longest time from an answer, or from the start of the connection, to the end of the next request head.
    pub head_timeout: Duration,
}

/// Turns a whole reply of [`crate::server`]'s handlers into an answer of this server; a streamed one becomes empty.
pub fn convert_reply(reply: Reply) -> Response<Full<Bytes>> {
    reply.map(|body| match body {
        ReplyBody::Full(bytes) => Full::new(bytes),
        ReplyBody::Stream(_) => Full::default(),
    })
}

/// Binds a listener.
///
/// # Errors
/// Returns the error of the operating system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until the process ends.
///
/// Once `closing` is true, each connection ends after its current answer; an idle one ends at once.
///
/// # Arguments
/// `limit` is asked for each new connection. `handler` answers one request; it is dropped when the peer leaves.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limit: impl Fn() -> Limit,
    closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = connection(stream, limit(), closing.clone(), handler.clone());
                spawn_local(connection);
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts connections as [`serve`] does, with the same bounds for all and without ever closing.
pub async fn serve_forever<H, F, B>(listener: TcpListener, limit: Limit, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (_open, never) = watch::channel(false);
    serve(listener, || limit, never, handler).await;
}

/// Waits until a server closes; keeps no lock on the value, whose sender would wait for it.
async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn connection<H, F, B>(
    stream: TcpStream,
    limit: Limit,
    mut closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if stream.set_nodelay(true).is_err() {
        // The peer is gone already.
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let ends = *closing.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // A new connection of a closing server still has its one request answered.
        .keep_alive(!ends)
        .header_read_timeout(limit.head_timeout)
        .max_buf_size(limit.head_bytes.max(BUFFER_BYTES_LEAST))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closed(&mut closing), if !ends => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:%; "connection broke");
    }
}
