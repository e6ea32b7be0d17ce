//! Free ports on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, PoisonError},
};

use rand::RngExt;

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
pub fn free() -> io::Result<SocketAddr> {
    for _ in 0..TRIES {
        let port = rand::rng().random_range(FIRST..END);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
