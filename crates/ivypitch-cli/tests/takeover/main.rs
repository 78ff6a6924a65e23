//! Statements in flight outlive their gateway: fleets of real gateways on loopback that talk, with a relay on every link, of
//! which some are lost, stopped or cut off. Engines count the starts, clients tell what they heard.

mod answers;
mod engines;
mod lost_gateways;
mod member_lists;
mod moments_of_loss;
mod partitions;
mod planned_stops;
mod scene;
mod stopped_gateways;
