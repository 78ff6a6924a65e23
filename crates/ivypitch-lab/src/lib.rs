//! The laboratory: engines as values in virtual time, and over sockets in real time; whole fleets of gateways in
//! virtual time; open-loop traffic by seed; experiments with bounds; reports. Its constants are its own.

pub mod command;
pub mod custody_cost;
pub mod custody_fleet;
pub mod demo;
pub mod engine;
pub mod experiments;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod fleet_cut;
pub mod gateway_loss;
pub mod members_fleet;
pub mod processes;
pub mod report;
pub mod shares_fleet;
pub mod sockets;
pub mod stand_ins;
pub mod traffic;
