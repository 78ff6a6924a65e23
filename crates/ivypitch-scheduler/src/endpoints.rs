//! Updates of the endpoint list.

use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::events::{EngineEndpoint, EngineState};
use crate::output::Output;
use crate::scheduler::Scheduler;
use crate::subset::EngineRank;
use ivypitch_types::EngineIndex;

impl Scheduler {
    /// Removes the engines that a complete endpoint list does not contain.
    pub(crate) fn unlist_missing_engines(&mut self, endpoints: &[EngineEndpoint]) {
        let mut is_listed = vec![false; self.engines.len()];
        for endpoint in endpoints {
            if let Some(is_listed) = is_listed.get_mut(endpoint.engine.0) {
                *is_listed = true;
            }
        }
        for (index, is_listed) in is_listed.into_iter().enumerate() {
            if !is_listed {
                self.set_listed(EngineIndex(index), false);
            }
        }
    }

    pub(crate) fn update_endpoint(&mut self, endpoint: &EngineEndpoint, output: &mut dyn Output) {
        let index = endpoint.engine;
        if self.engines.len() <= index.0 {
            self.engines.resize_with(index.0 + 1, Engine::default);
        }
        let previous = self.engines[index.0].endpoint;
        if previous.id != endpoint.id || previous.engine != index {
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
        engine.on_endpoint_changed(endpoint, output);
        if engine.has_same_eligibility(endpoint) {
            engine.endpoint = *endpoint;
            return;
        }
        self.set_listed(index, false);
        self.engines[index.0].endpoint = *endpoint;
        self.set_listed(index, endpoint.state != EngineState::Gone);
    }
}
