//! The language of the scenarios: one step a line or several parted by `; `, `#` begins a comment, times are
//! milliseconds. Names of statements, engines and workloads are free; `@S` stands for the engine of S's last attempt.
//!
//! Configuration, before the scheduler starts with the first event:
//! - `set FIELD VALUE` sets a field of `Deployment`.
//! - `workload NAME FIELD=VALUE ..`, `engine_kind cores=8`, `tenant quota_per_second=1` add a row.
//!
//! Events, named as the scheduler's methods without `on_`:
//! - `endpoints_updated full|delta|snapshot A FIELD=VALUE .. / B ..`, `endpoint_watch_failed`
//! - `statement_arrived S WORKLOAD FIELD=VALUE ..`, `statement_expired S`
//! - `attempt_ended S OUTCOME [report=a,b] [true_cost=MS] [took=MS] [closed=yes] [attempt=N]`
//! - `progress S fraction_done X`, `progress S spilled_mb X`, `response_started S`
//! - `load_report ENGINE a,b`, `outlier_status ENGINE ejected|trial|recovered|none`, `quota_share TENANT X`
//! - `adopt_statement S WORKLOAD FIELD=VALUE .. / ENGINE`
//! - `peer_message FROM bulk_load_begins|bulk_load_ends ENGINE TABLE_GROUP`, `peer_message_bytes 1,2,3`
//! - `at T` plays the clock to T with the timers that fire.
//!
//! Several at once:
//! - `many_endpoints N FIELD=VALUE ..` is a full update with N engines alike.
//! - `many_statements_arrived N WORKLOAD FIELD=VALUE ..`: N statements alike arrive.
//! - `serve N WORKLOAD [outcome=O]`: N statements of as many table groups, each of their attempts ended at once.
//!
//! Checks:
//! - `expect ACTION ..` takes the first action that begins so and drops those before it. Actions are the methods of
//!   `Output`: `send S ENGINE`, `cancel S`, `set_resources S MB PRIORITY`, `reject S RETRY_AFTER`, `abort S`, `forget S`,
//!   `request_load_report ENGINE`, `broadcast 0|1` (the message's last bit), `watch_endpoints`, `log LINE`.
//! - `never ACTION ..`: there is no such action since then.
//! - `confirm_send S yes|no`: whether the last attempt of S may leave now.
//! - `is_engine_referenced ENGINE yes|no`; `reuse_engine_index A B` gives A's index to B.
//! - `engines_used A B` bounds the number of engines that got an attempt.
//! - `idle`: nothing is in flight.
//! - `restart` starts a new scheduler that has only its configuration.
//!
//! Fleets: `fleet N` plays the steps as each of N gateways, `first_gateways N STEP` plays a step as the first N only;
//! `total_sends A B` bounds the attempts of all, `gateways_per_engine A B` the gateways that used each engine.

pub mod configuration;
pub mod fields;
pub mod player;
pub mod recorder;
