//! Coordination among gateways: shared quotas, the health of engines, and the view that `SHOW
//! FLEET` returns.

use ivypitch_coordination::CoordinationView;

use super::SchedulerActor;
use crate::actors::coordination::{Action, CoordinationDriver};
use crate::actors::messages::WatchEventLine;
use crate::actors::peer_links::PeerEvent;
use crate::state::traffic::Traffic;

/// The JSON that `SHOW FLEET` returns.
#[derive(serde::Serialize)]
struct FleetView<'a> {
    #[serde(flatten)]
    view: CoordinationView,
    traffic: &'a Traffic,
}

impl SchedulerActor {
    /// A message from another gateway arrived, or the membership changed.
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

    /// The endpoint watch delivered a line.
    pub(super) fn on_watch_line_read(&mut self, event: Option<WatchEventLine>) {
        let context = &mut self.context;
        if let Some(coordination) = &mut context.coordination {
            coordination.on_watch_line_read(context.now, event);
        }
    }

    /// Updates the demand for cores and handles coordination's timer.
    pub(super) fn on_coordination_timer(&mut self) {
        let context = &mut self.context;
        let Some(coordination) = &mut context.coordination else {
            return;
        };
        if let Some(queueing) = &self.queueing {
            coordination.set_core_demand(
                context.now,
                queueing.core_demand(),
                context.engines.total_cores(),
            );
        }
        coordination.on_timer(context.now);
    }

    /// Applies the actions of coordination until none is left.
    pub(super) fn apply_coordination_actions(&mut self) {
        let context = &mut self.context;
        while let Some(action) = context
            .coordination
            .as_mut()
            .and_then(CoordinationDriver::next_action)
        {
            match action {
                Action::SetCoreQuotaShare { share } => {
                    context.quotas.cores_share = share;
                    if let Some(queueing) = &mut self.queueing {
                        let cores = context.engines.total_cores() * share;
                        queueing.set_capacity(context.now, cores);
                    }
                }
                Action::SetTenantQuotaShare { tenant, share } => {
                    self.scheduler.borrow_mut().set_quota_share(tenant, share)
                }
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

    /// Returns the view for `SHOW FLEET`; empty without coordination.
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
