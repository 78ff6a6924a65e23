//! The listener for clients: taking the address, and accepting connections.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt, future::yield_now};

use super::Phase;
use super::startup::StartupError;
use crate::actors::session::Sessions;
use crate::log_events::ACCEPT_FAILED;

/// Connections that the system holds until they are accepted: a second of a busy day's new ones. The library asks for
/// 128, which a burst of new connections overflows within 0.1 s.
const BACKLOG: i32 = 1024;
/// So many are accepted before what came with them is read.
const ACCEPTS_BEFORE_YIELD: usize = 16;
/// A gateway ends within 3.7 s of SIGTERM: its address is waited for longer than that.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(8);
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// After an accept that failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Takes the address; `None`: SIGTERM came first. The address of a gateway that ends may be in use until it has ended:
/// it is waited for.
pub(super) fn bind(
    address: SocketAddr,
    signals: &mut Signals,
) -> Result<Option<Async<TcpListener>>, StartupError> {
    let failed = |source: io::Error| StartupError::Listen { address, source };
    let give_up_at = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut has_warned = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => {
                rustix::net::listen(listener.get_ref(), BACKLOG)
                    .map_err(|error| failed(error.into()))?;
                return Ok(Some(listener));
            }
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !has_warned {
                    log::warn!(address:% = address; "listen address is in use, retrying");
                }
                has_warned = true;
                if is_ended_while_waiting(signals) {
                    log::info!(
                        from:% = Phase::Starting, to:% = Phase::Stopped;
                        "lifecycle phase changed: SIGTERM came before the listener"
                    );
                    return Ok(None);
                }
            }
            Err(e) => return Err(failed(e)),
        }
    }
}

/// Waits until the address is worth another try, or for a signal; true: the process is to end.
fn is_ended_while_waiting(signals: &mut Signals) -> bool {
    let retry = async {
        Timer::after(ADDRESS_RETRY_INTERVAL).await;
        None
    };
    let signal = async { signals.next().await.and_then(Result::ok) };
    matches!(
        async_io::block_on(signal.or(retry)),
        Some(Signal::Term | Signal::Int)
    )
}

/// Accepts until it is dropped. Never waits for a session to end: the sessions make room.
pub(super) async fn accept(
    listener: Rc<Async<TcpListener>>,
    sessions: Rc<Sessions>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut is_failing = false;
    let mut accepted: usize = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                sessions.admit(stream, &executor);
                is_failing = false;
                accepted += 1;
                if accepted.is_multiple_of(ACCEPTS_BEFORE_YIELD) {
                    yield_now().await;
                }
            }
            Err(e) => {
                // Descriptors or memory are short for a moment, or the client has gone already.
                if !is_failing {
                    log::warn!(error:% = e; "{ACCEPT_FAILED}");
                }
                is_failing = true;
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts the connections that are there, without waiting for one; returns their number.
pub(super) fn accept_pending(
    listener: &Async<TcpListener>,
    sessions: &Rc<Sessions>,
    executor: &LocalExecutor<'static>,
) -> usize {
    let mut accepted = 0;
    while accepted < BACKLOG as usize
        && let Ok((stream, _)) = listener.get_ref().accept()
    {
        let _ = stream.set_nodelay(true);
        if let Ok(stream) = Async::new(stream) {
            sessions.admit(stream, executor);
        }
        accepted += 1;
    }
    accepted
}
