//! How many connections to engines there may be.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

/// A permit goes back as its connection is dropped.
pub struct Permits {
    count: usize,
    free: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
}

pub struct Permit(Rc<Permits>);

impl Permits {
    pub fn new(count: usize) -> Rc<Permits> {
        Rc::new(Permits {
            count,
            free: Cell::new(count),
            freed: async_channel::bounded(1),
        })
    }

    /// Half of them are out: none is left for what only may be of use.
    pub fn are_short(&self) -> bool {
        2 * self.free.get() < self.count
    }

    pub async fn take(self: &Rc<Self>) -> Permit {
        while self.free.get() == 0 {
            let _ = self.freed.1.recv().await;
        }
        self.free.set(self.free.get() - 1);
        if self.free.get() > 0 {
            let _ = self.freed.0.try_send(());
        }
        Permit(self.clone())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        let _ = self.0.freed.0.try_send(());
    }
}
