//! Free ports on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
};

use rand::RngExt;

/// Ports below those that the system gives to outgoing connections, which could take a port between its choice and use.
const PORTS: Range<u16> = 10_000..32_000;

/// Ports that are tried.
const TRIES: u32 = 100;

/// Finds a port that is free now, at random, so that runs side by side rarely meet.
///
/// # Errors
/// Returns the error of the last bind.
pub fn free() -> io::Result<SocketAddr> {
    let mut tries = 1..=TRIES;
    loop {
        let port = rand::rng().random_range(PORTS);
        match TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) if tries.next().is_none() => return Err(error),
            Err(_) => {}
        }
    }
}
