//! The scheduler of one ivypitch gateway: chooses the engine for each statement, decides whether
//! the statement is retried, and sheds load.
//!
//! # Contract
//!
//! [`Scheduler`] has one method per event (`on_...`, `begin_shutdown`, `set_quota_share`). The host
//! calls the method with the time of the event; the scheduler calls [`Output`] before the method
//! returns. It performs no I/O, reads no clock and starts no threads: the same calls with the same
//! times and seed give the same decisions.
//!
//! - Times are [`Nanos`](ivypitch_types::Nanos) of one monotonic clock.
//! - A [`StatementIndex`](ivypitch_types::StatementIndex) may be reused once the scheduler has
//!   called [`Output::forget`] with it, an [`EngineIndex`](ivypitch_types::EngineIndex) once
//!   [`Scheduler::is_engine_referenced`] returns `false` for it.
//! - Every statement that arrives gets exactly one final answer: a complete result by the host,
//!   [`Output::reject`] or [`Output::abort`].
//! - The host calls [`Scheduler::confirm_send`] just before it sends the first byte of an attempt,
//!   and reports a denied attempt as [`Outcome::NotSent`](ivypitch_types::Outcome::NotSent).
//!
//! # Code structure
//!
//! `scheduler.rs` holds the entry points, `placement.rs` the choice of an engine (BEMA) and
//! `safety_rules.rs` the seven rules that every send, rejection and abort must pass. Each other
//! file holds one addition to this basic path.
//!
//! # Example
//!
//! ```
//! use ivypitch_scheduler::{
//!     Arrival, DeduplicationScope, Deployment, EndpointUpdateKind, EngineEndpoint, EngineKind,
//!     EngineState, Idempotency, Output, Scheduler, Workload,
//! };
//! use ivypitch_types::{EngineIndex, Nanos, SECOND, StatementIndex};
//!
//! #[derive(Default)]
//! struct Sends(Vec<(StatementIndex, EngineIndex)>);
//!
//! impl Output for Sends {
//!     fn send(&mut self, statement: StatementIndex, engine: EngineIndex, _timeout: Nanos) {
//!         self.0.push((statement, engine));
//!     }
//!     // A real host also implements the other methods.
//! #   fn cancel(&mut self, _: StatementIndex, _: u32) {}
//! #   fn set_resources(&mut self, _: StatementIndex, _: f64, _: u8) {}
//! #   fn reject(&mut self, _: StatementIndex, _: Nanos) {}
//! #   fn abort(&mut self, _: StatementIndex) {}
//! #   fn forget(&mut self, _: StatementIndex) {}
//! #   fn set_timer(&mut self, _: u64, _: Nanos) {}
//! #   fn request_load_report(&mut self, _: EngineIndex) {}
//! #   fn broadcast(&mut self, _: &[u8]) {}
//! #   fn watch_endpoints(&mut self) {}
//! #   fn log(&mut self, _: &str) {}
//! }
//!
//! let lookup = Workload {
//!     latency_objective: SECOND / 2,
//!     latency_objective_stretch: 0.0,
//!     statement_timeout: 4 * SECOND,
//!     priority_weight: 1.0,
//!     idempotency: Idempotency::Idempotent,
//!     deduplication_scope: DeduplicationScope::All,
//!     deduplication_window: 0,
//!     is_ordered_by_key: false,
//!     allowed_zones: None,
//!     allowed_engine_kinds: None,
//!     threads: 1.0,
//!     is_bulk_load: false,
//!     waits_for_bulk_loads: false,
//! };
//! let deployment = Deployment {
//!     gateways: 1,
//!     workloads: vec![lookup],
//!     engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 16384.0 }],
//!     max_open_statements: 100,
//!     max_attempts: 3,
//!     ..Deployment::default()
//! };
//! let endpoint = EngineEndpoint { id: 7, state: EngineState::Ready, ..EngineEndpoint::default() };
//! let arrival = Arrival {
//!     workload: 0,
//!     key: 0,
//!     table_group: 1,
//!     time_left: 4 * SECOND,
//!     is_repeat: false,
//!     tenant: 0,
//!     estimated_memory_mb: 0.0,
//!     estimated_work: 0,
//! };
//!
//! let (seed, now) = (1, 0);
//! let mut sends = Sends::default();
//! let mut scheduler = Scheduler::new(deployment, seed, now);
//! scheduler.on_endpoints_updated(now, EndpointUpdateKind::Full, &[endpoint], &mut sends);
//! scheduler.on_statement_arrived(now, StatementIndex(0), arrival, &mut sends);
//! assert_eq!(sends.0, [(StatementIndex(0), EngineIndex(0))]);
//! ```

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

mod admission;
mod attempts;
mod bulk_loads;
mod capacity;
mod cost_model;
mod deployment;
mod dispatch;
mod endpoints;
mod engine;
mod events;
mod key_order;
mod load_reports;
mod outlier_detection;
mod output;
mod placement;
mod recent_statements;
mod retry_budget;
mod safety_rules;
mod scheduler;
mod sliding_window;
mod slow_start;
mod statement;
mod subset;
mod tenant_quota;
mod workload;

pub use bulk_loads::bulk_load_tag;
pub use deployment::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, LoadReporting, ReportField,
    RetryBudget, Tenant, Workload,
};
pub use events::{
    Arrival, AttemptEnded, AttemptProgress, EndpointUpdateKind, EngineEndpoint, EngineState,
    OutlierStatus,
};
pub use output::Output;
pub use recent_statements::{Effect, RecentStatements};
pub use scheduler::{InFlight, Scheduler};
pub use subset::gateway_rank;
