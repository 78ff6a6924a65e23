//! What gateways share: budgets, counts and judgements, with their ages. Decides and keeps state; no I/O, no clock, no
//! threads. Whatever is dropped, late, doubled, cut or restarted, no bound over the fleet is passed, and a gateway that
//! hears nobody keeps its floor and its own knowledge.

pub mod escrow;
pub mod journal;
pub mod market;
pub mod shares;
pub mod sights;
pub mod spread;
pub mod verdicts;

pub use escrow::Process;
pub use shares::{BoundTerms, CoordinationOutput, Message, Saw, Shares, Terms, VERSION, View};
pub use spread::Gossip;
