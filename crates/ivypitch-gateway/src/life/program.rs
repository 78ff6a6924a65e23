//! The program from start to exit.

use std::fmt;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use ivypitch::interface::Nanos;

use super::clock::Clock;
use super::configuration::Configuration;
use crate::actors::{ModuleMail, list, module, session};
use crate::memory::pool::Permits;

/// After SIGTERM new connections go on coming for 0.4 s and requests on open ones for 0.2 s more.
const OVERLAP: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than so long after SIGTERM: the longest statement timeout, 3 s at most, and 0.7 s.
const KILL_WAITS_AT_MOST: Nanos = 3_000_000_000;
/// Left for the last answers to be written.
const LAST_ANSWERS: Nanos = 150_000_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Starting,
    Serving,
    /// SIGTERM came: what comes in the overlap is still taken.
    Overlap,
    /// Nothing new is taken; what was taken is answered.
    Finishing,
    Stopped,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Overlap => "overlap",
            Phase::Finishing => "finishing",
            Phase::Stopped => "stopped",
        })
    }
}

pub struct Program {
    phase: Phase,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    sessions: Rc<session::Sessions>,
    listener: Rc<Async<TcpListener>>,
    module: Sender<ModuleMail>,
    longest_timeout: Nanos,
}

impl Program {
    /// Brings everything up; an error ends the program before it has taken anything.
    pub fn start(configuration: Configuration, clock: Clock) -> Result<Program, String> {
        let Configuration { name, listen, seed, sockets, journal, known, mut given } = configuration;
        let listener = Async::<TcpListener>::bind(listen).map_err(|e| format!("listen on {listen}: {e}"))?;
        let listen = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let executor = Rc::new(LocalExecutor::new());
        let (module, mailbox) = async_channel::unbounded();
        let workloads = given.facts.workloads.len();
        let longest_timeout = given.facts.workloads.iter().map(|w| w.statement_timeout).max().unwrap_or(0);
        // Clients get a third of the descriptors and a sixteenth for those that are turned away; a few remain
        // for the listener, the journal service, signals and the log.
        let clients = sockets / 3;
        let told = sockets / 16;
        given.facts.most_held = given.facts.most_held.min(clients);
        let engines = (sockets - clients - told).saturating_sub(48).max(1);
        let sessions =
            session::Sessions::new(clients, told, given.names.clone(), clock, module.clone(), seed);
        let pos = known.pos;
        let actor =
            module::Module::new(given, seed, clock, Permits::new(engines), module.clone(), executor.clone());
        executor.spawn(actor.run(mailbox, known)).detach();
        if let Some(address) = journal {
            executor.spawn(list::follow(address, pos, module.clone())).detach();
        }
        let program = Program {
            phase: Phase::Starting,
            clock,
            executor,
            sessions,
            listener: Rc::new(listener),
            module,
            longest_timeout,
        };
        log::info!(
            "{name} {}: listens on {listen}, {workloads} workloads, {clients} clients, {engines} engine connections",
            program.phase
        );
        Ok(program)
    }

    /// Serves until SIGTERM, then answers all that was taken.
    pub fn run(mut self) -> Result<(), String> {
        let executor = self.executor.clone();
        async_io::block_on(executor.run(async move {
            let mut signals =
                Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
            let accepting = self.executor.spawn(accept(
                self.listener.clone(),
                self.sessions.clone(),
                self.executor.clone(),
            ));
            self.enter(Phase::Serving);
            signals.next().await;
            self.enter(Phase::Overlap);
            let longest = self.longest_timeout.min(KILL_WAITS_AT_MOST) + OVERLAP.as_nanos() as Nanos;
            let by = self.clock.now() + longest - LAST_ANSWERS;
            let _ = self.module.try_send(ModuleMail::Drain { by });
            Timer::after(OVERLAP).await;
            accepting.cancel().await;
            self.enter(Phase::Finishing);
            self.sessions
                .all_answered()
                .or(async {
                    Timer::at(self.clock.instant(by + LAST_ANSWERS)).await;
                })
                .await;
            self.enter(Phase::Stopped);
            Ok(())
        }))
    }

    /// The one function that changes the phase.
    fn enter(&mut self, phase: Phase) {
        let (sessions, open) = self.sessions.counts();
        log::info!("{} -> {phase}: {sessions} sessions, {open} statements open", self.phase);
        self.phase = phase;
    }
}

async fn accept(
    listener: Rc<Async<TcpListener>>,
    sessions: Rc<session::Sessions>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let place = sessions.place().await;
        match listener.accept().await {
            Ok((stream, _)) => serve(stream, place, &sessions, &executor),
            Err(e) => {
                // Descriptors or memory are short for a moment, or the client has gone already.
                log::warn!("accept: {e}");
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

fn serve(
    stream: Async<TcpStream>,
    place: session::Place,
    sessions: &Rc<session::Sessions>,
    executor: &Rc<LocalExecutor<'static>>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    executor.spawn(session::serve(stream, place, sessions.clone())).detach();
}
