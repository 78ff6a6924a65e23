//! The listener for clients: binds the address and accepts connections.

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

/// Listen backlog, sized for one second of new connections on a busy day. The library's default of
/// 128 overflows within 0.1 s in a burst of new connections.
const BACKLOG: i32 = 1024;
/// Connections accepted in a row before other tasks may read from them.
const ACCEPTS_BEFORE_YIELD: usize = 16;
/// How long to retry an address in use. Longer than the 3.7 s within which a gateway ends after
/// SIGTERM.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between attempts to bind an address in use.
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time to wait after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Binds the address and listens; `None` if SIGTERM or SIGINT arrives first. While the address is
/// in use, for example by a gateway that is shutting down, the attempt is repeated.
pub(super) fn bind(
    address: SocketAddr,
    signals: &mut Signals,
) -> Result<Option<Async<TcpListener>>, StartupError> {
    let listen_error = |source: io::Error| StartupError::Listen { address, source };
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut has_warned = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => {
                rustix::net::listen(listener.get_ref(), BACKLOG)
                    .map_err(|error| listen_error(error.into()))?;
                return Ok(Some(listener));
            }
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                if !has_warned {
                    log::warn!(address:% = address; "listen address is in use, retrying");
                }
                has_warned = true;
                if is_interrupted_before_retry(signals) {
                    log::info!(
                        from:% = Phase::Starting, to:% = Phase::Stopped;
                        "lifecycle phase changed: SIGTERM came before the listener"
                    );
                    return Ok(None);
                }
            }
            Err(error) => return Err(listen_error(error)),
        }
    }
}

/// Waits for the retry interval or a signal; returns true if the signal ends the process.
fn is_interrupted_before_retry(signals: &mut Signals) -> bool {
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

/// Accepts connections until dropped. It never waits for a session to end: admission evicts
/// sessions instead.
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
            Err(error) => {
                // Descriptors or memory may be short for a moment, or the client has disconnected.
                if !is_failing {
                    log::warn!(error:% = error; "{ACCEPT_FAILED}");
                }
                is_failing = true;
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts all pending connections without waiting; returns their number.
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
