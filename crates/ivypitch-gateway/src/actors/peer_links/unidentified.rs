//! Accepted connections whose sender is not known yet.

use std::cell::RefCell;
use std::collections::VecDeque;

use async_channel::{Receiver, Sender};

/// Limit on connections that have not sent their first frame. A member sends it as soon as it has
/// connected.
pub(crate) const MAX_UNIDENTIFIED_CONNECTIONS: usize = 32;

/// The connections that have not sent their first frame, oldest first. At the limit the oldest gives
/// way, so that connections that send nothing keep no member out.
#[derive(Default)]
pub(super) struct UnidentifiedConnections {
    /// Dropping a sender evicts its connection.
    connections: RefCell<VecDeque<Sender<()>>>,
}

/// Held by a connection until its sender is known.
pub(super) struct UnidentifiedConnection {
    evicted: Receiver<()>,
}

impl UnidentifiedConnections {
    /// Enters a new connection and evicts the oldest one beyond the limit.
    pub(super) fn enter(&self) -> UnidentifiedConnection {
        let (connection, evicted) = async_channel::bounded(1);
        let mut connections = self.connections.borrow_mut();
        connections.retain(|other| !other.is_closed());
        if connections.len() == MAX_UNIDENTIFIED_CONNECTIONS {
            connections.pop_front();
        }
        connections.push_back(connection);
        UnidentifiedConnection { evicted }
    }
}

impl UnidentifiedConnection {
    /// Completes when newer connections need the place.
    pub(super) async fn evicted(&self) {
        let _ = self.evicted.recv().await;
    }
}
