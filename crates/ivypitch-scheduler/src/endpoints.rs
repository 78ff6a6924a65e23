//! The endpoint list: which engines there are.

use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::events::{EngineEndpoint, EngineState};
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::subset::EngineRank;
use ivypitch_types::EngineIndex;

impl Scheduler {
    /// Drops the engines that a complete list does not name.
    pub(crate) fn unlist_missing(&mut self, endpoints: &[EngineEndpoint]) {
        let mut is_named = vec![false; self.engines.len()];
        for endpoint in endpoints {
            if let Some(named) = is_named.get_mut(endpoint.engine.0) {
                *named = true;
            }
        }
        for (index, is_named) in is_named.into_iter().enumerate() {
            if !is_named {
                self.set_listed(EngineIndex(index), false);
            }
        }
    }

    pub(crate) fn update_endpoint(&mut self, endpoint: &EngineEndpoint, out: &mut dyn Output) {
        let index = endpoint.engine;
        if self.engines.len() <= index.0 {
            self.engines.resize_with(index.0 + 1, Engine::default);
        }
        let former = self.engines[index.0].endpoint;
        if former.id != endpoint.id || former.engine != index {
            self.set_listed(index, false);
            let Deployment {
                member_index,
                gateways,
                ..
            } = self.deployment;
            let rank = EngineRank::new(endpoint, member_index, gateways);
            self.engines[index.0] = Engine::new(*endpoint, rank);
        }
        let engine = &mut self.engines[index.0];
        engine.on_endpoint_changed(endpoint, out);
        if engine.has_same_eligibility(endpoint) {
            engine.endpoint = *endpoint;
            return;
        }
        self.set_listed(index, false);
        self.engines[index.0].endpoint = *endpoint;
        self.set_listed(index, endpoint.state != EngineState::Gone);
    }
}
