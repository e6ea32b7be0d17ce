//! Connections beyond the bound of a server, and answers that their peers don't read.

#![allow(clippy::unwrap_used)]

use std::{future::ready, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use pistachiolug_http::{
    connections::{Bound, Connections, PROGRESS_TIME},
    local_server::{self, Limit},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Size in bytes of an answer that no buffers of the kernel take.
const ANSWER_BYTES: usize = 64 << 20;

fn start(connections: Connections) -> SocketAddr {
    let listener = local_server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let limit = Limit {
        head_bytes: 8192,
        head_timeout: Duration::from_secs(60),
    };
    let handler = |request: Request<Incoming>| {
        let is_large = request.uri().path() == "/large";
        let size = if is_large { ANSWER_BYTES } else { 1 };
        ready(Response::new(Full::new(Bytes::from(vec![b'x'; size]))))
    };
    spawn_local(local_server::serve_bounded(
        listener,
        limit,
        connections,
        handler,
    ));
    address
}

async fn ask(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against connections that hold a full server for nothing, and against a request that is cut off for another.
#[test]
fn a_full_server_closes_a_connection_without_a_request_for_a_new_one() {
    run(async {
        let connections = Connections::new(Bound {
            connections: 2,
            ..Bound::default()
        });
        let address = start(connections.clone());
        let mut busy = ask(address, "/large").await;
        let mut silent = TcpStream::connect(address).await.unwrap();
        sleep(PROGRESS_TIME * 2).await;

        let mut new = ask(address, "/").await;

        let mut byte = [0];
        assert_eq!(new.read(&mut byte).await.unwrap(), 1);
        assert_eq!(silent.read(&mut byte).await.unwrap_or(0), 0);
        assert_eq!(busy.read(&mut byte).await.unwrap(), 1);
        assert_eq!(connections.totals().replaced, 1);
    });
}

/// Guards against answers that are kept for ever because their peers don't read them.
#[test]
fn a_connection_whose_peer_does_not_read_is_closed() {
    run(async {
        let connections = Connections::new(Bound {
            write_timeout: Duration::from_millis(100),
            ..Bound::default()
        });
        let address = start(connections.clone());
        let mut stream = ask(address, "/large").await;

        while connections.totals().unread == 0 {
            connections.close_unread();
            sleep(Duration::from_millis(20)).await;
        }

        let mut received = Vec::new();
        // A reset counts like an early end.
        let _ = stream.read_to_end(&mut received).await;
        assert!(received.len() < ANSWER_BYTES);
    });
}
