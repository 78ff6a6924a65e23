//! Links between processes. Each path from one end to another has a relay of its own on loopback, which forwards data or
//! applies the faults of a plan: it blocks or delays data, limits the throughput, loses datagrams, or breaks a
//! connection, on request in the middle of a message.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use event_listener::Event;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::{Async, LocalExecutor, Timer};

use crate::test_servers::EventLog;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEnd {
    Gateway(usize),
    Engine(usize),
    Journal,
    Client(usize),
}

/// Faults and counters of the path in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathState {
    /// Number of active faults that block the path.
    pub block_count: u32,
    pub delay: Duration,
    /// Maximum of the random delay that is added for each chunk.
    pub jitter: Duration,
    /// Fraction of the datagrams that are lost.
    pub datagram_loss: f64,
    /// Maximum throughput of a connection; 0: unlimited.
    pub bytes_per_s: u64,
    /// Number of times its connections were reset.
    resets: u64,
    /// Forwards half of the next chunk, then breaks the connection.
    breaks_mid_message: bool,
    pub bytes: u64,
    pub datagrams: u64,
    /// Established connections that were opened in this direction.
    pub open: u64,
}

/// Totals over all paths from and to one end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTotals {
    pub bytes_from: u64,
    pub bytes_to: u64,
    /// Established connections, opened by either end.
    pub open: u64,
}

/// Maximum bytes of a chunk.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Maximum bytes of one write on a path with limited throughput.
const MAX_THROTTLED_WRITE_BYTES: usize = 512;
/// Recorded bytes of a chunk on a blocked path.
const BLOCKED_HEAD_BYTES: usize = 64;
/// Maximum number of delayed chunks in one direction of a connection.
const MAX_DELAYED_CHUNKS: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type PathStates = BTreeMap<(LinkEnd, LinkEnd), PathState>;

struct Shared {
    paths: Mutex<PathStates>,
    changed: Event,
    /// Listeners of the relays; a reset also breaks the connections that wait in their backlogs.
    listeners: Mutex<BTreeMap<(LinkEnd, LinkEnd), Vec<TcpListener>>>,
    /// First bytes of each chunk that arrived on a blocked path.
    blocked_chunks: EventLog<((LinkEnd, LinkEnd), Vec<u8>)>,
}

impl Shared {
    fn paths(&self) -> MutexGuard<'_, PathStates> {
        self.paths
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn listeners(&self) -> MutexGuard<'_, BTreeMap<(LinkEnd, LinkEnd), Vec<TcpListener>>> {
        self.listeners
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn path(&self, from: LinkEnd, to: LinkEnd) -> PathState {
        self.paths().get(&(from, to)).copied().unwrap_or_default()
    }

    async fn wait_until(
        &self,
        from: LinkEnd,
        to: LinkEnd,
        holds: impl Fn(&PathState) -> bool,
    ) -> PathState {
        loop {
            let changed = self.changed.listen();
            let path = self.path(from, to);
            if holds(&path) {
                return path;
            }
            changed.await;
        }
    }

    /// Returns once the path is not blocked. An error: its connections were reset before this returned, even right after
    /// the path was unblocked.
    async fn wait_until_unblocked(
        &self,
        (from, to): (LinkEnd, LinkEnd),
        resets: u64,
    ) -> io::Result<()> {
        let path = self
            .wait_until(from, to, |path| {
                path.block_count == 0 || path.resets != resets
            })
            .await;
        if path.resets == resets {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
}

/// A relay to be served.
struct Opened {
    from: LinkEnd,
    to: LinkEnd,
    target: SocketAddr,
    listener: TcpListener,
    datagrams: Option<UdpSocket>,
}

/// All relays of a run; their thread ends when this is dropped.
pub struct RelayNetwork {
    shared: Arc<Shared>,
    opened: Sender<Opened>,
}

impl RelayNetwork {
    pub fn start(seed: u64) -> RelayNetwork {
        let shared = Arc::new(Shared {
            paths: Mutex::default(),
            changed: Event::new(),
            listeners: Mutex::default(),
            blocked_chunks: EventLog::new(),
        });
        let (opened, to_open) = channel::unbounded();
        let on = shared.clone();
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            smol::block_on(executor.clone().run(serve(on, to_open, executor, seed)))
        });
        RelayNetwork { shared, opened }
    }

