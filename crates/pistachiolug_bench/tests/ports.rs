//! Ports of the rig.

use pistachiolug_bench::rig::port;

#[test]
fn free_ports_are_on_loopback() {
    let address = port::free().expect("a port is free");

    assert!(address.ip().is_loopback());
}
