//! Ports that a daemon's settings name but another process holds.

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpListener},
};

use crate::{daemon::Daemon, finding::Finding};

/// Tries to bind each address of the settings and reports those that can't be.
pub fn check(document: &str, settings: &Daemon) -> Vec<Finding> {
    let internal = Some(("internal", settings.internal));
    let callers = settings.callers.map(|address| ("callers", address));
    let named = internal.into_iter().chain(callers);
    named
        .filter_map(|(field, address)| try_bind(document, field, address))
        .collect()
}

fn try_bind(document: &str, field: &str, address: SocketAddr) -> Option<Finding> {
    let error = TcpListener::bind(address).err()?;
    let (reason, mend) = match error.kind() {
        ErrorKind::AddrInUse => (
            format!("{address} is in use"),
            "stop the process that holds it, or name another port",
        ),
        ErrorKind::AddrNotAvailable => (
            format!("{address} is not an address of this machine"),
            "name one of its IP numbers",
        ),
        _ => (format!("{address}: {error}"), "name another port"),
    };
    Some(Finding {
        document: document.to_owned(),
        place: None,
        field: field.to_owned(),
        reason,
        mend: mend.to_owned(),
    })
}
