//! Ports of the rig.

use std::collections::BTreeSet;

use pistachiolug_bench::rig::port;

#[test]
fn free_ports_are_on_loopback() {
    let address = port::free().expect("a port is free");

    assert!(address.ip().is_loopback());
}

#[test]
fn a_port_is_handed_out_once() {
    let ports: BTreeSet<_> = (0..200)
        .map(|_| port::free().expect("a port is free"))
        .collect();

    assert_eq!(ports.len(), 200);
}
