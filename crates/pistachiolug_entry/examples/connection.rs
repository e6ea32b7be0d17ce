//! Benchmark of calls over a new connection each against calls over pooled connections.
//!
//! `cargo run --release -p pistachiolug_entry --example connection`

#![allow(clippy::print_stdout)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use pistachiolug_http::{
    body::Body,
    client::{Client, Error},
    limit::Limit,
    server::{self, Handler, Server},
};

/// Number of calls of each kind.
const CALLS: u32 = 4000;

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: server::Request) -> server::Reply {
        Response::new(Body::from(request.into_body()))
    }
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(address, 1, Limit::default(), Echo).expect("port is free");
    for (name, max_idle) in [("pooled", 8), ("new", 0)] {
        let client = Client::new(max_idle);
        let mut times = Vec::new();
        for _ in 0..CALLS {
            let url = format!("http://{}/", server.address());
            let request = Request::post(url).body(Bytes::from_static(b"{}"));
            let request = request.expect("request is well formed");
            let began = Instant::now();
            client.fetch(request, 1024, Duration::from_secs(5)).await?;
            times.push(began.elapsed());
        }
        times.sort_unstable();
        let percentile = |share: usize| times[times.len() * share / 100].as_micros();
        println!(
            "{name}: p50 {} us, p95 {} us",
            percentile(50),
            percentile(95)
        );
    }
    Ok(())
}