    /// Opens a relay; returns the address at which `from` reaches `to`, which listens at `target`.
    pub fn open(
        &self,
        from: LinkEnd,
        to: LinkEnd,
        target: SocketAddr,
        datagrams: bool,
    ) -> io::Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let socket = match datagrams {
                // The UDP port of this number may be in use: try another one.
                true => match UdpSocket::bind(address) {
                    Ok(socket) => Some(socket),
                    Err(_) => continue,
                },
                false => None,
            };
            listener.set_nonblocking(true)?;
            let backlog = listener.try_clone()?;
            self.shared
                .listeners()
                .entry((from, to))
                .or_default()
                .push(backlog);
            let opened = Opened {
                from,
                to,
                target,
                listener,
                datagrams: socket,
            };
            let _ = self.opened.try_send(opened);
            return Ok(address);
        }
    }

    pub fn path_state(&self, from: LinkEnd, to: LinkEnd) -> PathState {
        self.shared.path(from, to)
    }

    /// Changes the state of a path.
    pub fn change(&self, from: LinkEnd, to: LinkEnd, change: impl FnOnce(&mut PathState)) {
        change(self.shared.paths().entry((from, to)).or_default());
        self.shared.changed.notify(usize::MAX);
    }

    /// Blocks a path; written data waits as in a network's buffers.
    pub fn block(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |path| path.block_count += 1);
    }

    /// Ends one `block`.
    pub fn unblock(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |path| {
            path.block_count = path.block_count.saturating_sub(1)
        });
    }

    /// Breaks all connections between the two ends, also those not accepted yet. Data that waits on them is lost, whatever
    /// happens to the paths next.
    pub fn reset(&self, a: LinkEnd, b: LinkEnd) {
        let mut paths = self.shared.paths();
        for ends in [(a, b), (b, a)] {
            paths.entry(ends).or_default().resets += 1;
            for listener in self.shared.listeners().get(&ends).into_iter().flatten() {
                std::iter::from_fn(|| listener.accept().ok())
                    .for_each(|(stream, _)| set_reset_on_close(&stream));
            }
        }
        drop(paths);
        self.shared.changed.notify(usize::MAX);
    }

    /// Breaks the connection after the first half of the next chunk.
    pub fn break_mid_message(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |path| path.breaks_mid_message = true);
    }

    /// Waits until a chunk with these bytes near its start has arrived on a blocked path.
    pub fn wait_for_blocked_data(&self, from: LinkEnd, to: LinkEnd, bytes: &str) {
        let contains = |chunk: &[u8]| {
            chunk
                .windows(bytes.len())
                .any(|part| part == bytes.as_bytes())
        };
        let description = format!("chunk with {bytes:?} on a blocked path");
        self.shared
            .blocked_chunks
            .wait(&description, |(ends, chunk)| {
                *ends == (from, to) && contains(chunk)
            });
    }

    /// Totals over all paths from and to this end.
    pub fn totals(&self, end: LinkEnd) -> LinkTotals {
        let mut sums = LinkTotals::default();
        for (&(from, to), path) in self.shared.paths().iter() {
            sums.bytes_from += if from == end { path.bytes } else { 0 };
            sums.bytes_to += if to == end { path.bytes } else { 0 };
            sums.open += if from == end || to == end {
                path.open
            } else {
                0
            };
        }
        sums
    }

    /// Bytes and datagrams forwarded between gateways.
    pub fn gateway_traffic(&self) -> (u64, u64) {
        let paths = self.shared.paths();
        let between = paths.iter().filter(|((a, b), _)| {
            matches!(a, LinkEnd::Gateway(_)) && matches!(b, LinkEnd::Gateway(_))
        });
        between.fold((0, 0), |(bytes, datagrams), (_, path)| {
            (bytes + path.bytes, datagrams + path.datagrams)
        })
    }
}

async fn serve(
    shared: Arc<Shared>,
    to_open: Receiver<Opened>,
    executor: Rc<LocalExecutor<'static>>,
    seed: u64,
) {
    let mut serial = seed;
    while let Ok(Opened {
        from,
        to,
        target,
        listener,
        datagrams,
    }) = to_open.recv().await
    {
        serial = serial.wrapping_add(1);
        if let Some(socket) = datagrams.and_then(|socket| Async::new(socket).ok()) {
            let task = forward_datagrams(
                shared.clone(),
                from,
                to,
                target,
                socket,
                executor.clone(),
                serial,
            );
            executor.spawn(task).detach();
        }
        let Ok(listener) = Async::new(listener) else {
            continue;
        };
        let (on, shared) = (executor.clone(), shared.clone());
        let task = async move {
            let mut serial = serial << 20;
            while listener.readable().await.is_ok() {
                // Under one lock, so that a reset finds the connection either in the backlog or among the established.
                let (accepted, resets) = {
                    let paths = shared.paths();
                    (
                        listener.get_ref().accept(),
                        paths.get(&(from, to)).map_or(0, |path| path.resets),
                    )
                };
                let Some(stream) = accepted
                    .ok()
                    .and_then(|(stream, _)| Async::new(stream).ok())
                else {
                    continue;
                };
                serial += 1;
                on.spawn(forward_connection(
                    shared.clone(),
                    from,
                    to,
                    target,
                    stream,
                    serial,
                    resets,
                ))
                .detach();
            }
        };
        executor.spawn(task).detach();
    }
}

