//! The actor of one engine. It spawns a task for each attempt and applies changes of the engine's
//! address.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use super::attempt::Attempt;
use super::engine_client::EngineClient;

/// A message to an engine's actor.
pub enum EngineMessage {
    /// Runs this attempt.
    Start(Box<Attempt>),
    /// The engine has a new address.
    Address(SocketAddr),
}

/// Runs until the mailbox closes because the engine is no longer listed. Attempts in flight keep
/// using its client until they end.
pub async fn run(
    client: Rc<EngineClient>,
    mailbox: Receiver<EngineMessage>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let messages = async {
        while let Ok(message) = mailbox.recv().await {
            match message {
                EngineMessage::Start(attempt) => {
                    executor.spawn(attempt.run(client.clone())).detach();
                }
                EngineMessage::Address(address) => client.set_address(address),
            }
        }
    };
    messages.or(client.close_expired()).await;
    client.close();
}
