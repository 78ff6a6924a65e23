//! The gateway process from start to exit: configuration, bounds, clock, logging, signals and
//! phases.

pub mod bounds;
pub mod clock;
pub mod configuration;
pub mod gateway;
pub mod logger;
pub mod operator_config;
pub mod startup;

mod accept;
mod peers;
mod phase;
mod reload;
mod shutdown;

pub use phase::Phase;