async fn forward_datagrams(
    shared: Arc<Shared>,
    from: LinkEnd,
    to: LinkEnd,
    target: SocketAddr,
    socket: Async<UdpSocket>,
    executor: Rc<LocalExecutor<'static>>,
    seed: u64,
) {
    let socket = Rc::new(socket);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut datagram = [0; 4096];
    loop {
        let Ok((n, _)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let path = shared.path(from, to);
        if path.block_count > 0 || rng.random_bool(path.datagram_loss) {
            continue;
        }
        {
            let mut paths = shared.paths();
            let path = paths.entry((from, to)).or_default();
            path.bytes += n as u64;
            path.datagrams += 1;
        }
        let after = path.delay + path.jitter.mul_f64(rng.random());
        if after.is_zero() {
            let _ = socket.send_to(&datagram[..n], target).await;
            continue;
        }
        let (socket, data) = (socket.clone(), datagram[..n].to_vec());
        let task = async move {
            Timer::after(after).await;
            let _ = socket.send_to(&data, target).await;
        };
        executor.spawn(task).detach();
    }
}

/// Relays one connection until either end closes it or a fault breaks it.
async fn forward_connection(
    shared: Arc<Shared>,
    from: LinkEnd,
    to: LinkEnd,
    target: SocketAddr,
    stream: Async<TcpStream>,
    seed: u64,
    resets: u64,
) {
    shared.paths().entry((from, to)).or_default();
    shared.paths().entry((to, from)).or_default();
    let _ = stream.get_ref().set_nodelay(true);
    let connect = async { Async::<TcpStream>::connect(target).await.ok() };
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    let Some(upstream) = connect.or(timeout).await else {
        return set_reset_on_close(stream.get_ref());
    };
    let _ = upstream.get_ref().set_nodelay(true);
    shared.paths().entry((from, to)).or_default().open += 1;
    let outward = forward_direction(&shared, (from, to), &stream, &upstream, seed, resets);
    let inward = forward_direction(&shared, (to, from), &upstream, &stream, seed ^ 1, resets);
    let forwarding = async {
        let (outward, inward) = smol::future::zip(outward, inward).await;
        outward.is_ok() && inward.is_ok()
    };
    let reset = async {
        shared
            .wait_until(from, to, |path| path.resets != resets)
            .await;
        false
    };
    let is_orderly = reset.or(forwarding).await;
    shared.paths().entry((from, to)).or_default().open -= 1;
    if !is_orderly {
        set_reset_on_close(stream.get_ref());
        set_reset_on_close(upstream.get_ref());
    }
}

/// Makes the close of a connection a TCP reset instead of an orderly end.
fn set_reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Forwards one direction of a connection. An error breaks both directions.
async fn forward_direction(
    shared: &Shared,
    (from, to): (LinkEnd, LinkEnd),
    source: &Async<TcpStream>,
    sink: &Async<TcpStream>,
    seed: u64,
    resets: u64,
) -> io::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (sender, chunks) = channel::bounded::<(Instant, Vec<u8>)>(MAX_DELAYED_CHUNKS);
    let reading = async move {
        let mut last = Instant::now();
        let mut chunk = vec![0; MAX_CHUNK_BYTES];
        loop {
            let n = (&*source).read(&mut chunk).await?;
            if n == 0 {
                return Ok(());
            }
            let path = shared.path(from, to);
            if path.block_count > 0 {
                shared
                    .blocked_chunks
                    .push(((from, to), chunk[..n.min(BLOCKED_HEAD_BYTES)].to_vec()));
            }
            // Chunks of a connection keep their order.
            last = last.max(Instant::now() + path.delay + path.jitter.mul_f64(rng.random()));
            if sender.send((last, chunk[..n].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let writing = async {
        while let Ok((send_at, chunk)) = chunks.recv().await {
            if send_at > Instant::now() {
                Timer::at(send_at).await;
            }
            shared.wait_until_unblocked((from, to), resets).await?;
            let (breaks_mid_message, bytes_per_s) = {
                let mut paths = shared.paths();
                let path = paths.entry((from, to)).or_default();
                path.bytes += chunk.len() as u64;
                (
                    std::mem::take(&mut path.breaks_mid_message),
                    path.bytes_per_s,
                )
            };
            if breaks_mid_message {
                (&*sink).write_all(&chunk[..chunk.len() / 2]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            for part in chunk.chunks(if bytes_per_s > 0 {
                MAX_THROTTLED_WRITE_BYTES
            } else {
                MAX_CHUNK_BYTES
            }) {
                (&*sink).write_all(part).await?;
                if bytes_per_s > 0 {
                    Timer::after(Duration::from_secs_f64(
                        part.len() as f64 / bytes_per_s as f64,
                    ))
                    .await;
                }
            }
        }
        shared.wait_until_unblocked((from, to), resets).await?;
        // `close` of the async stream does not shut the socket down.
        sink.get_ref().shutdown(Shutdown::Write)
    };
    let (read, written) = smol::future::zip(reading, writing).await;
    read.and(written)
}
