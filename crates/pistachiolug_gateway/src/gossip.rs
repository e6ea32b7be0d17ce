//! Exchange of beacons and rows between entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use pistachiolug_http::client::Client;
use pistachiolug_kernel::timer::Ticks;
use pistachiolug_replica::{follow::Observer, snapshot};
use pistachiolug_wire::datagram::{self, Datagram};
use tokio::net::UdpSocket;

use crate::{decoder::Decoder, state::State, updater::Updater};

/// Interval of beacons: about the time in which one entry places a few requests.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(30);

/// Beacons that a peer may be ahead before its rows are read; the own watch usually brings them first.
const BEHIND_MOST: u32 = 13;

/// Largest datagram in bytes.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Longest time that reading a peer's rows may take.
const ROWS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest rows that are accepted from a peer, in bytes.
const ROWS_BYTES: usize = 8 << 20;

/// Internal path of an entry's rows.
pub const ROWS_PATH: &str = "/internal/rows";

/// Sends beacons at each tick and catches up with better informed entries.
pub async fn send_beacons<D: Decoder>(
    state: Rc<State>,
    updater: Updater<D>,
    socket: Rc<UdpSocket>,
    client: Client,
    mut ticks: Ticks,
) {
    let mut behind = 0;
    let mut known = 0;
    let mut round = 0_u32;
    loop {
        ticks.next().await;
        state.refresh();
        round = round.wrapping_add(1);
        let (beacon, peers) = state.build_beacon(round);
        let revision = beacon.revision;
        match datagram::encode(&Datagram::Beacon(beacon)) {
            // A beacon that is lost is replaced by the next one.
            Ok(message) => peers.iter().for_each(|peer| {
                let _ = socket.try_send_to(&message, *peer);
            }),
            Err(error) => log::warn!(error:%; "beacon not encoded"),
        }
        let peer = state.newer_peer();
        let advanced = revision > known;
        known = revision;
        let Some(peer) = peer.filter(|_| !advanced) else {
            behind = 0;
            continue;
        };
        behind += 1;
        if behind >= BEHIND_MOST || !state.is_active() {
            behind = 0;
            catch_up(&updater, &client, peer).await;
        }
    }
}

/// Takes datagrams of entries and agents.
pub async fn receive_datagrams(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match datagram::decode(&buffer[..length]) {
                Ok(Datagram::Beacon(beacon)) => {
                    let now = state.now();
                    state.with_peers(|peers| peers.record_beacon(beacon, now));
                }
                Ok(Datagram::Notice(notice)) => state.apply_notice(&notice),
                Err(error) => log::warn!(from:%, error:%; "malformed datagram"),
            },
            Err(error) => log::debug!(error:%; "beacon not received"),
        }
    }
}

async fn catch_up<D: Decoder>(updater: &Updater<D>, client: &Client, peer: SocketAddr) {
    let after = updater.with_rows(|rows| rows.revision());
    let url = format!("http://{peer}{ROWS_PATH}?after={after}");
    let request = Request::get(url).body(Bytes::new());
    let Ok(request) = request else {
        return;
    };
    let rows = match client.fetch(request, ROWS_BYTES, ROWS_TIMEOUT).await {
        Ok(response) => updater
            .with_rows(|rows| snapshot::take(response.body(), rows))
            .map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match rows {
        Ok(changes) => {
            let revision = updater.with_rows(|rows| rows.revision());
            log::info!(peer:%, after, revision, changes = changes.len(); "rows read from another entry");
            updater.changed(changes);
        }
        Err(error) => log::warn!(peer:%, error = error.as_str(); "rows of another entry not read"),
    }
}
