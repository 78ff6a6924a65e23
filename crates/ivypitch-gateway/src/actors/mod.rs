//! The actors of a gateway: each owns a mailbox and its state, and shares nothing but counters with the others.
//!
//! One scheduler actor owns every decision. Each engine, client session and attempt has an actor or task of its own, the
//! endpoint list and the other gateways have one each. [`messages`] holds what they send to each other.

pub mod attempt;
pub mod coordination;
pub mod discovery;
pub mod engine;
pub mod engine_client;
pub mod engine_connection;
pub mod messages;
pub mod ownership;
pub mod peer_links;
pub mod queueing;
pub mod scheduler;
pub mod session;
pub mod socket;
