//! Links between processes. Each way from one end to another has a relay of its own on loopback, which passes on what
//! comes, or does to it what the fault plan says: nothing arrives, late, slowly, some datagrams not at all, or the
//! link breaks, in the middle of a message where that is asked for.

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

/// Where a link begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEnd {
    Gateway(usize),
    Engine(usize),
    Journal,
    Client(usize),
}

/// What is wrong with one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathState {
    /// So many faults at once say that nothing arrives.
    pub block_count: u32,
    pub delay: Duration,
    /// Up to so much later still, drawn for each piece.
    pub jitter: Duration,
    /// Part of the datagrams that are lost.
    pub datagram_loss: f64,
    /// Bytes a second; 0: as fast as they come.
    pub bytes_per_s: u64,
    /// How often its links were broken.
    resets: u64,
    /// The next piece goes half, then the link breaks.
    breaks_mid_message: bool,
    pub bytes: u64,
    pub datagrams: u64,
    /// Connections of this way that are up.
    pub open: u64,
}

/// Of all ways from and to one end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTotals {
    pub bytes_from: u64,
    pub bytes_to: u64,
    /// Connections that are up, whoever opened them.
    pub open: u64,
}

const PIECE: usize = 16 << 10;
const SLOW_PIECE: usize = 512;
const STUCK_HEAD: usize = 64;
/// Pieces that wait for their time on one way of one connection.
const MOST_LATE: usize = 64;
const CONNECT: Duration = Duration::from_secs(1);

type PathStates = BTreeMap<(LinkEnd, LinkEnd), PathState>;

struct Shared {
    ways: Mutex<PathStates>,
    changed: Event,
    /// Where dials come in, for what waits there as a link is reset. As many as were opened.
    doors: Mutex<BTreeMap<(LinkEnd, LinkEnd), Vec<TcpListener>>>,
    /// Pieces that came while their way was silent, the head of each.
    stuck: EventLog<((LinkEnd, LinkEnd), Vec<u8>)>,
}

impl Shared {
    fn ways(&self) -> MutexGuard<'_, PathStates> {
        self.ways
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn doors(&self) -> MutexGuard<'_, BTreeMap<(LinkEnd, LinkEnd), Vec<TcpListener>>> {
        self.doors
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn way(&self, from: LinkEnd, to: LinkEnd) -> PathState {
        self.ways().get(&(from, to)).copied().unwrap_or_default()
    }

    async fn until(
        &self,
        from: LinkEnd,
        to: LinkEnd,
        is: impl Fn(&PathState) -> bool,
    ) -> PathState {
        loop {
            let changed = self.changed.listen();
            let way = self.way(from, to);
            if is(&way) {
                return way;
            }
            changed.await;
        }
    }

    /// Returns once the way is heard. An error: its links were broken before that, however soon after it was heard.
    async fn open(&self, (from, to): (LinkEnd, LinkEnd), resets: u64) -> io::Result<()> {
        let way = self
            .until(from, to, |way| way.block_count == 0 || way.resets != resets)
            .await;
        if way.resets == resets {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
}

struct Opened {
    from: LinkEnd,
    to: LinkEnd,
    target: SocketAddr,
    listener: TcpListener,
    datagrams: Option<UdpSocket>,
}

/// All relays of a run. Their thread ends with it.
pub struct RelayNetwork {
    shared: Arc<Shared>,
    opened: Sender<Opened>,
}

impl RelayNetwork {
    pub fn start(seed: u64) -> RelayNetwork {
        let shared = Arc::new(Shared {
            ways: Mutex::default(),
            changed: Event::new(),
            doors: Mutex::default(),
            stuck: EventLog::new(),
        });
        let (opened, to_open) = channel::unbounded();
        let on = shared.clone();
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            smol::block_on(executor.clone().run(serve(on, to_open, executor, seed)))
        });
        RelayNetwork { shared, opened }
    }

