//! Ports reserved for processes that start later.

use std::collections::HashSet;

use ivypitch_testbed::processes::ports::{free_port, reserve};

/// Guards against another program of the testbed taking a port before the process that the port is
/// reserved for.
#[test]
fn an_allocated_port_stays_reserved_until_the_program_ends() {
    let address = free_port();
    assert!(reserve(address.port()).is_none());
}

#[test]
fn each_port_is_allocated_once() {
    let ports: Vec<u16> = (0..200).map(|_| free_port().port()).collect();
    let distinct: HashSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), ports.len());
}
