//! Exchange of beacons and rows between entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::client::Client;
use pistachiolug_kernel::{
    inbox::{self, Inbox},
    timer::Ticks,
};
use pistachiolug_replica::{follow::Observer, snapshot};
use pistachiolug_wire::{
    datagram::{self, Crash, Datagram},
    position::Position,
};
use tokio::net::UdpSocket;

use crate::{decoder::Decoder, limit_gossip, state::State, updater::Updater};

/// Interval of beacons: about the time in which one entry assigns a few requests to servers.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(30);

/// Beacon rounds in which a peer's rows may be newer before they are read from it; usually this entry's own watch brings
/// them first.
const MAX_ROUNDS_BEHIND: u32 = 13;

/// Time for which news of a suspect is sent with each round; entries of other regions get it two or three times.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);

/// Rounds between two that send all refused suspects; about a second. These rounds also reach the other regions.
const ROUNDS_PER_REFRESH: u32 = 32;

/// Largest number of target versions in one datagram, so that it fits into one packet.
const MAX_TARGETS_PER_DATAGRAM: usize = 12;

/// Largest number of suspects in one datagram, so that it fits into one packet.
const MAX_SUSPECTS_PER_DATAGRAM: usize = 12;

/// Largest number of datagrams with suspects in one round.
const MAX_SUSPECT_DATAGRAMS: usize = 8;

/// Largest size of the crashes in one datagram, in parts of 13 bytes, so that it fits into one packet.
const MAX_PARTS_PER_DATAGRAM: usize = 88;

/// Size of a crash without its parts, in parts.
const PARTS_PER_CRASH: usize = 2;

/// Largest number of named parts in one datagram, so that it fits into one packet.
pub const MAX_CULPRITS_PER_DATAGRAM: usize = 5;

/// Largest number of datagrams with crashes, and of those with named parts, in one round.
const MAX_PART_DATAGRAMS: usize = 8;

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Longest time that reading a peer's rows may take.
const ROWS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest size of a peer's rows in bytes.
const MAX_ROWS_BYTES: usize = 8 << 20;

/// Internal HTTP path at which an entry serves its rows.
pub const ROWS_PATH: &str = "/internal/rows";

/// Sends a beacon at each tick, and reads the rows of an entry that has newer ones.
pub async fn send_beacons<D: Decoder>(
    state: Rc<State>,
    updater: Updater<D>,
    socket: Rc<UdpSocket>,
    client: Client,
    mut ticks: Ticks,
) {
    let mut rounds_behind = 0;
    let mut known_position = Position::default();
    let mut round = 0_u32;
    loop {
        ticks.next().await;
        state.refresh();
        round = round.wrapping_add(1);
        let (beacon, peers) = state.build_beacon(round);
        let position = beacon.position;
        match datagram::encode(&Datagram::Beacon(beacon)) {
            // A lost beacon is replaced by the next one.
            Ok(message) => peers.iter().for_each(|peer| {
                let _ = socket.try_send_to(&message, *peer);
            }),
            Err(error) => log::warn!(error:%; "encoding a beacon failed"),
        }
        send_targets(&state, &socket, round, &peers);
        send_suspects(&state, &socket, round, &peers);
        send_parts(&state, &socket, round, &peers);
        limit_gossip::send_limits(&state, &socket, round, &peers);
        let peer = state.newer_peer();
        let advanced = position > known_position;
        known_position = position;
        let Some(peer) = peer.filter(|_| !advanced) else {
            rounds_behind = 0;
            continue;
        };
        rounds_behind += 1;
        if rounds_behind >= MAX_ROUNDS_BEHIND || !state.is_active() {
            rounds_behind = 0;
            fetch_rows(&updater, &client, peer).await;
        }
    }
}

/// Sends the target versions that this entry has learned of lately, and now and then all that are not due.
fn send_targets(state: &State, socket: &UdpSocket, round: u32, peers: &[SocketAddr]) {
    let targets = if round.is_multiple_of(ROUNDS_PER_REFRESH) {
        state.pending_targets()
    } else {
        state.target_updates(ANNOUNCE_TIME)
    };
    for targets in targets.chunks(MAX_TARGETS_PER_DATAGRAM) {
        match datagram::encode(&Datagram::Targets(targets.to_vec())) {
            // A lost datagram is replaced by the next ones.
            Ok(message) => peers.iter().for_each(|peer| {
                let _ = socket.try_send_to(&message, *peer);
            }),
            Err(error) => log::warn!(error:%; "encoding target versions failed"),
        }
    }
}

/// Sends what this entry has found out about suspects lately, and now and then all that are refused.
fn send_suspects(state: &State, socket: &UdpSocket, round: u32, peers: &[SocketAddr]) {
    let mut suspects = state.suspect_updates(ANNOUNCE_TIME);
    if round.is_multiple_of(ROUNDS_PER_REFRESH) {
        suspects.extend(state.refused_suspects());
    }
    let datagrams = suspects.chunks(MAX_SUSPECTS_PER_DATAGRAM);
    for suspects in datagrams.take(MAX_SUSPECT_DATAGRAMS) {
        match datagram::encode(&Datagram::Suspects(suspects.to_vec())) {
            // A lost datagram is replaced by the next ones.
            Ok(message) => peers.iter().for_each(|peer| {
                let _ = socket.try_send_to(&message, *peer);
            }),
            Err(error) => log::warn!(error:%; "encoding suspects failed"),
        }
    }
}

