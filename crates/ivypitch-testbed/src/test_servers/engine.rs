//! An engine whose responses a test chooses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use super::discovery::row_at;
use super::waiting::EventLog;

/// A gateway's HTTP request to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
    /// Number of the engine's connection that the request arrived on.
    pub connection: usize,
}

impl Call {
    pub fn has_method(&self, method: &str) -> bool {
        self.method == method
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| {
            Some(
                l.split_once(": ")
                    .filter(|(n, _)| n.eq_ignore_ascii_case(name))?
                    .1,
            )
        })
    }
}

/// Reaction of a fake engine to a call.
pub enum Reply {
    Response(String),
    /// Sends this and closes the connection.
    LastResponse(String),
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Closes the connection without a response.
    Close,
}

/// HTTP response of an engine.
pub fn response(status: u16, headers: &str, body: &str) -> Reply {
    Reply::Response(format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Response of a query that has completed with one page.
pub fn success_response(body: &str) -> Reply {
    response(
        200,
        "Page-Count: 1\r\nWork-Ms: 12.5\r\nPeak-Mb: 64\r\nSrv-Load: waiting:0;active:1;x0:0.1\r\n",
        body,
    )
}

/// HTTP server with the protocol of an engine; a closure chooses its responses.
pub struct FakeEngine {
    pub address: SocketAddr,
    pub calls: EventLog<Call>,
    /// Numbers of its connections, in the order in which they closed.
    pub closed_connections: EventLog<usize>,
}

impl FakeEngine {
    /// Answers each call with the result of `reply`, whose second argument is the number of earlier calls.
    pub fn start(reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static) -> FakeEngine {
        FakeEngine::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// As `start`, on an existing listener.
    pub fn on_listener(
        listener: TcpListener,
        reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static,
    ) -> FakeEngine {
        let address = listener.local_addr().unwrap();
        let engine = FakeEngine {
            address,
            calls: EventLog::new(),
            closed_connections: EventLog::new(),
        };
        let (calls, reply, count) = (
            engine.calls.clone(),
            Arc::new(reply),
            Arc::new(AtomicUsize::new(0)),
        );
        let ended = engine.closed_connections.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (calls, reply, count, ended) =
                    (calls.clone(), reply.clone(), count.clone(), ended.clone());
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Some(call) = read_call(&mut reader, connection) {
                        let number = count.fetch_add(1, Ordering::SeqCst);
                        calls.push(call.clone());
                        match reply(&call, number) {
                            Reply::Response(text) => {
                                writer.write_all(text.as_bytes()).unwrap_or_default()
                            }
                            Reply::LastResponse(text) => {
                                writer.write_all(text.as_bytes()).unwrap_or_default();
                                break;
                            }
                            Reply::NoResponse => {}
                            Reply::Close => break,
                        }
                    }
                    let _ = writer.shutdown(Shutdown::Both);
                    ended.push(connection);
                });
            }
        });
        engine
    }

    /// Completes each statement at once.
    pub fn completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            if call.has_method("DELETE") {
                response(204, "", "")
            } else {
                success_response("a\tb\tc\n")
            }
        })
    }

    /// Accepts each statement and never completes it.
    pub fn never_completing() -> FakeEngine {
        FakeEngine::start(|call, _| {
            response(if call.has_method("DELETE") { 204 } else { 202 }, "", "")
        })
    }

    /// This engine's row of the endpoint list.
    pub fn row(&self, id: &str, state: &str) -> String {
        row_at(self.address, id, state, 0)
    }

    /// Number of start calls so far.
    pub fn start_count(&self) -> usize {
        self.calls
            .all()
            .iter()
            .filter(|c| c.has_method("POST"))
            .count()
    }
}

fn read_call(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Call> {
    let (mut first, mut head) = (String::new(), String::new());
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    while !head.ends_with("\r\n\r\n") && head != "\r\n" {
        reader.read_line(&mut head).ok().filter(|&n| n > 0)?;
    }
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.into(), words.next()?.into());
    let mut call = Call {
        method,
        path,
        head,
        body: String::new(),
        connection,
    };
    let mut body = vec![
        0;
        call.header("Content-Length")
            .map_or(0, |n| n.parse().unwrap())
    ];
    reader.read_exact(&mut body).ok()?;
    call.body = String::from_utf8(body).unwrap();
    Some(call)
}
