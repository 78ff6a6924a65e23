//! Derives bounds on everything that clients, engines and the discovery service could make grow
//! from the configured limits. `docs/architecture.md` adds them up.

/// Descriptors for the listener, the discovery service, signals, the log and evicted sessions.
const RESERVED_DESCRIPTORS: usize = 48;
const MB: usize = 1 << 20;
/// Maximum memory of a result: eight pages in read buffers of 8 KB, and the output buffer.
const RESULT_BYTES: usize = 96 << 10;
/// Maximum memory of a response on a connection to an engine: head, body and read-ahead.
const RESPONSE_BYTES: usize = 22 << 10;
/// Maximum length of a statement; less if memory is short.
const MAX_STATEMENT_BYTES: usize = 64 << 10;

/// Bounds that together respect the limits on descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum sessions with an open statement: clients use at most a third of the descriptors, and
    /// their results a quarter of the memory.
    pub clients: usize,
    /// Additional sessions, which are rejected with an error or closed.
    pub surplus_sessions: usize,
    /// Maximum connections to all engines together.
    pub engine_connections: usize,
    /// Maximum bytes of a client message; all sessions together use an eighth of the memory.
    pub message_bytes: usize,
    /// Maximum bytes of a line from the discovery service.
    pub discovery_line_bytes: usize,
    /// Maximum bytes of all that is kept about statements for other gateways: a quarter of the
    /// memory.
    pub ownership_bytes: usize,
}

impl Bounds {
    /// Computes the bounds for a number of descriptors (`sockets`) and memory.
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
            ownership_bytes: memory_bytes / 4,
        }
    }

    /// Keeps descriptors for this many links to other gateways, which half of the connections to
    /// engines give way for at most.
    pub fn reserve_peer_links(&mut self, links: usize) {
        let reserved = links.min(self.engine_connections / 2);
        self.engine_connections -= reserved;
    }
}
