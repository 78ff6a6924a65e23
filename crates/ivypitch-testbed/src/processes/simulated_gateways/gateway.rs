//! One simulated gateway; it takes the place of the scheduler's actor.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ivypitch_gateway::actors::coordination::CoordinationDriver;
use ivypitch_gateway::actors::messages::{Answer, SchedulerMessage, WatchEventLine};
use ivypitch_gateway::actors::ownership::{Action, OwnershipDriver};
use ivypitch_gateway::actors::peer_links::PeerEvent;
use ivypitch_gateway::lifecycle::clock::Clock;
use ivypitch_gateway::state::engines::engine_id_hash;
use ivypitch_gateway::wire::discovery::{Endpoint, EndpointUpdate};
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId};
use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::links::{Inbox, LinkMessage, SharedState};
use crate::processes::engine::timestamp_us;
use ivypitch_gateway::wire::peer_frames::Frame;

/// Endpoint states of the discovery service.
const TERMINATED: &str = "terminated";
const IN_SERVICE: &str = "in_service";

pub(super) struct SimulatedGateway {
    member: MemberId,
    clock: Clock,
    ownership: Option<OwnershipDriver>,
    coordination: Option<CoordinationDriver>,
    /// Reachable processes of other members.
    reachable: BTreeMap<MemberId, Incarnation>,
    /// Other members that have been reachable at any time.
    ever_reachable: BTreeSet<MemberId>,
    /// Engines of the endpoint list and whether they are ready.
    engines: BTreeMap<u64, bool>,
    shared: Arc<SharedState>,
}

enum Input {
    Event(SchedulerMessage),
    Message(LinkMessage),
    Timer,
}

impl SimulatedGateway {
    pub(super) fn new(
        member: MemberId,
        clock: Clock,
        ownership: Option<OwnershipDriver>,
        coordination: Option<CoordinationDriver>,
        shared: Arc<SharedState>,
    ) -> SimulatedGateway {
        SimulatedGateway {
            member,
            clock,
            ownership,
            coordination,
            reachable: BTreeMap::new(),
            ever_reachable: BTreeSet::new(),
            engines: BTreeMap::new(),
            shared,
        }
    }

    pub(super) async fn run(mut self, events: Receiver<SchedulerMessage>, inbox: Inbox) {
        while let Some(input) = self.next_input(&events, &inbox).await {
            let now = self.clock.now();
            match input {
                Input::Event(event) => self.on_event(now, event),
                Input::Message(message) => self.on_link_message(now, message),
                Input::Timer => {}
            }
            if let Some(ownership) = &mut self.ownership {
                ownership.on_timer(now);
            }
            if let Some(coordination) = &mut self.coordination {
                coordination.on_timer(now);
            }
            self.apply_actions(now);
        }
    }

    /// Waits for the next input; `None`: the process ends.
    async fn next_input(
        &self,
        events: &Receiver<SchedulerMessage>,
        inbox: &Inbox,
    ) -> Option<Input> {
        let fires_at = self.next_timer();
        let timer = async {
            if fires_at == Nanos::MAX {
                return std::future::pending().await;
            }
            Timer::at(self.clock.instant(fires_at)).await;
            Some(Input::Timer)
        };
        let event = async { events.recv().await.ok().map(Input::Event) };
        let message = async { inbox.recv().await.ok().map(Input::Message) };
        event.or(message).or(timer).await
    }

    fn next_timer(&self) -> Nanos {
        let ownership = self
            .ownership
            .as_ref()
            .map_or(Nanos::MAX, OwnershipDriver::next_timer);
        let coordination = self
            .coordination
            .as_ref()
            .map_or(Nanos::MAX, CoordinationDriver::next_timer);
        ownership.min(coordination)
    }

    fn on_link_message(&mut self, now: Nanos, message: LinkMessage) {
        let from = message.from;
        match message.frame {
            Frame::Ownership(message) => {
                if let Some(ownership) = &mut self.ownership {
                    ownership.on_message(now, from, message);
                }
            }
            Frame::Coordination(message) => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.on_message(now, from, message);
                }
            }
            Frame::Hello { .. } | Frame::Heartbeat => {}
        }
    }

    fn on_event(&mut self, now: Nanos, event: SchedulerMessage) {
        match event {
            SchedulerMessage::PeerEvent(event) => self.on_peer_event(now, event),
            SchedulerMessage::WatchLineRead { event } => self.on_watch_line_read(now, event),
            SchedulerMessage::EndpointsUpdated { update } => self.on_endpoints_updated(update),
            // The other messages concern clients and attempts, which do not exist here.
            _ => {}
        }
    }

    fn on_watch_line_read(&mut self, now: Nanos, event: Option<WatchEventLine>) {
        if let Some(event) = &event {
            let position = event.position;
            self.shared
                .count(self.member, |counts| counts.last_event = position);
            if self.shared.prints_events {
                println!("{} event {} {position}", timestamp_us(), self.member.0);
            }
        }
        if let Some(coordination) = &mut self.coordination {
            coordination.on_watch_line_read(now, event);
        }
    }

    fn on_peer_event(&mut self, now: Nanos, event: PeerEvent) {
        if let Some(ownership) = &mut self.ownership {
            ownership.on_peer_event(now, &event);
        }
        match &event {
            PeerEvent::MemberUp(process) => self.on_member_up(*process),
            PeerEvent::MemberDown(process) => self.on_member_down(*process),
            _ => {}
        }
        let reachable = self.reachable.len();
        self.shared
            .count(self.member, |counts| counts.reachable = reachable);
        let Some(coordination) = &mut self.coordination else {
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

    fn on_member_up(&mut self, process: ProcessId) {
        self.reachable.insert(process.member, process.incarnation);
        let is_new = self.ever_reachable.insert(process.member);
        if is_new && self.ever_reachable.len() + 1 == self.shared.members {
            println!("{} joined {}", timestamp_us(), self.member.0);
        }
    }

    fn on_member_down(&mut self, process: ProcessId) {
        if self.reachable.get(&process.member) == Some(&process.incarnation) {
            self.reachable.remove(&process.member);
        }
    }

    fn on_endpoints_updated(&mut self, update: EndpointUpdate) {
        if update.is_full {
            self.engines.clear();
        }
        for endpoint in &update.endpoints {
            self.on_endpoint(endpoint);
        }
        let ready: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, is_ready)| **is_ready)
            .map(|(&engine, _)| engine)
            .collect();
        if let Some(coordination) = &mut self.coordination {
            coordination.on_endpoints_updated(&ready);
        }
    }

    fn on_endpoint(&mut self, endpoint: &Endpoint) {
        let engine = engine_id_hash(&endpoint.id);
        if endpoint.state == TERMINATED {
            self.engines.remove(&engine);
        } else {
            self.engines.insert(engine, endpoint.state == IN_SERVICE);
        }
    }

    /// Quotas and ejections have no effect without statements; statements taken over are answered as aborted.
    fn apply_actions(&mut self, now: Nanos) {
        if let Some(coordination) = &mut self.coordination {
            while coordination.next_action().is_some() {}
        }
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        while let Some(action) = ownership.next_action() {
            if let Action::TakeOver(takeover) = action {
                self.shared
                    .count(self.member, |counts| counts.takeovers += 1);
                let _ = ownership.on_answered(now, takeover.id, &Answer::Aborted);
            }
        }
    }
}
