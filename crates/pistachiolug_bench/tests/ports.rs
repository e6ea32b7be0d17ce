//! Tests of the ports that the rig reserves.

use std::{
    collections::BTreeSet,
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use pistachiolug_bench::rig::port;

/// Number of threads that start processes while ports are reserved.
const STARTER_THREADS: usize = 4;

/// Number of ports that are reserved meanwhile; more could exceed a usual limit of open files.
const PORTS: usize = 500;

/// Guards against a rig whose daemons listen on addresses that other machines can reach.
#[test]
fn reserved_ports_are_on_loopback() {
    let address = port::reserve().expect("a port is free");

    assert!(address.ip().is_loopback());
}

/// Guards against two daemons of one rig that are given the same port.
#[test]
fn a_port_is_handed_out_once() {
    let ports: BTreeSet<_> = (0..200)
        .map(|_| port::reserve().expect("a port is free"))
        .collect();

    assert_eq!(ports.len(), 200);
}

/// Guards against a port that is in use when its daemon binds it. A process that starts holds copies of all sockets
/// between its fork and its exec, so a socket that listened during the search would keep the port in use.
#[test]
fn a_reserved_port_can_be_bound_while_other_threads_start_processes() {
    let done = AtomicBool::new(false);

    let bind_errors = thread::scope(|scope| {
        for _ in 0..STARTER_THREADS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    start_and_end();
                }
            });
        }
        let ports = (0..PORTS).map(|_| port::reserve().expect("a port is free"));
        let bind_errors: Vec<_> = ports
            .filter_map(|port| TcpListener::bind(port).err())
            .collect();
        done.store(true, Ordering::Relaxed);
        bind_errors
    });

    assert!(
        bind_errors.is_empty(),
        "{} of {PORTS}: {bind_errors:?}",
        bind_errors.len()
    );
}

fn start_and_end() {
    let own_path = std::env::current_exe().expect("this program has a path");
    let ended = Command::new(own_path)
        .arg("--list")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .status();
    assert!(ended.expect("this program starts").success());
}
