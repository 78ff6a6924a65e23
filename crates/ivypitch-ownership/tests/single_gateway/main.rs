//! One gateway among others that are played by the test: what it answers, and what it waits for.

mod late_votes;
mod recorder;
mod rejections;
