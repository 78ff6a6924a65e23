//! `ivypitch fleet`: what gateways share, as each of them sees it, and where their views differ.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use bytes::BytesMut;
use ivypitch_gateway::wire::mysql::next_packet;
use serde_json::Value;

/// A gateway that says nothing for so long is told as silent.
const PATIENCE: Duration = Duration::from_secs(3);
const LARGEST: usize = 4 << 20;

#[derive(clap::Args)]
pub struct Fleet {
    /// Where gateways listen for clients.
    #[arg(required = true, value_name = "ADDRESS")]
    gateways: Vec<SocketAddr>,
    /// Only what differs between them, a line each.
    #[arg(long)]
    differences: bool,
}

impl Fleet {
    pub fn run(self) -> ExitCode {
        let mut views = Vec::new();
        let mut well = true;
        for address in &self.gateways {
            match view(*address) {
                Ok(view) => views.push((*address, view)),
                Err(e) => {
                    eprintln!("{address}: {e}");
                    well = false;
                }
            }
        }
        if !self.differences {
            let all: Vec<Value> = views
                .iter()
                .map(|(address, view)| serde_json::json!({"gateway": address.to_string(), "view": view}))
                .collect();
            println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
        }
        let views: Vec<(String, &Value)> = views
            .iter()
            .map(|(at, view)| (at.to_string(), view))
            .collect();
        for line in differences(&views) {
            println!("{line}");
        }
        if well {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

/// The one row of `SHOW FLEET`.
fn view(address: SocketAddr) -> io::Result<Value> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut input = BytesMut::new();
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    next(&mut stream, &mut input)?;
    // Protocol 4.1, secure connection, plugin auth, connect with a database; user `app`, empty password.
    let flags: u32 = 1 << 3 | 1 << 9 | 1 << 15 | 1 << 19;
    let login = [
        &flags.to_le_bytes()[..],
        &[0, 0, 0, 1, 45],
        &[0; 23],
        b"app\0\0dw\0mysql_native_password\0",
    ];
    stream.write_all(&packet(1, &login.concat()))?;
    if next(&mut stream, &mut input)?.first() != Some(&0) {
        return Err(bad("login refused"));
    }
    stream.write_all(&packet(0, b"\x03SHOW FLEET"))?;
    let mut ends = 0;
    loop {
        let payload = next(&mut stream, &mut input)?;
        match payload.first() {
            Some(0xff) => return Err(bad("it shares nothing: peers.shares is not enabled there")),
            Some(0xfe) if payload.len() < 9 => ends += 1,
            _ if ends == 1 => {
                let text = column(&payload).ok_or_else(|| bad("row not understood"))?;
                return serde_json::from_slice(text).map_err(io::Error::other);
            }
            _ => {}
        }
        if ends > 1 {
            return Err(bad("no row"));
        }
    }
}

/// A short one: its length, its number, and what it holds.
fn packet(number: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&[length[0], length[1], length[2], number], payload].concat()
}

fn next(stream: &mut TcpStream, input: &mut BytesMut) -> io::Result<bytes::Bytes> {
    loop {
        let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let Some(packet) = next_packet(input, LARGEST).map_err(bad)? {
            return Ok(packet.payload);
        }
        let mut piece = [0; 8192];
        let n = stream.read(&mut piece)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        input.extend_from_slice(&piece[..n]);
    }
}

/// The first column: a length of one, three, four or nine bytes, and the text.
pub fn column(row: &[u8]) -> Option<&[u8]> {
    let (&first, rest) = row.split_first()?;
    let bytes = match first {
        0xfc => 2,
        0xfd => 3,
        0xfe => 8,
        _ => return rest.get(..usize::from(first)),
    };
    let mut length = [0; 8];
    length[..bytes].copy_from_slice(rest.get(..bytes)?);
    rest.get(bytes..)?
        .get(..u64::from_le_bytes(length) as usize)
}

/// What two views can't both be right about, or one does not know yet.
pub fn differences(views: &[(String, &Value)]) -> Vec<String> {
    let mut lines = Vec::new();
    let number = |v: &Value, name: &str| v[name].as_u64().unwrap_or(0);
    let out = |v: &Value| -> BTreeSet<u64> {
        let engines = v["engines"].as_array().into_iter().flatten();
        engines
            .filter(|e| e["out"] == true)
            .filter_map(|e| e["engine"].as_u64())
            .collect()
    };
    let newest = views
        .iter()
        .map(|(_, view)| number(view, "journal"))
        .max()
        .unwrap_or(0);
    for (name, view) in views {
        let behind = newest - number(view, "journal");
        if behind > 0 {
            lines.push(format!("{name}: {behind} events of the journal behind"));
        }
        if view["hearing"] != "Most" {
            let heard = view["heard"].as_array().map_or(0, Vec::len);
            lines.push(format!("{name}: hears {heard} others"));
        }
        for (other, theirs) in views {
            for engine in out(view).difference(&out(theirs)) {
                lines.push(format!(
                    "engine {engine:016x}: left out by {name}, used by {other}"
                ));
            }
            let heard = |v: &Value, place: u64| {
                let places = v["heard"].as_array().into_iter().flatten();
                places.filter_map(Value::as_u64).any(|held| held == place)
            };
            if name != other && !heard(view, number(theirs, "place")) {
                lines.push(format!("{name} does not hear {other}"));
            }
        }
    }
    let count = views
        .first()
        .and_then(|(_, view)| view["bounds"].as_array())
        .map_or(0, Vec::len);
    for bound in 0..count {
        let all = || views.iter().map(|(_, view)| &view["bounds"][bound]);
        let held: u64 = all().map(|b| number(b, "held")).sum();
        let units = all().map(|b| number(b, "units")).max().unwrap_or(0);
        let name = all().find_map(|b| b["name"].as_str()).unwrap_or("?");
        lines.push(format!(
            "bound {name}: {held} of {units} held by these gateways"
        ));
    }
    lines
}
