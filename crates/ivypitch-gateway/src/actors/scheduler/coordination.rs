//! What gateways share among each other: quotas, the health of engines, and the view that `SHOW FLEET` answers.

use ivypitch_coordination::CoordinationView;

use super::SchedulerActor;
use crate::actors::coordination::{Action, CoordinationDriver};
use crate::actors::messages::WatchEventLine;
use crate::actors::peer_links::PeerEvent;
use crate::state::traffic::Traffic;

/// The JSON that `SHOW FLEET` answers.
#[derive(serde::Serialize)]
struct FleetView<'a> {
    #[serde(flatten)]
    view: CoordinationView,
    traffic: &'a Traffic,
}

impl SchedulerActor {
    /// Another gateway sent a message, or its membership has changed.
    pub(super) fn on_peer_event(&mut self, event: PeerEvent) {
        let context = &mut self.context;
        let now = context.now;
        if let Some(ownership) = &mut context.ownership {
            ownership.on_peer_event(now, &event);
        }
        let Some(coordination) = &mut context.coordination else {
            return;
        };
        match event {
            PeerEvent::MemberUp(process) => coordination.on_member_up(now, process),
            PeerEvent::MemberDown(process) => coordination.on_member_down(now, process),
            PeerEvent::Coordination {
                from,
                message,
                guard: _guard,
            } => coordination.on_message(now, from, *message),
            PeerEvent::Gossip {
                gossip,
                guard: _guard,
            } => coordination.on_gossip(now, *gossip),
            PeerEvent::Ownership { .. }
            | PeerEvent::MemberSuspected(_)
            | PeerEvent::SuspicionCleared(_) => {}
        }
    }

    /// The watch on the endpoint list delivered a line.
    pub(super) fn on_watch_line_read(&mut self, event: Option<WatchEventLine>) {
        let context = &mut self.context;
        if let Some(coordination) = &mut context.coordination {
            coordination.on_watch_line_read(context.now, event);
        }
    }

    /// Calls coordination if it is time, with the cores that the teams' statements would use now.
    pub(super) fn on_coordination_timer(&mut self) {
        let context = &mut self.context;
        let Some(coordination) = &mut context.coordination else {
            return;
        };
        if let Some(queueing) = &self.queueing {
            coordination.set_core_demand(
                context.now,
                queueing.cores_wanted(),
                context.engines.total_cores(),
            );
        }
        coordination.on_timer(context.now);
    }

    /// Does what coordination asks for, until nothing is left.
    pub(super) fn apply_coordination_actions(&mut self) {
        let context = &mut self.context;
        while let Some(action) = context
            .coordination
            .as_mut()
            .and_then(CoordinationDriver::next_action)
        {
            match action {
                Action::SetCoreQuota { fraction } => {
                    context.quotas.cores_fraction = fraction;
                    if let Some(queueing) = &mut self.queueing {
                        let cores = context.engines.total_cores() * fraction;
                        queueing.set_capacity(context.now, cores);
                    }
                }
                Action::SetTenantQuota { tenant, fraction } => self
                    .scheduler
                    .borrow_mut()
                    .set_quota_share(tenant, fraction),
                Action::SetOutlierStatus {
                    engine_hash,
                    status,
                } => {
                    if let Some(engine) = context.engines.find_by_hash(engine_hash) {
                        self.scheduler
                            .borrow_mut()
                            .on_outlier_status(engine, status, context);
                    }
                }
            }
        }
    }

    /// The view that `SHOW FLEET` answers; empty without coordination.
    pub(super) fn fleet_view(&self) -> String {
        let Some(coordination) = &self.context.coordination else {
            return String::new();
        };
        let view = FleetView {
            view: coordination.view(self.context.now),
            traffic: &self.traffic,
        };
        serde_json::to_string(&view).unwrap_or_default()
    }
}
