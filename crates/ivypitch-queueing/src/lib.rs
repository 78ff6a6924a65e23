//! Which team's statement goes to the decision module next, and what is turned away before it gets there.
//!
//! No I/O, no clock, no threads: one call for each thing that happens, with its time; [`TeamQueues`] acts through
//! [`Output`] before it returns. What it promises and why it orders as it does: `docs/teams.md`.

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
