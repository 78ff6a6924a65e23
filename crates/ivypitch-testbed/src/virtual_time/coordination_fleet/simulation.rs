//! The simulation: its event queue and the calls of the coordinators.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use ivypitch_coordination::{CoordinationOutput, Coordinator, CoordinatorParams, UNITS_PER_MEMBER};
use ivypitch_types::{MILLISECOND, Nanos, SECOND};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::engines::{EngineCounts, engine_number};
use super::event::Event;
use super::gateway::{Action, Actions, Demand, Gateway, Process};
use super::network::Network;
use super::quotas::QuotaCounts;
use super::{Fleet, LEVEL_QUOTA, MEASUREMENT_INTERVAL, SPEND_WINDOW, Verdict, config};
use crate::virtual_time::faults::FaultPlan;

/// Time at which the run starts. The first processes have run long enough before to have recovered
/// their state.
const START: Nanos = 20 * SECOND;
/// Number of timer calls of each coordinator before the start.
const TIMERS_BEFORE_START: u64 = 30;
/// Seed that all coordinators of a fleet share, so that they make the same choices.
const FLEET_SEED: u64 = 7;
/// Number of the last endpoint event that every gateway knows at its start.
const LAST_EVENT: u64 = 1;

/// Times of the changes within a run.
#[derive(Clone, Copy)]
pub(super) struct Schedule {
    pub(super) start: Nanos,
    pub(super) engines_fail: Nanos,
    pub(super) demand_moves: Nanos,
    pub(super) engines_recover: Nanos,
    pub(super) end: Nanos,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Healthy,
    Failing,
    DemandMoved,
    Recovered,
}

