//! The laboratory: engines as values in virtual time, and over sockets in real time; whole fleets of gateways in
//! virtual time; open-loop traffic by seed; experiments with bounds; reports. Its constants are its own.
//!
//! Arrows: `command` and `demo` -> `experiments` -> `processes` -> `virtual_time` and `test_servers`; `report`,
//! `plot` and `figures` know none of them.

pub mod command;
pub mod demo;
pub mod experiments;
pub mod figures;
pub mod log_lines;
pub mod plot;
pub mod processes;
pub mod report;
pub mod test_servers;
pub mod virtual_time;
