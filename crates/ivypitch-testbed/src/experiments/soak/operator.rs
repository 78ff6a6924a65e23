//! The operator of the fleet in a soak run: executes the plan and records the life of each process.

use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::load_balancer::LoadBalancer;
use super::observations::{Drain, Process, ProcessEnd};
use super::plan::{DrainSignal, Operation, Restart, SoakPlan};
use crate::processes::Fleet;
use crate::processes::engine::timestamp_us;
use crate::processes::relay::LinkEnd;
use crate::processes::restarts::ConfigurationChange;

const TICK: Duration = Duration::from_millis(5);
/// Time in which a process that gets SIGTERM while it starts must exit.
const MAX_EXIT_TIME_WHILE_STARTING: Duration = Duration::from_secs(15);

/// A step of the plan.
enum Step {
    Begin(Operation),
    Reload {
        gateway: usize,
        change: ConfigurationChange,
    },
    /// Signal to the process with this number, if it still runs.
    Signal {
        process: usize,
        signal: Signal,
    },
    KillIfOverdue {
        process: usize,
    },
    EndDrain {
        engine: usize,
    },
    EndHang {
        engine: usize,
    },
    EndSilentWatch {
        gateway: usize,
    },
    EndCutOff {
        gateway: usize,
    },
}

struct ScheduledStep {
    at: Instant,
    step: Step,
}

/// Records of the operator.
#[derive(Default)]
pub struct OperatorRecord {
    pub processes: Vec<Process>,
    pub drains: Vec<Drain>,
    /// Processes that SIGTERM ended before they had installed their handler.
    pub ended_before_handler: usize,
}

pub struct Operator<'a> {
    fleet: &'a mut Fleet,
    load_balancer: Arc<LoadBalancer>,
    kill_after: Duration,
    /// By gateway: number of its current process in the record.
    current: Vec<usize>,
    /// By gateway: the restart in progress, until its process has ended.
    pending_restarts: Vec<Option<Restart>>,
    steps: Vec<ScheduledStep>,
    record: OperatorRecord,
}