    /// The address under which `from` reaches `to`, which listens at `target`.
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
                // The other kind of that port may be taken: another one then.
                true => match UdpSocket::bind(address) {
                    Ok(socket) => Some(socket),
                    Err(_) => continue,
                },
                false => None,
            };
            listener.set_nonblocking(true)?;
            let door = listener.try_clone()?;
            self.shared
                .doors()
                .entry((from, to))
                .or_default()
                .push(door);
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
        self.shared.way(from, to)
    }

    pub fn change(&self, from: LinkEnd, to: LinkEnd, change: impl FnOnce(&mut PathState)) {
        change(self.shared.ways().entry((from, to)).or_default());
        self.shared.changed.notify(usize::MAX);
    }

    /// Nothing arrives from one at the other; what is written waits as in a network's buffers.
    pub fn block(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |way| way.block_count += 1);
    }

    pub fn unblock(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |way| {
            way.block_count = way.block_count.saturating_sub(1)
        });
    }

    /// All links between the two break, and dials that were not taken up yet; what waits on them is lost, whatever is
    /// done to their way next.
    pub fn reset(&self, a: LinkEnd, b: LinkEnd) {
        let mut ways = self.shared.ways();
        for ends in [(a, b), (b, a)] {
            ways.entry(ends).or_default().resets += 1;
            for door in self.shared.doors().get(&ends).into_iter().flatten() {
                std::iter::from_fn(|| door.accept().ok()).for_each(|(dial, _)| break_off(&dial));
            }
        }
        drop(ways);
        self.shared.changed.notify(usize::MAX);
    }

    /// The next piece from one to the other is cut in two, and the link breaks behind its first half.
    pub fn break_mid_message(&self, from: LinkEnd, to: LinkEnd) {
        self.change(from, to, |way| way.breaks_mid_message = true);
    }

    /// Returns once a piece has come for a way that is silent, with these bytes in its head.
    pub fn wait_for_blocked_data(&self, from: LinkEnd, to: LinkEnd, bytes: &str) {
        let is = |piece: &[u8]| {
            piece
                .windows(bytes.len())
                .any(|part| part == bytes.as_bytes())
        };
        let what = format!("piece with {bytes:?} on a silent way");
        self.shared
            .stuck
            .wait(&what, |(ends, piece)| *ends == (from, to) && is(piece));
    }

    /// All that passed from one end and to it.
    pub fn totals(&self, end: LinkEnd) -> LinkTotals {
        let mut sums = LinkTotals::default();
        for (&(from, to), way) in self.shared.ways().iter() {
            sums.bytes_from += if from == end { way.bytes } else { 0 };
            sums.bytes_to += if to == end { way.bytes } else { 0 };
            sums.open += if from == end || to == end {
                way.open
            } else {
                0
            };
        }
        sums
    }

    /// Bytes and datagrams passed on between gateways.
    pub fn gateway_traffic(&self) -> (u64, u64) {
        let ways = self.shared.ways();
        let among = ways.iter().filter(|((a, b), _)| {
            matches!(a, LinkEnd::Gateway(_)) && matches!(b, LinkEnd::Gateway(_))
        });
        among.fold((0, 0), |(bytes, datagrams), (_, way)| {
            (bytes + way.bytes, datagrams + way.datagrams)
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
            let task = pass_datagrams(
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
                // In one step: a reset meets it waiting, or among the links that there are.
                let (taken, resets) = {
                    let ways = shared.ways();
                    (
                        listener.get_ref().accept(),
                        ways.get(&(from, to)).map_or(0, |way| way.resets),
                    )
                };
                let Some(stream) = taken.ok().and_then(|(stream, _)| Async::new(stream).ok())
                else {
                    continue;
                };
                serial += 1;
                on.spawn(pass(
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

async fn pass_datagrams(
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
        let way = shared.way(from, to);
        if way.block_count > 0 || rng.random_bool(way.datagram_loss) {
            continue;
        }
        {
            let mut ways = shared.ways();
            let way = ways.entry((from, to)).or_default();
            way.bytes += n as u64;
            way.datagrams += 1;
        }
        let after = way.delay + way.jitter.mul_f64(rng.random());
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

/// One connection, until either end or the plan ends it.
async fn pass(
    shared: Arc<Shared>,
    from: LinkEnd,
    to: LinkEnd,
    target: SocketAddr,
    stream: Async<TcpStream>,
    seed: u64,
    resets: u64,
) {
    shared.ways().entry((from, to)).or_default();
    shared.ways().entry((to, from)).or_default();
    let _ = stream.get_ref().set_nodelay(true);
    let connect = async { Async::<TcpStream>::connect(target).await.ok() };
    let late = async {
        Timer::after(CONNECT).await;
        None
    };
    let Some(other) = connect.or(late).await else {
        return break_off(stream.get_ref());
    };
    let _ = other.get_ref().set_nodelay(true);
    shared.ways().entry((from, to)).or_default().open += 1;
    let there = carry(&shared, (from, to), &stream, &other, seed, resets);
    let back = carry(&shared, (to, from), &other, &stream, seed ^ 1, resets);
    let whole = async {
        let (there, back) = smol::future::zip(there, back).await;
        there.is_ok() && back.is_ok()
    };
    let broken = async {
        shared.until(from, to, |way| way.resets != resets).await;
        false
    };
    let is_whole = broken.or(whole).await;
    shared.ways().entry((from, to)).or_default().open -= 1;
    if !is_whole {
        break_off(stream.get_ref());
        break_off(other.get_ref());
    }
}

/// Closed so that the other end sees it broken, not ended.
fn break_off(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// One way of one connection. An error breaks both.
async fn carry(
    shared: &Shared,
    (from, to): (LinkEnd, LinkEnd),
    source: &Async<TcpStream>,
    sink: &Async<TcpStream>,
    seed: u64,
    resets: u64,
) -> io::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (pieces, due) = channel::bounded::<(Instant, Vec<u8>)>(MOST_LATE);
    let reading = async move {
        let mut last = Instant::now();
        let mut piece = vec![0; PIECE];
        loop {
            let n = (&*source).read(&mut piece).await?;
            if n == 0 {
                return Ok(());
            }
            let way = shared.way(from, to);
            if way.block_count > 0 {
                shared
                    .stuck
                    .push(((from, to), piece[..n.min(STUCK_HEAD)].to_vec()));
            }
            // Nothing overtakes on one connection.
            last = last.max(Instant::now() + way.delay + way.jitter.mul_f64(rng.random()));
            if pieces.send((last, piece[..n].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let writing = async {
        while let Ok((at, piece)) = due.recv().await {
            if at > Instant::now() {
                Timer::at(at).await;
            }
            shared.open((from, to), resets).await?;
            let (torn, slow) = {
                let mut ways = shared.ways();
                let way = ways.entry((from, to)).or_default();
                way.bytes += piece.len() as u64;
                (std::mem::take(&mut way.breaks_mid_message), way.bytes_per_s)
            };
            if torn {
                (&*sink).write_all(&piece[..piece.len() / 2]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            for part in piece.chunks(if slow > 0 { SLOW_PIECE } else { PIECE }) {
                (&*sink).write_all(part).await?;
                if slow > 0 {
                    Timer::after(Duration::from_secs_f64(part.len() as f64 / slow as f64)).await;
                }
            }
        }
        shared.open((from, to), resets).await?;
        // `close` of the library ends nothing.
        sink.get_ref().shutdown(Shutdown::Write)
    };
    let (read, written) = smol::future::zip(reading, writing).await;
    read.and(written)
}
