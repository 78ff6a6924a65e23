//! Start and stop: configuration, clock, logger, signals, and the program as one object with named phases.

pub mod clock;
pub mod configuration;
pub mod logger;
pub mod program;
