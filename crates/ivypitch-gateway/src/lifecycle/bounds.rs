//! What the configured limits allow of everything that peers could make grow. `docs/architecture.md` adds it up.

/// Beside peers: the listener, the discovery service, signals, the log and sessions that close to make room.
const RESERVED_DESCRIPTORS: usize = 48;
const MB: usize = 1 << 20;
/// The memory of a result at its largest: eight pages in read buffers of 8 KB, and what is being written.
const RESULT_BYTES: usize = 96 << 10;
/// What is read on a connection to an engine: a head, a body and what comes with them.
const RESPONSE_BYTES: usize = 22 << 10;
/// No statement is longer; where memory is short, less is read.
const MAX_STATEMENT_BYTES: usize = 64 << 10;

/// Bounds that together stay within the limits on descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Statements of so many sessions are open at once: clients hold a third of the descriptors at most, and
    /// their results a quarter of the memory.
    pub clients: usize,
    /// So many more sessions may be there, to be rejected with an error or to be closed.
    pub surplus_sessions: usize,
    /// Connections to all engines.
    pub engine_connections: usize,
    /// Bytes of one message of a client, in all sessions together an eighth of the memory.
    pub message_bytes: usize,
    /// Bytes of one line of the discovery service.
    pub discovery_line_bytes: usize,
}

impl Bounds {
    /// The bounds for so many descriptors and so much memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Bounds {
        let memory_bytes = memory_mb * MB;
        let clients = (sockets / 3).min(memory_bytes / 4 / RESULT_BYTES).max(1);
        let surplus_sessions = sockets / 16;
        let sessions = clients + surplus_sessions;
        Bounds {
            clients,
            surplus_sessions,
            engine_connections: sockets
                .saturating_sub(sessions + RESERVED_DESCRIPTORS)
                .min(memory_bytes / 8 / RESPONSE_BYTES)
                .max(1),
            message_bytes: (memory_bytes / 8 / sessions.max(1)).min(MAX_STATEMENT_BYTES),
            discovery_line_bytes: memory_bytes / 32,
        }
    }
}
