//! HTTP server for single-threaded processes, in which every connection is a task of the current thread.
//!
//! Unlike those of [`crate::server`], its handlers read request bodies as they arrive and are dropped when the peer
//! disconnects. Open connections can be closed after their current answer.

use std::{
    cell::Cell,
    convert::Infallible,
    error::Error,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::{
    body::Body as ReplyBody,
    connections::{Activity, Connections, Guard, Stage, Watched},
    server::Reply,
};

/// Largest number of connections that wait to be accepted.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;

/// Delay after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits for one connection.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Largest accepted request head in bytes; heads of up to 8192 bytes are always accepted.
    pub head_bytes: usize,
    /// Longest time from the start of the connection, or from an answer, to the end of the next request head.
    pub head_timeout: Duration,
}

/// Connections that have carried a request and are still open. Once the server is closing, these are the ones whose answer
/// is not written yet.
#[derive(Debug, Clone, Default)]
pub struct UsedConnections {
    count: Rc<Cell<usize>>,
    /// All open connections, with their bound.
    open: Connections,
}

impl UsedConnections {
    /// Creates a set without connections, whose server keeps the bound of `open`.
    pub fn new(open: Connections) -> Self {
        Self {
            count: Rc::default(),
            open,
        }
    }

    /// Returns their number.
    pub fn count(&self) -> usize {
        self.count.get()
    }
}

/// Use of one connection, which ends when it is dropped.
struct Use {
    connections: UsedConnections,
    has_begun: Cell<bool>,
}

impl Use {
    fn begin(&self) {
        if !self.has_begun.replace(true) {
            let count = &self.connections.count;
            count.set(count.get() + 1);
        }
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        if self.has_begun.get() {
            let count = &self.connections.count;
            count.set(count.get() - 1);
        }
    }
}

/// Converts a reply of the handlers of [`crate::server`] into an answer of this server; a streamed body becomes empty.
pub fn convert_reply(reply: Reply) -> Response<Full<Bytes>> {
    reply.map(|body| match body {
        ReplyBody::Full(bytes) => Full::new(bytes),
        ReplyBody::Stream(_) => Full::default(),
    })
}

/// Binds a listener with address reuse; has to be called within a Tokio runtime.
///
/// # Errors
/// Returns the error of the operating system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE_LENGTH)?;
    TcpListener::from_std(socket.into())
}

/// Accepts and serves connections as [`serve_until`] does, without end.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limit: impl Fn() -> Limit,
    closing: watch::Receiver<bool>,
    used: UsedConnections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let never = std::future::pending();
    serve_until(never, listener, limit, closing, used, handler).await;
}

/// Accepts and serves connections until `end`, and then those that still wait to be accepted: their peers take them for
/// open, and closing the port would reset them. Connections go on in tasks of their own.
///
/// Once `closing` is true, each connection is closed after its current answer, and an idle one at once.
///
/// # Arguments
/// `limit` is called for each new connection. `handler` answers one request; its future is dropped when the peer
/// disconnects. `used` counts the connections.
pub async fn serve_until<H, F, B>(
    end: impl Future<Output = ()>,
    listener: TcpListener,
    limit: impl Fn() -> Limit,
    closing: watch::Receiver<bool>,
    used: UsedConnections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    set_receive_bytes(&listener, &used.open);
    let spawn = |stream| {
        // A connection that is refused is closed at once.
        let guard = used.open.open()?;
        let usage = Use {
            connections: used.clone(),
            has_begun: Cell::default(),
        };
        let handler = handler.clone();
        Some(spawn_local(serve_connection(
            stream,
            limit(),
            closing.clone(),
            usage,
            guard,
            handler,
        )))
    };
    let mut end = std::pin::pin!(end);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut end => break,
        };
        match accepted {
            Ok((stream, _)) => drop(spawn(stream)),
            Err(error) => {
                log::warn!(error:%; "could not accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match listener.into_std() {
        Ok(listener) => take_waiting(&listener).for_each(|stream| drop(spawn(stream))),
        Err(error) => log::warn!(error:%; "could not accept the last connections"),
    }
}

/// Bounds the bytes that accepted connections have received and the process has not read.
fn set_receive_bytes(listener: &TcpListener, connections: &Connections) {
    let Some(bytes) = connections.bound().receive_bytes else {
        return;
    };
    // Accepted connections inherit the option.
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(bytes) {
        log::warn!(error:%; "receive buffers keep the size of the system");
    }
}

/// Accepts the connections that wait, until there are none or one fails. The runtime's own `accept` would not do: it knows
/// only of those that waited when it last looked.
fn take_waiting(listener: &std::net::TcpListener) -> impl Iterator<Item = TcpStream> {
    let accept = move || {
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    };
    std::iter::repeat_with(accept)
        .take(ACCEPT_QUEUE_LENGTH as usize)
        .map_while(|accepted| match accepted {
            Ok(stream) => Some(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(error) => {
                log::warn!(error:%; "could not accept a connection");
                None
            }
        })
}

/// Accepts connections as [`serve`] does, with the same limits for all, and never closes them.
pub async fn serve_forever<H, F, B>(listener: TcpListener, limit: Limit, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    serve_bounded(listener, limit, Connections::default(), handler).await;
}

/// Accepts connections as [`serve_forever`] does, and closes only those that are beyond the bound of `connections`.
pub async fn serve_bounded<H, F, B>(
    listener: TcpListener,
    limit: Limit,
    connections: Connections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (_open, never) = watch::channel(false);
    let used = UsedConnections::new(connections);
    serve(listener, || limit, never, used, handler).await;
}

/// Waits until the server is closing.
///
/// It keeps no borrow of the value, because the sender of the channel would wait for its end.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limit: Limit,
    mut closing: watch::Receiver<bool>,
    usage: Use,
    guard: Guard,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if stream.set_nodelay(true).is_err() {
        // The peer has disconnected already.
        return;
    }
    let activity = &guard.activity;
    let service = service_fn(|mut request: Request<Incoming>| {
        usage.begin();
        activity.begin(Stage::Busy);
        request.extensions_mut().insert(activity.clone());
        let reply = handler(request);
        let activity = activity.clone();
        async move {
            let reply = reply.await;
            Ok::<_, Infallible>(reply.map(|body| Sent {
                body: Box::pin(body),
                activity,
            }))
        }
    });
    let is_closing = *closing.borrow();
    let stream = Watched::new(stream, activity.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // A new connection to a closing server still gets one answer.
        .keep_alive(!is_closing)
        .header_read_timeout(limit.head_timeout)
        .max_buf_size(limit.head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let serve = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = wait_closing(&mut closing), if !is_closing => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let result = tokio::select! {
        result = serve => result,
        () = activity.wait_closed() => return,
    };
    if let Err(error) = result {
        log::debug!(error:%; "connection failed");
    }
}

/// Body of an answer; once it is dropped, the connection waits for its next request.
struct Sent<B> {
    body: Pin<Box<B>>,
    activity: Activity,
}

impl<B> Drop for Sent<B> {
    fn drop(&mut self) {
        self.activity.begin(Stage::Idle);
    }
}

impl<B: Body> Body for Sent<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
