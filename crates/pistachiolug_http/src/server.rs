//! HTTP server that reads whole requests within limits and passes them to one handler.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    thread,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode, header};
use socket2::SockRef;
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};
use xitca_web::{
    HttpServer,
    body::{Body as _, Frame, RequestBody, ResponseBody},
    http::WebRequest,
    service::fn_service,
};

use crate::{body::Body, limit::Limit, traffic};

/// Longest wait for open connections in [`Server::finish`].
const FINISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Whole request as a handler gets it.
pub type Request = http::Request<Bytes>;

/// Answer of a handler.
pub type Reply = Response<Body>;

/// Handler of whole requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; the future is dropped if the server is stopped with [`Server::stop`].
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;

    /// Renders the reply to a request that the server refuses before it gets to the handler.
    ///
    /// # Arguments
    /// `status` is 400 (body cut short), 408 (body too slow), 413 (body too large) or 503 (too many requests at once).
    fn refuse(&self, status: StatusCode) -> Reply {
        let mut reply = Response::new(Body::from(status.as_str().to_owned()));
        *reply.status_mut() = status;
        reply
    }
}

/// Handle of a running server; dropping it does not stop the server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    active: Arc<AtomicUsize>,
    stop: ServerStop,
    /// Whether the last worker thread has ended.
    ended: watch::Receiver<bool>,
}

/// Function that stops the workers; with `true`, open connections may finish what they send.
struct ServerStop(Box<dyn Fn(bool) + Send + Sync>);

impl std::fmt::Debug for ServerStop {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ServerStop")
    }
}

impl Server {
    /// Binds `address` and serves requests on `threads` new worker threads.
    ///
    /// # Errors
    /// Returns the error of the operating system if the port or the threads are not available.
    pub fn bind<H: Handler>(
        address: SocketAddr,
        threads: usize,
        limit: Limit,
        handler: H,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // Accepted connections inherit the option. Without it, the first chunk of a stream waits for a delayed ACK.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let active = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&active);
        let service = fn_service(move |request: WebRequest<RequestBody>| {
            serve(request, handler.clone(), limit, Arc::clone(&counter))
        });
        let mut workers = HttpServer::serve(service)
            .server_threads(1)
            .worker_threads(threads)
            .disable_signal()
            .request_head_timeout(limit.head_timeout)
            .listen(listener)?
            .run();
        let handle = workers.handle()?;
        let (sender, ended) = watch::channel(false);
        thread::Builder::new().name("http".into()).spawn(move || {
            let ended = workers.wait();
            // Sending fails if the server was dropped, so that nothing waits for the end.
            let _ = sender.send(true);
            ended
        })?;
        Ok(Self {
            address,
            active,
            stop: ServerStop(Box::new(move |graceful| handle.stop(graceful))),
            ended,
        })
    }

    /// Returns the bound address; its port is the assigned one if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that are being answered, including those whose body is being streamed.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Closes the port and all connections, which cuts open answers short.
    pub fn stop(&self) {
        (self.stop.0)(false);
    }

    /// Closes the port and waits at most 8 seconds for open connections to send the rest of their answers.
    ///
    /// Idle connections are closed by their timeout.
    pub async fn finish(&self) {
        (self.stop.0)(true);
        let mut ended = self.ended.clone();
        // An error means that the thread has ended, so there is nothing left to wait for.
        let _ = timeout(FINISH_TIMEOUT, ended.wait_for(|ended| *ended)).await;
        self.stop();
    }
}

/// Counted request; it counts until the last byte of its answer is sent.
struct ActiveRequest(Arc<AtomicUsize>);

impl ActiveRequest {
    fn start(counter: Arc<AtomicUsize>) -> (Self, usize) {
        let before = counter.fetch_add(1, Ordering::AcqRel);
        (Self(counter), before)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Body of the chunks of a channel; the request counts as active until it is dropped.
struct Stream {
    receiver: mpsc::Receiver<Bytes>,
    _active: ActiveRequest,
}

impl xitca_web::body::Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.receiver
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::Data(bytes))))
    }
}

async fn serve<H: Handler>(
    request: WebRequest<RequestBody>,
    handler: H,
    limit: Limit,
    counter: Arc<AtomicUsize>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (active, active_before) = ActiveRequest::start(counter);
    let reply = if active_before >= limit.requests {
        handler.refuse(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        match read_request(request, limit).await {
            Ok(request) => answer(request, &handler).await,
            Err(status) => handler.refuse(status),
        }
    };
    Ok(render(reply, active))
}

async fn answer<H: Handler>(request: Request, handler: &H) -> Reply {
    let is_control = traffic::is_control(request.uri().path());
    let received_bytes = traffic::head_bytes(Some(request.uri()), request.headers());
    let received_bytes = received_bytes + request.body().len() as u64;
    let reply = handler.handle(request).await;
    if is_control {
        let body_bytes = match reply.body() {
            Body::Full(bytes) => bytes.len() as u64,
            Body::Stream(_) => 0,
        };
        traffic::record_request(
            traffic::head_bytes(None, reply.headers()) + body_bytes,
            received_bytes,
        );
    }
    reply
}

async fn read_request(
    request: WebRequest<RequestBody>,
    limit: Limit,
) -> Result<Request, StatusCode> {
    let (parts, extension) = request.into_parts();
    let (_, body) = extension.replace_body(());
    let mut whole_request = Request::new(Bytes::new());
    *whole_request.method_mut() = parts.method;
    *whole_request.uri_mut() = parts.uri;
    *whole_request.headers_mut() = parts.headers;
    let bytes = timeout(limit.body_timeout, read_body(body, limit.body_bytes))
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
    if content_length(whole_request.headers()).is_some_and(|length| length != bytes.len() as u64) {
        return Err(StatusCode::BAD_REQUEST);
    }
    *whole_request.body_mut() = bytes;
    Ok(whole_request)
}

/// Returns the length of the body by its header; `None` without a valid one.
///
/// It is needed because the server library ends a body that is cut short without an error.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn read_body(body: RequestBody, max_bytes: usize) -> Result<Bytes, StatusCode> {
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(frame) = poll_fn(|context| body.as_mut().poll_frame(context)).await {
        let Ok(Frame::Data(chunk)) = frame else {
            return Err(StatusCode::BAD_REQUEST);
        };
        if bytes.len() + chunk.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}

fn render(reply: Reply, active: ActiveRequest) -> Response<ResponseBody> {
    let (parts, body) = reply.into_parts();
    let body = match body {
        Body::Full(bytes) => ResponseBody::bytes(bytes),
        Body::Stream(receiver) => ResponseBody::boxed(Stream {
            receiver,
            _active: active,
        }),
    };
    Response::from_parts(parts, body)
}
