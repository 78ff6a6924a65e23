//! Follows the journal service: every event after the last one held, over connections that come and go.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::ModuleMail;
use super::session::read_some;
use crate::wire::journal::{self, Line};

/// A line comes each second; after three without one the connection is taken for dead.
const SILENT: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_secs(1);
const BREATHER: Duration = Duration::from_millis(200);
/// An event with the whole list of a large fleet fits easily.
const LONGEST_LINE: usize = 4 << 20;

async fn late<T>(limit: Duration, what: &str) -> Result<T, String> {
    Timer::after(limit).await;
    Err(what.to_owned())
}

/// Never returns while the program runs.
pub async fn follow(address: SocketAddr, mut last: u64, module: Sender<ModuleMail>) {
    let mut well = true;
    loop {
        let why = follow_once(address, &mut last, &module, &mut well).await;
        if well {
            log::warn!("journal {address} lost at {last}: {why}");
        }
        well = false;
        Timer::after(BREATHER).await;
    }
}

async fn follow_once(
    address: SocketAddr,
    last: &mut u64,
    module: &Sender<ModuleMail>,
    well: &mut bool,
) -> String {
    let connect = async { Async::<TcpStream>::connect(address).await.map_err(|e| e.to_string()) };
    let stream = match connect.or(late(CONNECT, "no connection in time")).await {
        Ok(stream) => stream,
        Err(e) => return e,
    };
    if let Err(e) = (&stream).write_all(journal::tail(*last).as_bytes()).await {
        return e.to_string();
    }
    let mut input = BytesMut::new();
    // The highest number on this connection: none comes after a higher one.
    let mut seen = 0;
    loop {
        while let Some(end) = input.iter().position(|&b| b == b'\n') {
            let line = input.split_to(end + 1);
            match journal::read_line(&line) {
                Ok(Line::Last(number)) if number > *last => return format!("events up to {number} missing"),
                Ok(Line::Event(event)) if event.pos > *last + 1 || event.pos < seen => {
                    return format!("event {} after {last}", event.pos);
                }
                Ok(Line::Last(number)) => seen = seen.max(number),
                // The service begins with the event that is held already.
                Ok(Line::Event(event)) if event.pos <= *last => {
                    seen = event.pos;
                    continue;
                }
                Ok(Line::Event(event)) => {
                    seen = event.pos;
                    *last = event.pos;
                    if let Some(hosts) = event.hosts {
                        let _ = module.try_send(ModuleMail::Listed { hosts });
                    }
                }
                Err(e) => return format!("line not understood: {e}"),
            }
            if !*well {
                log::info!("journal {address} followed again from {last}");
                *well = true;
            }
        }
        if input.len() > LONGEST_LINE {
            return "line too long".into();
        }
        let read = async { read_some(&stream, &mut input).await.map_err(|e| e.to_string()) };
        match read.or(late(SILENT, "silent")).await {
            Ok(0) => return "closed".into(),
            Ok(_) => {}
            Err(e) => return e,
        }
    }
}
