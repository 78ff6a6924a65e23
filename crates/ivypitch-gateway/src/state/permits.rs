//! Bounds the number of connections to engines that are open at the same time.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

/// A counting semaphore for the tasks of one thread.
pub struct ConnectionPermits {
    limit: usize,
    available: Cell<usize>,
    /// Holds one token while a permit may be available to a task that waits.
    released: (Sender<()>, Receiver<()>),
}

/// The right to have one connection open. Dropping it returns it.
pub struct ConnectionPermit(Rc<ConnectionPermits>);

impl ConnectionPermits {
    /// Allows up to `limit` connections.
    pub fn new(limit: usize) -> Rc<ConnectionPermits> {
        Rc::new(ConnectionPermits {
            limit,
            available: Cell::new(limit),
            released: async_channel::bounded(1),
        })
    }

    /// Whether more than half of the permits are taken. Idle connections are then closed rather than kept.
    pub fn is_scarce(&self) -> bool {
        2 * self.available.get() < self.limit
    }

    /// Waits for a permit and takes it.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        while self.available.get() == 0 {
            let _ = self.released.1.recv().await;
        }
        self.available.set(self.available.get() - 1);
        if self.available.get() > 0 {
            // The token stood for one of several permits: wake the next task that waits.
            self.notify_one();
        }
        ConnectionPermit(self.clone())
    }

    fn notify_one(&self) {
        let _ = self.released.0.try_send(());
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let permits = &self.0;
        permits.available.set(permits.available.get() + 1);
        permits.notify_one();
    }
}