pub(super) struct Simulation<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) schedule: Schedule,
    pub(super) now: Nanos,
    pub(super) rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last_serial: u64,
    phase: Phase,
    last_incarnation: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) network: Network,
    pub(super) failing: BTreeSet<usize>,
    pub(super) quota_counts: QuotaCounts,
    pub(super) engine_counts: EngineCounts,
    pub(super) verdict: Verdict,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(fleet: &'a Fleet, plan: &FaultPlan, seed: u64) -> Simulation<'a> {
        let duration = fleet.duration_ms * MILLISECOND;
        let mut simulation = Simulation {
            fleet,
            schedule: Schedule {
                start: START,
                engines_fail: START + duration / 3,
                demand_moves: START + duration / 2,
                engines_recover: START + duration * 2 / 3,
                end: START + duration,
            },
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_serial: 0,
            phase: Phase::Healthy,
            last_incarnation: 0,
            gateways: Vec::new(),
            network: Network::default(),
            failing: BTreeSet::new(),
            quota_counts: QuotaCounts::new(),
            engine_counts: EngineCounts::new(fleet.engines),
            verdict: Verdict::default(),
        };
        simulation.start_gateways();
        simulation.draw_demand(0);
        simulation.schedule(START, Event::Measure);
        for fault in &plan.faults {
            let at = START + fault.at_ms * MILLISECOND;
            simulation.schedule(at, Event::FaultBegins(*fault));
        }
        simulation
    }

    /// Starts all gateways with full connectivity, as if they had run until the start.
    fn start_gateways(&mut self) {
        for index in 0..self.fleet.gateways {
            let gateway = self.new_gateway(index, 0);
            self.gateways.push(gateway);
        }
        self.now = START;
        let processes: Vec<Process> = self
            .gateways
            .iter()
            .map(|gateway| gateway.process)
            .collect();
        for gateway in &mut self.gateways {
            run_before_start(gateway);
            let now = gateway.local_time(START);
            for other in &processes {
                if *other != gateway.process {
                    gateway.reachable[other.gateway] = Some(other.incarnation);
                    let out = &mut Actions::default();
                    gateway.coordinator.on_member_up(now, other.id(), out);
                }
            }
        }
        for process in processes {
            let first_timer = START + 1 + process.gateway as u64;
            self.schedule(first_timer, Event::Timer(process));
            self.schedule(first_timer, Event::Send(process));
        }
    }

    fn new_gateway(&mut self, gateway: usize, started_at: Nanos) -> Gateway {
        self.last_incarnation += 1;
        let process = Process {
            gateway,
            incarnation: self.last_incarnation,
        };
        let zones = (0..self.fleet.gateways)
            .map(|member| (member % self.fleet.zones) as u16)
            .collect();
        let mut coordinator = Coordinator::new(CoordinatorParams {
            process: process.id(),
            zones,
            config: config(self.fleet.gateways),
            last_event: LAST_EVENT,
            seed: FLEET_SEED,
            now: started_at,
        });
        let engines: Vec<u64> = (0..self.fleet.engines).map(engine_number).collect();
        coordinator.set_ready_engines(&engines);
        let clock_rate = if self.fleet.has_clock_drift {
            0.995 + 0.01 * (gateway % 11) as f64 / 10.0
        } else {
            1.0
        };
        Gateway {
            coordinator,
            process,
            clock_rate,
            started_at,
            is_up: true,
            is_suspended: false,
            held_events: Vec::new(),
            reachable: vec![None; self.fleet.gateways],
            next_timer: Nanos::MAX,
            demand: Demand {
                statements_per_second: self.fleet.statements_per_second,
                ..Demand::default()
            },
            unspent_demand: 0.0,
            fleet_status: BTreeMap::new(),
            own_outcomes: BTreeMap::new(),
            own_ejected: BTreeSet::new(),
            next_probe: BTreeMap::new(),
            sends_since_probe: 16,
        }
    }

    pub(super) fn restart(&mut self, gateway: usize) {
        if self.gateways[gateway].is_up {
            return;
        }
        let demand = self.gateways[gateway].demand;
        let restarted = self.new_gateway(gateway, self.now);
        let process = restarted.process;
        self.gateways[gateway] = Gateway {
            demand,
            ..restarted
        };
        self.check_members_of(&BTreeSet::from([gateway]), 20..300);
        self.schedule(self.now + 1, Event::Timer(process));
        self.schedule(self.now + 1, Event::Send(process));
    }

    /// Divides 0.9 of the level quota and 0.8 of the window quota among the gateways as their
    /// demand. `shift` selects other gateways for the high demand.
    fn draw_demand(&mut self, shift: usize) {
        let gateways = self.fleet.gateways;
        let has_high_demand =
            |member: usize| self.fleet.has_uneven_demand && (member + shift).is_multiple_of(10);
        let weights: Vec<f64> = (0..gateways)
            .map(|member| if has_high_demand(member) { 10.0 } else { 1.0 })
            .collect();
        let total_weight: f64 = weights.iter().sum();
        let total_units = f64::from(UNITS_PER_MEMBER) * gateways as f64;
        for (gateway, weight) in self.gateways.iter_mut().zip(weights) {
            gateway.demand = Demand {
                level_units: 0.9 * total_units * weight / total_weight,
                spent_per_second: 0.8 * total_units * weight / total_weight * SECOND as f64
                    / SPEND_WINDOW as f64,
                statements_per_second: self.fleet.statements_per_second * gateways as f64 * weight
                    / total_weight,
            };
        }
    }

    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, event);
        self.queue.push(Reverse((at, self.last_serial)));
    }

    pub(super) fn run(mut self) -> Verdict {
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            if at > self.schedule.end {
                break;
            }
            self.now = at;
            self.advance_phase();
            if let Some(event) = self.events.remove(&serial) {
                self.on_event(event);
            }
        }
        self.quota_counts.print_series();
        self.into_verdict()
    }

    fn advance_phase(&mut self) {
        if self.phase == Phase::Healthy && self.now >= self.schedule.engines_fail {
            self.phase = Phase::Failing;
            self.failing = (0..self.fleet.failing_engines).collect();
        }
        if self.phase == Phase::Failing && self.now >= self.schedule.demand_moves {
            self.phase = Phase::DemandMoved;
            self.draw_demand(5);
        }
        if self.phase == Phase::DemandMoved && self.now >= self.schedule.engines_recover {
            self.phase = Phase::Recovered;
            self.failing.clear();
        }
    }

    fn into_verdict(self) -> Verdict {
        let duration = self.fleet.duration_ms * MILLISECOND;
        let gateway_seconds = duration as f64 / SECOND as f64 * self.fleet.gateways as f64;
        let verdict = self.verdict;
        Verdict {
            usable: self.quota_counts.used / self.quota_counts.demanded.max(1e-9),
            gossip_bytes: verdict.gossip_bytes / gateway_seconds,
            link_bytes: verdict.link_bytes / gateway_seconds,
            sent_to_failing: self.engine_counts.sent_to_failing as f64 / verdict.sent.max(1) as f64,
            falsely_ejected: self.engine_counts.falsely_ejected / self.fleet.gateways as f64,
            ejected_ms: millis_since(self.engine_counts.ejected_at, self.schedule.engines_fail),
            returned_ms: millis_since(
                self.engine_counts.returned_at,
                self.schedule.engines_recover,
            ),
            ..verdict
        }
    }

    fn on_event(&mut self, event: Event) {
        if let Some(gateway) = event.gateway() {
            let gateway = &mut self.gateways[gateway];
            if !gateway.is_up {
                return;
            }
            if gateway.is_suspended {
                gateway.held_events.push(event);
                return;
            }
        }
        match event {
            Event::Message { to, from, message } => {
                let is_link_open = self.is_current(to) && self.is_current(from);
                if is_link_open && !self.network.is_cut(from.gateway, to.gateway) {
                    self.call(to.gateway, |coordinator, now, out| {
                        coordinator.on_message(now, from.id().member, message, out);
                    });
                }
            }
            Event::Gossip { to, gossip } => {
                if self.is_current(to) {
                    self.call(to.gateway, |coordinator, now, out| {
                        coordinator.on_gossip(now, gossip, out);
                    });
                }
            }
            Event::Timer(process) => self.on_timer(process),
            Event::CheckMember { by, member } => self.check_member(by, member),
            Event::Measure => self.measure(),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::Restart { gateway } => self.restart(gateway),
            Event::Send(process) => self.send_statement(process),
            Event::AttemptEnded { by, engine, health } => {
                self.on_attempt_ended(by, engine, health);
            }
        }
    }

    fn on_timer(&mut self, process: Process) {
        if self.is_current(process) {
            self.gateways[process.gateway].next_timer = Nanos::MAX;
            self.call(process.gateway, |coordinator, now, out| {
                coordinator.on_timer(now, out);
            });
        }
    }

    fn measure(&mut self) {
        self.schedule(self.now + MEASUREMENT_INTERVAL, Event::Measure);
        self.count_quotas();
        self.count_engines();
    }

    pub(super) fn is_current(&self, process: Process) -> bool {
        self.gateways[process.gateway].process == process
    }

    /// Calls a gateway's coordinator, applies the actions that it requests and sets its timer.
    pub(super) fn call(
        &mut self,
        gateway: usize,
        call: impl FnOnce(&mut Coordinator, Nanos, &mut dyn CoordinationOutput),
    ) {
        if !self.fleet.is_coordinated {
            return;
        }
        let caller = &mut self.gateways[gateway];
        let now = caller.local_time(self.now);
        let mut actions = Actions::default();
        call(&mut caller.coordinator, now, &mut actions);
        for action in actions.0 {
            match action {
                Action::Send(to, message) => self.send_message(gateway, to.as_usize(), message),
                Action::SendGossip(to, gossip) => self.send_gossip(gateway, to.as_usize(), gossip),
                Action::SetStatus(engine, status) => self.set_status(gateway, engine, status),
            }
        }
        self.set_timer(gateway);
    }

    fn set_timer(&mut self, gateway: usize) {
        let earliest = self.now + 1;
        let gateway = &mut self.gateways[gateway];
        let timer = gateway.true_time(gateway.coordinator.next_timer());
        if timer < gateway.next_timer {
            let at = timer.max(earliest);
            gateway.next_timer = at;
            let process = gateway.process;
            self.schedule(at, Event::Timer(process));
        }
    }
}

fn run_before_start(gateway: &mut Gateway) {
    for step in 1..=TIMERS_BEFORE_START {
        let at = gateway.local_time(START * step / TIMERS_BEFORE_START);
        gateway.coordinator.set_demand_level(at, LEVEL_QUOTA, 0.0);
        gateway.coordinator.on_timer(at, &mut Actions::default());
    }
}

fn millis_since(at: Option<Nanos>, from: Nanos) -> u64 {
    at.map_or(u64::MAX, |at| at.saturating_sub(from) / MILLISECOND)
}
