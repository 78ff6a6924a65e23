//! The decisions of the ivypitch gateway. [`interface`] says what the module is told and what it may do;
//! [`rules`] decides.

pub mod interface;
pub mod rules;
mod state;
pub mod units;
