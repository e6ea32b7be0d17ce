//! Check that the addresses of a daemon's settings are free.

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpListener},
};

use crate::{daemon::Daemon, finding::Finding};

/// Tries to bind each listening address of the settings; returns a finding for each one that can't be bound.
pub fn check(document: &str, settings: &Daemon) -> Vec<Finding> {
    let internal = Some(("internal", settings.internal));
    let callers = settings.callers.map(|address| ("callers", address));
    let addresses = internal.into_iter().chain(callers);
    addresses
        .filter_map(|(field, address)| try_bind(document, field, address))
        .collect()
}

/// Binds an address for a moment; returns a finding if that fails.
fn try_bind(document: &str, field: &str, address: SocketAddr) -> Option<Finding> {
    let error = TcpListener::bind(address).err()?;
    let (reason, fix) = match error.kind() {
        ErrorKind::AddrInUse => (
            format!("{address} is in use"),
            "stop the process that uses it, or set another port",
        ),
        ErrorKind::AddrNotAvailable => (
            format!("{address} is not an address of this machine"),
            "set one of its IP addresses",
        ),
        _ => (format!("{address}: {error}"), "set another address"),
    };
    Some(Finding {
        document: document.to_owned(),
        place: None,
        field: field.to_owned(),
        reason,
        mend: fix.to_owned(),
    })
}
