//! Ports of the rig.

use std::{
    collections::BTreeSet,
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use pistachiolug_bench::rig::port;

/// Threads that start processes beside the search.
const STARTERS: usize = 4;

/// Ports taken beside them; more could exceed a usual limit of open files.
const PORTS: usize = 500;

#[test]
fn free_ports_are_on_loopback() {
    let address = port::reserve().expect("a port is free");

    assert!(address.ip().is_loopback());
}

#[test]
fn a_port_is_handed_out_once() {
    let ports: BTreeSet<_> = (0..200)
        .map(|_| port::reserve().expect("a port is free"))
        .collect();

    assert_eq!(ports.len(), 200);
}

/// A process that starts holds copies of all sockets between its fork and its exec.
#[test]
fn a_port_can_be_bound_at_once_while_processes_start() {
    let done = AtomicBool::new(false);

    let taken = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    start_and_end();
                }
            });
        }
        let ports = (0..PORTS).map(|_| port::reserve().expect("a port is free"));
        let taken: Vec<_> = ports
            .filter_map(|port| TcpListener::bind(port).err())
            .collect();
        done.store(true, Ordering::Relaxed);
        taken
    });

    assert!(taken.is_empty(), "{} of {PORTS}: {taken:?}", taken.len());
}

fn start_and_end() {
    let this = std::env::current_exe().expect("this program has a path");
    let ended = Command::new(this)
        .arg("--list")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .status();
    assert!(ended.expect("this program starts").success());
}
