//! Connections to engines, counted by what they were connects for.

use std::cell::Cell;
use std::fmt;

#[derive(Clone, Copy, Debug)]
pub enum ConnectCause {
    /// For the start of an execution.
    Start,
    /// To ask again for what did not come whole on an earlier one.
    Again,
    /// To give an execution up.
    Cancel,
    /// To tell a new priority.
    Priority,
    /// Of all these, how many found no process, and how many did not come up in time.
    Refused,
    Unsent,
    /// Kept ones used again, and kept ones that were found dead or not clean.
    Reused,
    Spoilt,
}

const NAMES: [&str; 8] = [
    "starts",
    "again",
    "give-ups",
    "priorities",
    "refused",
    "not up in time",
    "reused",
    "kept in vain",
];

#[derive(Debug, Default)]
pub struct ConnectCounters([Cell<u64>; NAMES.len()]);

impl ConnectCounters {
    pub fn count(&self, why: ConnectCause) {
        let cell = &self.0[why as usize];
        cell.set(cell.get() + 1);
    }
}

impl fmt::Display for ConnectCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, (name, count)) in NAMES.iter().zip(&self.0).enumerate() {
            write!(f, "{}{} {name}", if i > 0 { ", " } else { "" }, count.get())?;
        }
        Ok(())
    }
}
