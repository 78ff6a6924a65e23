//! The actor of one engine: it starts attempts as tasks of their own and follows the engine's address.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use super::attempt::Attempt;
use super::engine_client::EngineClient;

/// To an engine's actor.
pub enum EngineMessage {
    /// Run this attempt.
    Start(Box<Attempt>),
    /// The engine is at another address from now on.
    Address(SocketAddr),
}

/// Runs until the mailbox closes as the engine is no longer listed; attempts in flight use its client until their end.
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