impl<'a> Operator<'a> {
    /// Creates the operator of a fleet that has just started.
    pub fn new(
        fleet: &'a mut Fleet,
        load_balancer: Arc<LoadBalancer>,
        kill_after: Duration,
    ) -> Operator<'a> {
        let gateways = fleet.config.gateways;
        let started_at = timestamp_us();
        let processes = (0..gateways)
            .map(|gateway| new_process(gateway, started_at, Some(started_at)))
            .collect();
        Operator {
            fleet,
            load_balancer,
            kill_after,
            current: (0..gateways).collect(),
            pending_restarts: vec![None; gateways],
            steps: Vec::new(),
            record: OperatorRecord {
                processes,
                ..OperatorRecord::default()
            },
        }
    }

    /// Executes the plan, then shuts all gateways down.
    pub fn run(mut self, plan: &SoakPlan, from: Instant) -> OperatorRecord {
        for planned in &plan.operations {
            self.steps.push(ScheduledStep {
                at: from + Duration::from_millis(planned.at),
                step: Step::Begin(planned.operation.clone()),
            });
        }
        let until = from + Duration::from_millis(plan.span);
        while Instant::now() < until || self.pending_restarts.iter().any(Option::is_some) {
            self.tick();
        }
        self.terminate_all();
        self.record
    }

    fn tick(&mut self) {
        let now = Instant::now();
        while let Some(index) = self.steps.iter().position(|scheduled| scheduled.at <= now) {
            let scheduled = self.steps.remove(index);
            self.execute(scheduled.step);
        }
        for gateway in 0..self.current.len() {
            if let Some(status) = self.fleet.try_wait(gateway) {
                self.on_exited(gateway, status);
            }
        }
        thread::sleep(TICK);
    }

    fn schedule_after(&mut self, delay_ms: u64, step: Step) {
        let at = Instant::now() + Duration::from_millis(delay_ms);
        self.steps.push(ScheduledStep { at, step });
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Begin(operation) => self.begin(operation),
            Step::Reload { gateway, change } => self.reload(gateway, change),
            Step::Signal { process, signal } => self.signal(process, signal),
            Step::KillIfOverdue { process } => self.kill_if_overdue(process),
            Step::EndDrain { engine } => {
                self.fleet.publish_engine_state(engine, "in_service");
                let drains = self.record.drains.iter_mut();
                if let Some(drain) = drains.rev().find(|drain| drain.engine == engine) {
                    drain.until = timestamp_us();
                }
            }
            Step::EndHang { engine } => self.fleet.send_command(engine, "mute 0"),
            Step::EndSilentWatch { gateway } => {
                self.fleet
                    .network
                    .unblock(LinkEnd::Journal, LinkEnd::Gateway(gateway));
            }
            Step::EndCutOff { gateway } => self
                .fleet
                .set_partition(|a, b| (a == gateway) != (b == gateway), false),
        }
    }

    fn begin(&mut self, operation: Operation) {
        match operation {
            Operation::Restart(restart) => self.begin_restart(restart),
            Operation::Kill { gateway } => self.kill(gateway),
            Operation::Reload {
                gateway,
                changes,
                gap,
            } => {
                for (number, change) in (0..).zip(changes) {
                    self.schedule_after(gap * number, Step::Reload { gateway, change });
                }
            }
            Operation::Drain { engine, span } => {
                let is_draining = |drain: &Drain| drain.engine == engine && drain.until == u64::MAX;
                if self.record.drains.iter().any(is_draining) {
                    return;
                }
                self.fleet.publish_engine_state(engine, "terminating");
                self.record.drains.push(Drain {
                    engine,
                    announced_at: timestamp_us(),
                    until: u64::MAX,
                });
                self.schedule_after(span, Step::EndDrain { engine });
            }
            Operation::Hang { engine, span } => {
                self.fleet.send_command(engine, "mute 1");
                self.schedule_after(span, Step::EndHang { engine });
            }
            Operation::Reset { gateway, engine } => {
                self.fleet
                    .network
                    .reset(LinkEnd::Gateway(gateway), LinkEnd::Engine(engine));
            }
            Operation::SilentWatch { gateway, span } => {
                self.fleet
                    .network
                    .block(LinkEnd::Journal, LinkEnd::Gateway(gateway));
                self.schedule_after(span, Step::EndSilentWatch { gateway });
            }
            Operation::CutOff { gateway, span } => {
                self.fleet
                    .set_partition(|a, b| (a == gateway) != (b == gateway), true);
                self.schedule_after(span, Step::EndCutOff { gateway });
            }
        }
    }

    fn reload(&mut self, gateway: usize, change: ConfigurationChange) {
        if self.pending_restarts[gateway].is_some() {
            return;
        }
        if let Err(error) = self.fleet.write_configuration(gateway, change) {
            self.record_failure(gateway, &format!("configuration not written: {error}"));
            return;
        }
        self.fleet.signal(gateway, Signal::HUP);
    }

    fn signal(&mut self, process: usize, signal: Signal) {
        let gateway = self.record.processes[process].gateway;
        if self.current[gateway] == process {
            self.fleet.signal(gateway, signal);
        }
    }

    fn begin_restart(&mut self, restart: Restart) {
        let gateway = restart.gateway;
        let process = self.current[gateway];
        let now = timestamp_us();
        let closes_at = now + restart.new_connections_for * 1000;
        let usage = self.fleet.usage(gateway);
        let record = &mut self.record.processes[process];
        if let Some(usage) = usage {
            record.descriptors = usage.descriptors;
            record.resident_bytes = usage.resident_bytes;
        }
        record.terminated_at = Some(now);
        self.fleet.signal(gateway, Signal::TERM);
        self.load_balancer.close_at(gateway, closes_at);
        for &(after, signal) in &restart.signals {
            let signal = match signal {
                DrainSignal::Term => Signal::TERM,
                DrainSignal::Hup => Signal::HUP,
            };
            self.schedule_after(after, Step::Signal { process, signal });
        }
        let kill_after = self.kill_after.as_millis() as u64;
        self.schedule_after(kill_after, Step::KillIfOverdue { process });
        self.pending_restarts[gateway] = Some(restart);
    }

    fn kill_if_overdue(&mut self, process: usize) {
        let gateway = self.record.processes[process].gateway;
        if self.current[gateway] != process {
            return;
        }
        if self.fleet.is_up(gateway) {
            self.fleet.kill(gateway);
            self.record_end(gateway, ProcessEnd::KilledAfterTerm);
        }
        let restart = self.pending_restarts[gateway].take();
        self.start(
            gateway,
            restart.and_then(|restart| restart.term_while_starting),
        );
    }

    fn kill(&mut self, gateway: usize) {
        if self.pending_restarts[gateway].is_some() {
            return;
        }
        self.load_balancer.close_at(gateway, 0);
        self.fleet.kill(gateway);
        self.record_end(gateway, ProcessEnd::Killed);
        self.start(gateway, None);
    }

    /// Handles the exit of a process that was not killed.
    fn on_exited(&mut self, gateway: usize, status: ExitStatus) {
        let was_terminated = self.pending_restarts[gateway].is_some();
        let code = status.code().filter(|_| was_terminated);
        self.record_end(gateway, ProcessEnd::Exited(code));
        self.load_balancer.close_at(gateway, 0);
        let starts_at_once = self.pending_restarts[gateway]
            .as_ref()
            .is_none_or(|restart| restart.starts_at_once);
        if starts_at_once {
            let restart = self.pending_restarts[gateway].take();
            self.start(
                gateway,
                restart.and_then(|restart| restart.term_while_starting),
            );
        }
    }

    fn record_end(&mut self, gateway: usize, end: ProcessEnd) {
        let process = &mut self.record.processes[self.current[gateway]];
        process.ended_at = Some(timestamp_us());
        process.end = Some(end);
    }

    fn record_failure(&mut self, gateway: usize, error: &str) {
        eprintln!("n{gateway}: {error}");
        self.record_end(gateway, ProcessEnd::Exited(None));
    }

    /// Starts the next process. With `term_after_ms`, first starts one that gets SIGTERM while it
    /// starts.
    fn start(&mut self, gateway: usize, term_after_ms: Option<u64>) {
        let change = ConfigurationChange::Same;
        if let Err(error) = self.fleet.write_configuration(gateway, change) {
            self.record_failure(gateway, &format!("configuration not written: {error}"));
        }
        if let Some(delay_ms) = term_after_ms {
            self.terminate_while_starting(gateway, delay_ms);
        }
        let spawned_at = timestamp_us();
        self.current[gateway] = self.record.processes.len();
        self.record
            .processes
            .push(new_process(gateway, spawned_at, None));
        match self.fleet.start_gateway(gateway) {
            Ok(()) => {
                self.record.processes[self.current[gateway]].ready_at = Some(timestamp_us());
                self.load_balancer.open(gateway);
            }
            Err(error) => self.record_failure(gateway, &error),
        }
    }

    fn terminate_while_starting(&mut self, gateway: usize, after_ms: u64) {
        let spawned_at = timestamp_us();
        if let Err(error) = self.fleet.spawn_gateway(gateway) {
            self.record_failure(gateway, &error);
            return;
        }
        thread::sleep(Duration::from_millis(after_ms));
        let mut process = new_process(gateway, spawned_at, None);
        process.terminated_at = Some(timestamp_us());
        self.fleet.signal(gateway, Signal::TERM);
        let until = Instant::now() + MAX_EXIT_TIME_WHILE_STARTING;
        let status = loop {
            if let Some(status) = self.fleet.try_wait(gateway) {
                break Some(status);
            }
            if Instant::now() > until {
                break None;
            }
            thread::sleep(TICK);
        };
        process.ended_at = Some(timestamp_us());
        let Some(status) = status else {
            self.fleet.kill(gateway);
            process.end = Some(ProcessEnd::KilledAfterTerm);
            self.record.processes.push(process);
            return;
        };
        if status.signal() == Some(Signal::TERM.as_raw()) {
            self.record.ended_before_handler += 1;
            return;
        }
        process.end = Some(ProcessEnd::Exited(status.code()));
        self.record.processes.push(process);
    }

    /// Terminates all gateways as a planned restart does.
    fn terminate_all(&mut self) {
        for step in std::mem::take(&mut self.steps) {
            if !matches!(step.step, Step::Begin(_) | Step::Reload { .. }) {
                self.execute(step.step);
            }
        }
        for gateway in 0..self.current.len() {
            self.begin_restart(Restart {
                gateway,
                new_connections_for: 0,
                signals: Vec::new(),
                starts_at_once: false,
                term_while_starting: None,
            });
        }
        let until = Instant::now() + self.kill_after;
        while Instant::now() < until
            && (0..self.current.len()).any(|gateway| self.fleet.is_up(gateway))
        {
            for gateway in 0..self.current.len() {
                if let Some(status) = self.fleet.try_wait(gateway) {
                    self.record_end(gateway, ProcessEnd::Exited(status.code()));
                }
            }
            thread::sleep(TICK);
        }
        for gateway in 0..self.current.len() {
            if self.fleet.is_up(gateway) {
                self.fleet.kill(gateway);
                self.record_end(gateway, ProcessEnd::KilledAfterTerm);
            }
        }
    }
}

fn new_process(gateway: usize, spawned_at: u64, ready_at: Option<u64>) -> Process {
    Process {
        gateway,
        spawned_at,
        ready_at,
        terminated_at: None,
        ended_at: None,
        end: None,
        descriptors: 0,
        resident_bytes: 0,
    }
}
