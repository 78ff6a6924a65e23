//! Takeover of statements in flight: fleets of real gateways on loopback with a relay on every
//! link, of which some are killed, suspended or partitioned. The tests check the starts at the
//! engines and the answers to clients.

mod answers;
mod client_disconnects;
mod engines;
mod lost_gateways;
mod member_lists;
mod moments_of_loss;
mod partitions;
mod planned_stops;
mod scene;
mod stopped_gateways;
