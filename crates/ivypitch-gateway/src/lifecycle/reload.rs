//! Reload on SIGHUP: reads the configuration's discovery address and the operators' team budgets.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use ivypitch_config::DeploymentConfig;
use ivypitch_config::operator::OperatorConfig;
use ivypitch_queueing::Budgets;

use super::configuration::{self, ConfigurationError};
use super::gateway::Gateway;
use super::operator_config::{OperatorConfigError, OperatorConfigFile};
use crate::actors::discovery::DiscoveryMessage;
use crate::actors::messages::SchedulerMessage;
use crate::actors::session::Sessions;

/// The operators' settings file, and the context for computing team budgets from it.
#[derive(Clone)]
pub(super) struct TeamBudgets {
    pub(super) file: OperatorConfigFile,
    pub(super) deployment: Rc<DeploymentConfig>,
    /// Maximum statements open at once.
    pub(super) clients: usize,
    /// Whether team queues are on, which only a restart changes.
    pub(super) has_queues: bool,
}

impl TeamBudgets {
    /// Computes the budgets of the operators' settings; `None` if teams are missing or disabled.
    pub(super) fn budgets(
        &self,
        config: &OperatorConfig,
    ) -> Result<Option<Budgets>, OperatorConfigError> {
        let Some(teams) = config.teams.as_ref().filter(|teams| teams.enabled) else {
            return Ok(None);
        };
        teams
            .budgets(&self.deployment, self.clients)
            .map(Some)
            .map_err(|errors| self.file.settings_error(errors))
    }

    async fn reload(self, scheduler: Sender<SchedulerMessage>, sessions: Rc<Sessions>) {
        match self.load().await {
            Ok((Some(budgets), config)) if self.has_queues => {
                log::info!(
                    teams = budgets.teams.len();
                    "team budgets reloaded"
                );
                sessions.set_can_show_queue(config.teams.is_some_and(|teams| teams.show));
                let _ = scheduler.try_send(SchedulerMessage::ReloadBudgets {
                    budgets: Box::new(budgets),
                });
            }
            Ok((budgets, _)) if budgets.is_some() != self.has_queues => {
                log::warn!("team queues are turned on and off by a restart only");
            }
            Ok(_) => {}
            Err(error) => log::error!(error:% = error; "operator settings not reloaded"),
        }
    }

    async fn load(&self) -> Result<(Option<Budgets>, OperatorConfig), OperatorConfigError> {
        let config = self.file.load_async().await?;
        Ok((self.budgets(&config)?, config))
    }
}

/// Why the address of the discovery service stays unchanged.
#[derive(Debug, thiserror::Error)]
enum DiscoveryReloadError {
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error("the configuration has no `journal` address")]
    NoDiscoveryAddress,
}

impl Gateway {
    /// Reads the configuration again and switches to a changed address of the discovery service.
    /// The operators' settings file is read in the background; new budgets take effect once it is
    /// read.
    pub(super) fn reload(&mut self) {
        if let Some(team_budgets) = self.team_budgets.clone() {
            let task = team_budgets.reload(self.scheduler.clone(), self.sessions.clone());
            // Only one child process at a time: a later signal cancels an earlier reload.
            self.reload = Some(self.executor.spawn(task));
        }
        match self.read_discovery_address() {
            Ok(address) => {
                log::info!(
                    phase:% = self.phase, address:% = address;
                    "configuration reloaded"
                );
                if self.discovery_address != Some(address) {
                    self.discovery_address = Some(address);
                    let _ = self
                        .discovery
                        .try_send(DiscoveryMessage::SetAddress(address));
                }
            }
            Err(error) => {
                log::error!(
                    phase:% = self.phase, error:% = error;
                    "configuration not reloaded"
                );
            }
        }
    }

    fn read_discovery_address(&self) -> Result<SocketAddr, DiscoveryReloadError> {
        configuration::from_file(&self.configuration_path)?
            .discovery
            .ok_or(DiscoveryReloadError::NoDiscoveryAddress)
    }
}
