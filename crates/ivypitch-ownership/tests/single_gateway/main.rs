//! Tests of one gateway; the test plays the other gateways.

mod late_votes;
mod recorder;
mod rejections;
