//! The testbed: emulated engines in virtual time and as real-time servers; fleets of gateways in virtual time and as
//! processes; seeded open-loop traffic; experiments with bounds; reports. It shares no constants with the gateway.
//!
//! Dependencies: `command` and `demo` -> `experiments` -> `processes` -> `virtual_time` and `test_servers`; `report`,
//! `plot` and `figures` depend on none of them.

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
