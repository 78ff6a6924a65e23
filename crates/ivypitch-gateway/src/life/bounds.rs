//! What the configured limits allow of everything that peers could make grow. `docs/architecture.md` adds it up.

/// Beside peers: the listener, the journal service, signals, the log and what is about to be closed.
const DESCRIPTORS_KEPT: usize = 48;
const MB: usize = 1 << 20;
/// No statement is longer; where memory is short, less is read.
const LARGEST_STATEMENT: usize = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Statements of so many sessions are open at once: clients hold a third of the descriptors at most.
    pub clients: usize,
    /// So many more sessions may be there, to be told that there are too many or to be closed.
    pub told: usize,
    /// Connections to all engines.
    pub engines: usize,
    /// Bytes of one message of a client, in all sessions together an eighth of the memory.
    pub message: usize,
    /// Bytes of one line of the journal service.
    pub journal_line: usize,
}

impl Bounds {
    pub fn new(sockets: usize, memory_mb: usize) -> Bounds {
        let (clients, told) = (sockets / 3, sockets / 16);
        let memory = memory_mb * MB;
        Bounds {
            clients,
            told,
            engines: (sockets - clients - told).saturating_sub(DESCRIPTORS_KEPT).max(1),
            message: (memory / 8 / (clients + told).max(1)).min(LARGEST_STATEMENT),
            journal_line: memory / 32,
        }
    }
}
