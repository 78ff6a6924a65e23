//! Settings, read into types.
//!
//! - [`read`] reads the platform's settings of a deployment, the JSON that both hosts of the scheduler get. There is
//!   no other reader of it.
//! - [`operator`] reads the operator's own settings file, [`schema`] checks and describes it.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod deployment;
pub mod operator;
mod platform;
pub mod schema;

pub use deployment::{
    DeploymentConfig, DeploymentError, Limits, Names, estimated_mb, read, table_group,
};
