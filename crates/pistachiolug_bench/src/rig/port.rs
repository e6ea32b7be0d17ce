//! Free ports on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{Mutex, PoisonError},
};

use rand::RngExt;
use tokio::net::TcpSocket;

/// Lowest port that is handed out. The range ends below the ephemeral ports, which the system gives to outgoing
/// connections.
const FIRST_PORT: u16 = 10_240;

/// End of the range, which is not handed out itself: Linux's first ephemeral port by default.
const END_PORT: u16 = 32_768;

/// Number of random ports that are tried before the search fails.
const MAX_ATTEMPTS: u32 = 1000;

/// UDP sockets on the handed out port numbers. They keep rigs in other processes from taking the same numbers until
/// this process ends.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Reserves a TCP port on loopback: one that is free now and that no other rig on this machine is given.
///
/// # Errors
/// `AddrInUse` if no free port was found.
pub fn reserve() -> io::Result<SocketAddr> {
    for _ in 0..MAX_ATTEMPTS {
        let port = rand::rng().random_range(FIRST_PORT..END_PORT);
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

/// Tells whether no socket listens on an address.
///
/// The socket is only bound and never listens. A process that another thread starts meanwhile holds a copy of the
/// socket until its exec, and a copy that listens would keep the port in use.
fn is_free(address: SocketAddr) -> bool {
    let result = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)
    });
    result.is_ok()
}
