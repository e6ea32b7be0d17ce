//! Server that reads whole bounded requests and hands them to one handler.

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

/// Longest wait for open connections when a server finishes.
const FINISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Whole request as a handler sees it.
pub type Request = http::Request<Bytes>;

/// Answer of a handler.
pub type Reply = Response<Body>;

/// Serves whole requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; the future is dropped if the server stops at once.
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;

    /// Renders a refusal that the server makes before the handler sees the request.
    ///
    /// # Arguments
    /// `status` is 400 (body cut short), 408 (slow sender), 413 (too large) or 503 (too many at once).
    fn refuse(&self, status: StatusCode) -> Reply {
        let mut reply = Response::new(Body::from(status.as_str().to_owned()));
        *reply.status_mut() = status;
        reply
    }
}

/// Running server; dropping it does not stop it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    active: Arc<AtomicUsize>,
    handle: ServerStop,
    /// Becomes true when the last worker has ended.
    ended: watch::Receiver<bool>,
}

/// Stops the workers; the argument tells whether open connections may end by themselves.
struct ServerStop(Box<dyn Fn(bool) + Send + Sync>);

impl std::fmt::Debug for ServerStop {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ServerStop")
    }
}

impl Server {
    /// Binds `address` and serves on `threads` worker threads of its own.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the workers.
    pub fn bind<H: Handler>(
        address: SocketAddr,
        threads: usize,
        limit: Limit,
        handler: H,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // Accepted connections inherit the option; without it a stream's first piece waits for a delayed ACK.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let active = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&active);
        let service = fn_service(move |request: WebRequest<RequestBody>| {
            serve(request, handler.clone(), limit, Arc::clone(&counter))
        });
        let mut running = HttpServer::serve(service)
            .server_threads(1)
            .worker_threads(threads)
            .disable_signal()
            .request_head_timeout(limit.head_timeout)
            .listen(listener)?
            .run();
        let stop = running.handle()?;
        let (sender, ended) = watch::channel(false);
        thread::Builder::new().name("http".into()).spawn(move || {
            let ended = running.wait();
            // Nobody may be waiting any more.
            let _ = sender.send(true);
            ended
        })?;
        Ok(Self {
            address,
            active,
            handle: ServerStop(Box::new(move |graceful| stop.stop(graceful))),
            ended,
        })
    }

    /// Returns the bound address, with the real port when 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests are being answered, streamed bodies included.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Closes the port and every connection; drain first.
    pub fn stop(&self) {
        (self.handle.0)(false);
    }

    /// Closes the port and waits until open connections have sent what they hold; idle ones end by their timeout.
    pub async fn finish(&self) {
        (self.handle.0)(true);
        let mut ended = self.ended.clone();
        // An error means that the thread is gone, which is what is waited for.
        let _ = timeout(FINISH_TIMEOUT, ended.wait_for(|ended| *ended)).await;
        self.stop();
    }
}

/// Counts a request for as long as its body is being sent.
struct Active(Arc<AtomicUsize>);

impl Active {
    fn enter(counter: Arc<AtomicUsize>) -> (Self, usize) {
        let before = counter.fetch_add(1, Ordering::AcqRel);
        (Self(counter), before)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Streams chunks from a channel and keeps the request counted meanwhile.
struct Stream {
    receiver: mpsc::Receiver<Bytes>,
    _active: Active,
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
    let (active, before) = Active::enter(counter);
    let reply = if before >= limit.requests {
        handler.refuse(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        match read(request, limit).await {
            Ok(request) => answer(request, &handler).await,
            Err(status) => handler.refuse(status),
        }
    };
    Ok(render(reply, active))
}

async fn answer<H: Handler>(request: Request, handler: &H) -> Reply {
    let control = traffic::is_control(request.uri().path());
    let received = traffic::head_bytes(Some(request.uri()), request.headers());
    let received = received + request.body().len() as u64;
    let reply = handler.handle(request).await;
    if control {
        let body = match reply.body() {
            Body::Full(bytes) => bytes.len() as u64,
            Body::Stream(_) => 0,
        };
        traffic::count(traffic::head_bytes(None, reply.headers()) + body, received);
    }
    reply
}

async fn read(request: WebRequest<RequestBody>, limit: Limit) -> Result<Request, StatusCode> {
    let (parts, extension) = request.into_parts();
    let (_, body) = extension.replace_body(());
    let mut whole = Request::new(Bytes::new());
    *whole.method_mut() = parts.method;
    *whole.uri_mut() = parts.uri;
    *whole.headers_mut() = parts.headers;
    let bytes = timeout(limit.body_timeout, collect(body, limit.body_bytes))
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
    if stated_length(whole.headers()).is_some_and(|stated| stated != bytes.len() as u64) {
        return Err(StatusCode::BAD_REQUEST);
    }
    *whole.body_mut() = bytes;
    Ok(whole)
}

/// Returns the body's length by its header; the server library ends a body that is cut short without an error.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn collect(body: RequestBody, most: usize) -> Result<Bytes, StatusCode> {
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(frame) = poll_fn(|context| body.as_mut().poll_frame(context)).await {
        let Ok(Frame::Data(chunk)) = frame else {
            return Err(StatusCode::BAD_REQUEST);
        };
        if whole.len() + chunk.len() > most {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

fn render(reply: Reply, active: Active) -> Response<ResponseBody> {
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