/// Names parts by what others have sent, and sends what this entry has found out about crashes lately and now and then
/// all named parts.
fn send_parts(state: &State, socket: &UdpSocket, round: u32, peers: &[SocketAddr]) {
    state.update_named_parts();
    let culprits = if round.is_multiple_of(ROUNDS_PER_REFRESH) {
        state.expire_crashes();
        state.culprits()
    } else {
        state.rerun_culprits(ANNOUNCE_TIME)
    };
    let culprits = culprits.chunks(MAX_CULPRITS_PER_DATAGRAM);
    let culprits = culprits.map(|culprits| Datagram::Culprits(culprits.to_vec()));
    let crashes = chunk_crashes(state.crash_updates(ANNOUNCE_TIME));
    let first = (round as usize * MAX_PART_DATAGRAMS) % crashes.len().max(1);
    // Another round begins with those that did not fit into this one.
    let crashes = crashes.iter().cycle().skip(first).take(crashes.len());
    let crashes = crashes.map(|crashes| Datagram::Crashes(crashes.clone()));
    let datagrams = culprits
        .take(MAX_PART_DATAGRAMS)
        .chain(crashes.take(MAX_PART_DATAGRAMS));
    for datagram in datagrams {
        match datagram::encode(&datagram) {
            // A lost datagram is replaced by the next ones.
            Ok(message) => peers.iter().for_each(|peer| {
                let _ = socket.try_send_to(&message, *peer);
            }),
            Err(error) => log::warn!(error:%; "encoding parts of prompts failed"),
        }
    }
}

/// Distributes crashes over datagrams; one with many parts is split, since reports of one crash add up.
pub fn chunk_crashes(crashes: Vec<Crash>) -> Vec<Vec<Crash>> {
    let max_parts = MAX_PARTS_PER_DATAGRAM - PARTS_PER_CRASH;
    let mut datagrams: Vec<Vec<Crash>> = Vec::new();
    let mut left = 0;
    for crash in crashes {
        for parts in crash.parts.chunks(max_parts) {
            let size = parts.len() + PARTS_PER_CRASH;
            let crash = Crash {
                parts: parts.to_vec(),
                ..crash.clone()
            };
            if let Some(datagram) = datagrams.last_mut().filter(|_| size <= left) {
                datagram.push(crash);
            } else {
                datagrams.push(vec![crash]);
                left = MAX_PARTS_PER_DATAGRAM;
            }
            left -= size;
        }
    }
    datagrams
}

/// Receives the datagrams of entries and agents.
pub async fn receive_datagrams<D: Decoder>(
    state: Rc<State>,
    updater: Updater<D>,
    socket: Rc<UdpSocket>,
) {
    let mut inbox = Inbox::new(socket, state.clock(), MAX_DATAGRAM_BYTES);
    loop {
        match inbox.receive().await {
            Ok(inbox::Datagram {
                bytes,
                from,
                arrived_after,
            }) => match datagram::decode(bytes) {
                Ok(Datagram::Beacon(beacon)) => state.record_beacon(beacon, arrived_after),
                Ok(Datagram::Targets(targets)) => {
                    for target in targets {
                        updater.merge_target(target, arrived_after);
                    }
                }
                Ok(Datagram::Notice(notice)) => state.apply_notice(&notice),
                Ok(Datagram::Suspects(suspects)) => {
                    for suspect in &suspects {
                        state.merge_suspect(suspect);
                    }
                }
                Ok(Datagram::Crashes(crashes)) => state.merge_crashes(&crashes),
                Ok(Datagram::Culprits(culprits)) => state.merge_culprits(&culprits),
                Ok(Datagram::Limits(limits)) => state.merge_limits(&limits, arrived_after),
                Ok(Datagram::Demands { from, demands }) => state.record_demands(from, &demands),
                Ok(Datagram::Grants(grants)) => state.record_grants(&grants, arrived_after),
                Err(error) => log::warn!(from:%, error:%; "malformed datagram received"),
            },
            Err(error) => log::debug!(error:%; "receiving a datagram failed"),
        }
    }
}

async fn fetch_rows<D: Decoder>(updater: &Updater<D>, client: &Client, peer: SocketAddr) {
    let Position { era, revision } = updater.with_rows(|rows| rows.position());
    let url = format!("http://{peer}{ROWS_PATH}?era={era}&after={revision}");
    let request = Request::get(url).body(Bytes::new());
    let Ok(request) = request else {
        return;
    };
    let rows = match client.fetch(request, MAX_ROWS_BYTES, ROWS_TIMEOUT).await {
        Ok(response) if response.status() != StatusCode::OK => {
            Err(format!("status {}", response.status()))
        }
        Ok(response) => updater
            .with_rows(|rows| {
                let made_after = rows.complete_at();
                let changes = snapshot::apply(response.body(), rows)?;
                Ok((changes, made_after))
            })
            .map_err(|error: snapshot::Error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match rows {
        Ok((changes, made_after)) => {
            let position = updater.with_rows(|rows| rows.position());
            log::info!(peer:%, after = revision, era = position.era, revision = position.revision, changes = changes.len(); "rows read from another entry");
            updater.on_changes(changes, made_after);
        }
        Err(error) => log::warn!(peer:%, error = error.as_str(); "reading rows of a peer failed"),
    }
}
