//! Bytes that this gateway has written and read, by whom they were for, clients apart: payloads as they are handed to
//! the system and come from it, without what IP, UDP and TCP add. They only grow, with the life of the process.

use std::cell::Cell;

use serde::Serialize;

/// Of one kind; shown under these names.
#[derive(Debug, Default, Serialize)]
pub struct Counted {
    /// In bytes.
    bytes_out: Cell<u64>,
    bytes_in: Cell<u64>,
    /// Datagrams, or writes and reads on connections.
    sends: Cell<u64>,
    receives: Cell<u64>,
}

#[derive(Debug, Default, Serialize)]
pub struct Traffic {
    /// Of members and of what is shared.
    pub datagrams: Counted,
    /// To and from other gateways.
    pub links: Counted,
    pub engines: Counted,
    pub journal: Counted,
}

impl Counted {
    pub fn sent(&self, bytes: usize) {
        self.bytes_out.set(self.bytes_out.get() + bytes as u64);
        self.sends.set(self.sends.get() + 1);
    }

    pub fn received(&self, bytes: usize) {
        self.bytes_in.set(self.bytes_in.get() + bytes as u64);
        self.receives.set(self.receives.get() + 1);
    }
}
