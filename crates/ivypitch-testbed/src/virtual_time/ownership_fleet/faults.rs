//! Begin and end of the faults of a plan.

use std::collections::BTreeSet;

use ivypitch_ownership::{Ownership, StatementId};
use ivypitch_types::MILLISECOND;
use rand::Rng;

use super::action::Actions;
use super::event::Event;
use super::membership::{
    LOSS_DETECTION_DELAY, PARTITION_END_DETECTION_DELAY, RETURN_DETECTION_DELAY,
};
use super::simulation::Simulation;
use crate::virtual_time::faults::FaultKind;

/// Time from a shutdown request until the process ends, in milliseconds.
const SHUTDOWN_MS: u64 = 300;

impl Simulation<'_> {
    pub(super) fn on_fault_begins(&mut self, index: usize) {
        let fault = self.plan.faults[index];
        self.trace(|| format!("fault {fault}"));
        match fault.kind {
            FaultKind::Kill {
                gateway,
                restart_after_ms,
            } => {
                if self.is_up(gateway) {
                    self.crash(gateway);
                    self.schedule_after(restart_after_ms * MILLISECOND, Event::Restart { gateway });
                }
            }
            FaultKind::ShutDown {
                gateway,
                restart_after_ms,
            } => {
                if self.is_up(gateway) && !self.gateways[gateway].is_suspended {
                    self.shut_down(gateway);
                    self.schedule_after(SHUTDOWN_MS * MILLISECOND, Event::FaultEnds(index));
                    let restart_after = (SHUTDOWN_MS + restart_after_ms) * MILLISECOND;
                    self.schedule_after(restart_after, Event::Restart { gateway });
                }
            }
            FaultKind::Suspend {
                gateway,
                duration_ms,
            } => {
                if self.is_up(gateway) && !self.gateways[gateway].is_suspended {
                    self.gateways[gateway].is_suspended = true;
                    self.schedule_after(duration_ms * MILLISECOND, Event::FaultEnds(index));
                    self.schedule_view_updates(&BTreeSet::from([gateway]), LOSS_DETECTION_DELAY);
                    self.schedule_give_ups(gateway);
                }
            }
            FaultKind::PartitionZone { .. } | FaultKind::PartitionGateway { .. } => {
                for link in self.partitioned_links(fault.kind) {
                    *self.partitions.entry(link).or_default() += 1;
                }
                let all = (0..self.fleet.gateways).collect();
                self.schedule_view_updates(&all, LOSS_DETECTION_DELAY);
                self.schedule_fault_end(index);
            }
            FaultKind::DropMessages { from, to, .. } => {
                *self.broken_links.entry((from, to)).or_default() += 1;
                self.schedule_fault_end(index);
            }
            FaultKind::DelayMessages {
                from, to, delay_ms, ..
            } => {
                self.delays.insert((from, to), delay_ms * MILLISECOND);
                self.schedule_fault_end(index);
            }
            FaultKind::ResetLinks { from, to } => self.drop_messages_between(from, to),
            FaultKind::CrashEngine { engine } => self.engines[engine].queries.clear(),
            FaultKind::DrainEngine { engine, .. } => {
                self.engines[engine].is_draining = true;
                self.schedule_fault_end(index);
            }
        }
    }

    pub(super) fn on_fault_ends(&mut self, index: usize) {
        let fault = self.plan.faults[index];
        match fault.kind {
            FaultKind::Suspend { gateway, .. } => self.resume(gateway),
            FaultKind::ShutDown { gateway, .. } => {
                if self.is_up(gateway) && self.gateways[gateway].is_shutting_down {
                    self.crash(gateway);
                }
            }
            FaultKind::PartitionZone { .. } | FaultKind::PartitionGateway { .. } => {
                for link in self.partitioned_links(fault.kind) {
                    *self.partitions.entry(link).or_default() -= 1;
                }
                let all = (0..self.fleet.gateways).collect();
                self.schedule_view_updates(&all, PARTITION_END_DETECTION_DELAY);
            }
            FaultKind::DropMessages { from, to, .. } => {
                *self.broken_links.entry((from, to)).or_default() -= 1;
            }
            FaultKind::DelayMessages { from, to, .. } => {
                self.delays.remove(&(from, to));
            }
            FaultKind::DrainEngine { engine, .. } => self.engines[engine].is_draining = false,
            FaultKind::Kill { .. }
            | FaultKind::ResetLinks { .. }
            | FaultKind::CrashEngine { .. } => {}
        }
    }

    pub(super) fn on_restart(&mut self, gateway: usize) {
        if self.is_up(gateway) {
            return;
        }
        let started = self.start_gateway(gateway);
        let incarnation = started.incarnation;
        self.gateways[gateway] = started;
        self.schedule_view_updates(&BTreeSet::from([gateway]), RETURN_DETECTION_DELAY);
        let timer = Event::Timer {
            gateway,
            incarnation,
        };
        self.schedule_after(1, timer);
    }

    fn schedule_fault_end(&mut self, index: usize) {
        let duration_ms = self.plan.faults[index].duration_ms().unwrap_or(0);
        self.schedule_after(duration_ms * MILLISECOND, Event::FaultEnds(index));
    }

    /// Starts the shutdown of a gateway, which hands off the statements that it owns.
    fn shut_down(&mut self, gateway: usize) {
        self.gateways[gateway].is_shutting_down = true;
        let now = self.now;
        let mut actions = Actions::default();
        let handed_off = match self.gateways[gateway].ownership.as_mut() {
            Some(ownership) => ownership.hand_off(now, &mut actions),
            None => Vec::new(),
        };
        for id in handed_off {
            self.gateways[gateway].local.remove(&id);
        }
        self.apply_actions(gateway, actions);
    }

    /// Lets the clients of a suspended gateway give up after a random time.
    fn schedule_give_ups(&mut self, gateway: usize) {
        for client in self.clients_at(gateway) {
            let delay = self.random_delay(600, 1800);
            let gives_up = Event::ClientGivesUp {
                statement: client.statement,
                token: client.token,
            };
            self.schedule_after(delay, gives_up);
        }
    }

    fn resume(&mut self, gateway: usize) {
        if !self.gateways[gateway].is_suspended {
            return;
        }
        self.trace(|| format!("gateway {gateway} resumes"));
        self.gateways[gateway].is_suspended = false;
        let held_events = std::mem::take(&mut self.gateways[gateway].held_events);
        for event in held_events {
            let delay = self.rng.random_range(0..MILLISECOND);
            self.schedule_after(delay, event);
        }
        self.schedule_view_updates(&BTreeSet::from([gateway]), RETURN_DETECTION_DELAY);
    }

    fn crash(&mut self, gateway: usize) {
        let crashed = &mut self.gateways[gateway];
        let counters = crashed.ownership.as_ref().map(Ownership::counters);
        self.counters.extend(counters);
        let dispatched: Vec<StatementId> = crashed
            .local
            .iter()
            .filter(|(_, local)| local.is_dispatched)
            .map(|(&id, _)| id)
            .collect();
        crashed.ownership = None;
        crashed.incarnation = 0;
        crashed.local.clear();
        crashed.is_suspended = false;
        crashed.held_events.clear();
        crashed.is_shutting_down = false;
        for id in dispatched {
            self.record_loss(id);
        }
        self.schedule_view_updates(&BTreeSet::from([gateway]), LOSS_DETECTION_DELAY);
        for client in self.clients_at(gateway) {
            self.retry_later(client.statement);
        }
    }

    fn record_loss(&mut self, id: StatementId) {
        let statement = &mut self.statements[self.by_id[&id]];
        let is_running = self
            .engines
            .iter()
            .any(|engine| engine.queries.contains_key(&id));
        if is_running && !statement.is_over {
            statement.starts_at_loss = Some(statement.starts);
            self.lost_at.insert(id, self.now);
        }
    }

    fn partitioned_links(&self, kind: FaultKind) -> Vec<(usize, usize)> {
        let zones = self.fleet.zones;
        let is_partitioned = |a: usize, b: usize| match kind {
            FaultKind::PartitionZone { zone, .. } => (a % zones == zone) != (b % zones == zone),
            FaultKind::PartitionGateway { gateway, .. } => (a == gateway) != (b == gateway),
            _ => false,
        };
        let all = 0..self.fleet.gateways;
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|&(a, b)| is_partitioned(a, b))
            .collect()
    }

    /// Drops the messages in transit between two gateways.
    fn drop_messages_between(&mut self, one: usize, other: usize) {
        self.events.retain(|_, event| match event {
            Event::Delivery { from, to, .. } => {
                (*from, *to) != (one, other) && (*from, *to) != (other, one)
            }
            _ => true,
        });
    }
}
