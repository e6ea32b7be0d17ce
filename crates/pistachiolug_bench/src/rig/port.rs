//! Free ports on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{Mutex, PoisonError},
};

use rand::RngExt;
use tokio::net::TcpSocket;

/// First port handed out; below the range from which the system takes ports of outgoing connections.
const FIRST: u16 = 10_240;

/// First port no longer handed out.
const END: u16 = 32_768;

/// Candidates tried before the search fails.
const TRIES: u32 = 1000;

/// UDP sockets that reserve the handed out numbers against rigs in other processes until this one ends.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Finds a TCP port that is free now and that no other rig on this machine gets meanwhile.
///
/// # Errors
/// `AddrInUse` when no candidate is free.
pub fn reserve() -> io::Result<SocketAddr> {
    for _ in 0..TRIES {
        let port = rand::rng().random_range(FIRST..END);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        if is_free(address) {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Tells whether nobody listens on an address.
///
/// The socket is bound and does not listen: another thread may start a process meanwhile, which holds a copy of it for a
/// moment, and only a listening copy would keep the port taken.
fn is_free(address: SocketAddr) -> bool {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)
    });
    bound.is_ok()
}
