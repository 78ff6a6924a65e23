//! The language of the scenarios: one step per line or several separated by `; `. `#` begins a
//! comment. Times are in milliseconds. Names of statements, engines and workloads can be chosen
//! freely; `@S` stands for the engine of S's last attempt.
//!
//! Configuration, before the scheduler starts with the first event:
//! - `set FIELD VALUE` sets a field of `Deployment`.
//! - `workload NAME FIELD=VALUE ..`, `engine_kind cores=8`, `tenant quota_per_second=1` add an
//!   entry.
//!
//! Events, mostly named as the scheduler's methods without `on_` and `set_`:
//! - `endpoints_updated full|delta|snapshot A FIELD=VALUE .. / B ..`, `endpoint_watch_failed`
//! - `statement_arrived S WORKLOAD FIELD=VALUE ..`, `statement_expired S`
//! - `attempt_ended S OUTCOME [report=a,b] [true_cost=MS] [took=MS] [closed=yes] [attempt=N]`
//! - `progress S fraction_done X`, `progress S spilled_mb X`, `response_started S`
//! - `load_report ENGINE a,b`, `quota_share TENANT X`
//! - `outlier_status ENGINE ejected|trial|recovered|none`; `trial`: ejected, and this gateway
//!   probes the engine.
//! - `adopt_statement S WORKLOAD FIELD=VALUE .. / ENGINE` is `take_over_statement`.
//! - `peer_message FROM bulk_load_begins|bulk_load_ends ENGINE TABLE_GROUP`
//! - `peer_message_bytes 1,2,3`
//! - `at T` advances the clock to T and fires the timers on the way.
//!
//! Several events in one step:
//! - `many_endpoints N FIELD=VALUE ..` is a full update with N equal engines.
//! - `many_statements_arrived N WORKLOAD FIELD=VALUE ..`: N equal statements arrive.
//! - `serve N WORKLOAD [outcome=O]`: N statements of as many table groups arrive, and each of their
//!   attempts ends immediately.
//!
//! Checks:
//! - `expect ACTION ..` removes the first action that begins with these words and all before it.
//!   Actions are the methods of `Output`: `send S ENGINE`, `cancel S`,
//!   `set_resources S MB PRIORITY`, `reject S RETRY_AFTER`, `abort S`, `forget S`,
//!   `request_load_report ENGINE`, `broadcast 0|1` (the message's last bit), `watch_endpoints`,
//!   `log LINE`.
//! - `never ACTION ..`: no remaining action begins with these words.
//! - `confirm_send S yes|no`: whether the last attempt of S may be sent now.
//! - `is_engine_referenced ENGINE yes|no`; `reuse_engine_index A B` gives A's index to B.
//! - `engines_used A B` bounds the number of engines that got an attempt.
//! - `idle`: no statement is open and no attempt runs.
//! - `restart` replaces the scheduler by a new one with the same configuration.
//!
//! Fleets: `fleet N` runs the steps as each of N gateways, `first_gateways N STEP` runs a step as
//! the first N only; `total_sends A B` bounds the unchecked attempts of all gateways,
//! `gateways_per_engine A B` the number of gateways that used each engine.

pub mod configuration;
pub mod fields;
pub mod player;
pub mod recorder;
