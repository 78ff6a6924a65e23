//! The actors of a gateway. Each has a mailbox and its own state; actors share little but counters
//! and handles.
//!
//! One scheduler actor makes all scheduling decisions. Each engine, client session and attempt has
//! an actor or task of its own; the endpoint watch and the communication with other gateways have
//! one actor each. [`messages`] defines the messages between them.

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
