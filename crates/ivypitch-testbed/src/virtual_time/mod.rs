//! Deterministic simulations of whole fleets in virtual time: engines, the gateways' decision
//! crates, networks with faults and open-loop traffic, all drawn from a seed. Independent of
//! processes, sockets and experiments.

pub mod coordination_fleet;
pub mod discovery_fleet;
pub mod engine;
pub mod faults;
pub mod membership_fleet;
pub mod ownership_fleet;
pub mod resource_usage;
pub mod scheduler_fleet;
pub mod traffic;
