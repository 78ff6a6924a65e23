//! Follows the journal service: every event after the last one held, over connections that come and go, at the
//! address that the configuration gives last.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::ModuleMail;
use super::session::read_some;
use crate::wire::journal::{self, Line};

/// A whole line comes each second; after two without one the connection is taken for dead.
const SILENT: Duration = Duration::from_secs(2);
const CONNECT: Duration = Duration::from_millis(500);
const BREATHER: Duration = Duration::from_millis(100);

async fn late<T>(at: Instant, what: &str) -> Result<T, String> {
    Timer::at(at).await;
    Err(what.to_owned())
}

/// What is held of the list: all events up to `last`. It stays, whatever the service does.
pub struct List {
    pub last: u64,
    /// Longer lines are not read.
    pub longest_line: usize,
    pub module: Sender<ModuleMail>,
}

impl List {
    /// Follows the address told last; a new one is followed at once, from where the old one was.
    pub async fn run(mut self, mut address: Option<SocketAddr>, mailbox: Receiver<SocketAddr>) {
        loop {
            let moved = async { mailbox.recv().await.map(Some) };
            let told = match address {
                None => moved.await,
                Some(at) => moved.or(async { self.follow(at).await }).await,
            };
            match told {
                Ok(new) => address = new,
                // The program has ended.
                Err(_) => return,
            }
        }
    }

    /// Never returns.
    async fn follow<T>(&mut self, address: SocketAddr) -> T {
        let mut well = true;
        loop {
            let why = self.follow_once(address, &mut well).await;
            if well {
                log::warn!("journal {address} lost at {}: {why}", self.last);
            }
            well = false;
            Timer::after(BREATHER).await;
        }
    }

    async fn follow_once(&mut self, address: SocketAddr, well: &mut bool) -> String {
        let connect = async { Async::<TcpStream>::connect(address).await.map_err(|e| e.to_string()) };
        let stream = match connect.or(late(Instant::now() + CONNECT, "no connection in time")).await {
            Ok(stream) => stream,
            Err(e) => return e,
        };
        if let Err(e) = (&stream).write_all(journal::tail(self.last).as_bytes()).await {
            return e.to_string();
        }
        let mut input = BytesMut::new();
        let mut silent_at = Instant::now() + SILENT;
        loop {
            while let Some(end) = input.iter().position(|&b| b == b'\n') {
                if let Err(why) = self.take(&input.split_to(end + 1)) {
                    return why;
                }
                silent_at = Instant::now() + SILENT;
                if !*well {
                    log::info!("journal {address} followed again from {}", self.last);
                    *well = true;
                }
            }
            if input.len() > self.longest_line {
                return "line too long".into();
            }
            let read = async { read_some(&stream, &mut input).await.map_err(|e| e.to_string()) };
            match read.or(late(silent_at, "silent")).await {
                Ok(0) => return "closed".into(),
                Ok(_) => {}
                Err(e) => return e,
            }
        }
    }

    /// The next event goes to the module; one that is held already passes. A gap is told again from its begin.
    fn take(&mut self, line: &[u8]) -> Result<(), String> {
        match journal::read_line(line) {
            Ok(Line::Last(number)) if number > self.last => Err(format!("events up to {number} missing")),
            Ok(Line::Event(event)) if event.pos > self.last + 1 => {
                Err(format!("event {} after {}", event.pos, self.last))
            }
            Ok(Line::Event(event)) if event.pos == self.last + 1 => {
                self.last = event.pos;
                if let Some(hosts) = event.hosts {
                    let _ = self.module.try_send(ModuleMail::Listed { hosts });
                }
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(e) => Err(format!("line not understood: {e}")),
        }
    }
}
