//! Whole fleets as values in virtual time: engines, gateways' deciding crates, networks with faults, open-loop
//! traffic, all by a seed. Knows no process, no socket and no experiment.

pub mod coordination_fleet;
pub mod discovery_fleet;
pub mod engine;
pub mod faults;
pub mod membership_fleet;
pub mod ownership_fleet;
pub mod resource_usage;
pub mod scheduler_fleet;
pub mod traffic;
