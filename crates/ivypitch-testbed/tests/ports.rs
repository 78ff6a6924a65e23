//! Ports that are reserved for processes to come.

use std::collections::HashSet;

use ivypitch_testbed::processes::ports::{free_port, reserve};

/// Guards against a port that another program of the testbed takes before the process that it is for has it.
#[test]
fn a_port_that_was_given_out_is_reserved_until_the_program_ends() {
    let address = free_port();
    assert!(reserve(address.port()).is_none());
}

#[test]
fn ports_are_given_out_once() {
    let ports: Vec<u16> = (0..200).map(|_| free_port().port()).collect();
    let distinct: HashSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), ports.len());
}
