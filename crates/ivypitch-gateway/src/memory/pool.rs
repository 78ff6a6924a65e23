//! Connections to one engine that no call is on, and the permits that bound those to all engines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// How many connections to engines there may be; a permit goes back as its connection is dropped.
pub struct Permits {
    free: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
}

pub struct Permit(Rc<Permits>);

impl Permits {
    pub fn new(count: usize) -> Rc<Permits> {
        Rc::new(Permits { free: Cell::new(count), freed: async_channel::bounded(1) })
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

/// Emptied by use, by age, and when the engine has gone.
pub struct Pool<C> {
    idle: Vec<(Instant, C)>,
    longest: Duration,
}

impl<C> Pool<C> {
    /// `longest`: a connection that has been idle so long is not used again.
    pub fn new(longest: Duration) -> Self {
        Pool { idle: Vec::new(), longest }
    }

    /// The one used last, so that the others come of age.
    pub fn take(&mut self) -> Option<C> {
        self.drop_old();
        Some(self.idle.pop()?.1)
    }

    pub fn put(&mut self, connection: C) {
        self.idle.push((Instant::now(), connection));
    }

    pub fn drop_old(&mut self) {
        let longest = self.longest;
        self.idle.retain(|(since, _)| since.elapsed() < longest);
    }

    pub fn clear(&mut self) {
        self.idle.clear();
    }

    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}
