//! Datagrams between entries about servers with limits.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pistachiolug_wire::datagram::{self, Datagram, Demand, Grant};
use rustc_hash::FxHashMap;
use tokio::net::UdpSocket;

use crate::state::{Outgoing, State};

/// Time for which a change of a limit is sent with each round; entries of other regions get it two or three times.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);

/// Rounds between two that send all limits: about a quarter of a second, so that an entry that starts sends few requests
/// before it knows them.
const ROUNDS_PER_REFRESH: u32 = 8;

/// Largest number of limits, demands or grants in one datagram, so that it fits into one packet.
const MAX_PER_DATAGRAM: usize = 40;

/// Sends the limits that have changed lately, and now and then all of them.
pub fn send_limits(state: &State, socket: &UdpSocket, round: u32, peers: &[SocketAddr]) {
    let within = (!round.is_multiple_of(ROUNDS_PER_REFRESH)).then_some(ANNOUNCE_TIME);
    for limits in state.limits(within).chunks(MAX_PER_DATAGRAM) {
        send(socket, peers, &Datagram::Limits(limits.to_vec()));
    }
}

/// Sends demands and grants as soon as there are some; never returns.
pub async fn send_demands_and_grants(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        state.wait_for_demand().await;
        let Outgoing { demands, grants } = state.take_outgoing();
        for (coordinator, demands) in by_address(demands) {
            for demands in demands.chunks(MAX_PER_DATAGRAM) {
                let demands: Vec<Demand> = demands.to_vec();
                let from = state.options.internal;
                send(
                    &socket,
                    &[coordinator],
                    &Datagram::Demands { from, demands },
                );
            }
        }
        for (entry, grants) in by_address(grants) {
            for grants in grants.chunks(MAX_PER_DATAGRAM) {
                let grants: Vec<Grant> = grants.to_vec();
                send(&socket, &[entry], &Datagram::Grants(grants));
            }
        }
    }
}

fn by_address<T>(items: Vec<(SocketAddr, T)>) -> FxHashMap<SocketAddr, Vec<T>> {
    let mut by_address: FxHashMap<SocketAddr, Vec<T>> = FxHashMap::default();
    for (address, item) in items {
        by_address.entry(address).or_default().push(item);
    }
    by_address
}

fn send(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    match datagram::encode(datagram) {
        // What is lost is sent again by a later round, or is not used.
        Ok(message) => peers.iter().for_each(|peer| {
            let _ = socket.try_send_to(&message, *peer);
        }),
        Err(error) => log::warn!(error:%; "encoding limits failed"),
    }
}
