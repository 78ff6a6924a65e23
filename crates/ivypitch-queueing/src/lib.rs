//! Fair queueing of statements by team: which team's statement goes to the scheduler next, and
//! which statements are rejected before they reach it.
//!
//! The crate performs no I/O, reads no clock and starts no threads. Each event is one call that
//! carries its time, and [`TeamQueues`] acts through [`Output`] before the call returns. What the
//! queues promise and why they order statements this way: `docs/teams.md`.

pub mod budgets;
pub mod lane;
pub mod team_heap;
pub mod team_queues;
pub mod timing_wheel;
pub mod wait_estimates;
pub mod window;

pub use budgets::{Budgets, TeamBudget, WorkloadQueueParams};
pub use team_queues::{Output, QueueArrival, QueuedStatement, TeamQueues};
pub use wait_estimates::{WaitEstimate, WaitStatistics};
