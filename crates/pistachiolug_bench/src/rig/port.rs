//! Free ports on loopback.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

/// Finds a port that is free now.
///
/// # Errors
/// Returns the error of the bind.
pub fn free() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
