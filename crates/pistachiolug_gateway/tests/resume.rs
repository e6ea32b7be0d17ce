//! Streams that are resumed at another server after theirs has broken off.

#![allow(clippy::unwrap_used)]

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_gateway::config::Kind;
use tokio::{net::TcpListener, time::sleep};

use support::{
    Action, Entry, Server, chunk, parts, read_all, record, request, route, run, stream_head,
};

const ONE: &str = "id: 1\ndata: ravi\n\n";
const TWO: &str = "id: 2\ndata: oli\n\n";
const END: &str = "0\r\n\r\n";

/// Returns an address at which nothing listens.
async fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Lists a server in a zone; those of other regions are chosen only if there is no other.
fn list(entry: &Entry, id: &str, address: SocketAddr, zone: &str) {
    let mut record = record(id, address);
    record.zone = Arc::from(zone);
    let state = &entry.state;
    state.with_pool(|pool| pool.put(record, support::POSITION, Duration::ZERO));
}

/// Guards against streams that are cut because the next server refuses connections, although nothing was sent to it.
#[test]
fn a_stream_is_resumed_elsewhere_when_the_next_server_refuses_connections() {
    run(async {
        let begun = stream_head("a1") + &chunk(ONE);
        let first = Server::start(vec![Action::Reset(begun)]).await;
        let rest = stream_head("a1") + &chunk(TWO) + END;
        let last = Server::start(vec![Action::Write(rest)]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 2)), &[&first]);
        let stream = entry.open(&request("a1")).await;
        while first.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        list(&entry, "i-dead-1", refusing_address().await, "north");
        list(&entry, "i-dead-2", refusing_address().await, "north");
        list(&entry, "i-last", last.address, "coast");

        let response = read_all(stream).await;

        assert!(response.contains("data: oli"), "{response}");
        assert!(response.ends_with(END), "{response}");
        assert_eq!(last.arrivals(), 1);
    });
}
