//! The decisions of the ivypitch gateway: which engine runs a statement, whether it is retried and what is rejected.

mod interface;
mod scheduler;
mod state;
mod units;

pub use interface::*;
pub use scheduler::Scheduler;
pub use units::{load_tag, place_of, point_of};
