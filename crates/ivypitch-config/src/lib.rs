//! Reads the settings of a deployment and of its operator into types.
//!
//! - [`read_deployment`] reads the platform's settings of a deployment: the JSON that both hosts of
//!   the scheduler get. It is the only reader of that JSON.
//! - [`operator`] reads the operator's settings file; [`schema`] validates and describes it.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod deployment;
pub mod operator;
mod platform;
pub mod schema;

pub use deployment::{
    ConnectionLimits, DeploymentConfig, DeploymentError, Names, read_deployment,
    sanitize_memory_estimate_mb, table_group_index,
};
