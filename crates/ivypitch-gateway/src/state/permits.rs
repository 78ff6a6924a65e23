//! Limits the number of simultaneously open connections to engines.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

/// A counting semaphore for tasks on one thread.
pub struct ConnectionPermits {
    limit: usize,
    available: Cell<usize>,
    /// Holds one token while a permit may be available to a waiting task.
    released: (Sender<()>, Receiver<()>),
}

/// A permit for one open connection, returned when dropped.
pub struct ConnectionPermit(Rc<ConnectionPermits>);

impl ConnectionPermits {
    /// Creates a semaphore with `limit` permits.
    pub fn new(limit: usize) -> Rc<ConnectionPermits> {
        Rc::new(ConnectionPermits {
            limit,
            available: Cell::new(limit),
            released: async_channel::bounded(1),
        })
    }

    /// Whether more than half of the permits are taken; idle connections are then closed, not kept.
    pub fn is_scarce(&self) -> bool {
        2 * self.available.get() < self.limit
    }

    /// Waits until a permit is available and takes it.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        while self.available.get() == 0 {
            let _ = self.released.1.recv().await;
        }
        self.available.set(self.available.get() - 1);
        if self.available.get() > 0 {
            // One token stands for all available permits: notify the next waiting task, too.
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
