//! Commands of a client that is logged in, and its statements up to their answers.

use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::FutureExt;
use ivypitch_config::Names;
use ivypitch_types::Nanos;

use super::admission::UnknownConnection;
use super::login::{DATABASE, UNKNOWN_DATABASE};
use super::{Session, SessionEnd};
use crate::actors::messages::{
    Answer, ClientHandle, ClientStatement, SchedulerMessage, StartPermission,
};
use crate::actors::socket::read_some;
use crate::state::sessions::SessionStage;
use crate::wire::fields::{self, FieldsError};
use crate::wire::gateway_statements::{self, ShowWaits};
use crate::wire::mysql::{self, Command, ErrorPacket};

/// The code of a statement that did not run.
pub(super) const REJECTED: u16 = 1203;
const PARSE_ERROR: u16 = 1064;
/// The code of a `KILL QUERY` for a connection that is not there.
const UNKNOWN_THREAD: u16 = 1094;

pub(super) const TOO_MANY_CONNECTIONS: ErrorPacket =
    ErrorPacket::new(1040, "08004", "Too many connections");
const UNKNOWN_COMMAND: ErrorPacket = ErrorPacket::new(1047, "08S01", "Unknown command");
const OUT_OF_ORDER: ErrorPacket = ErrorPacket::new(
    1156,
    "08S01",
    "One command at a time: the answer to the last had not been read",
);
const SHUTTING_DOWN: ErrorPacket = ErrorPacket::new(
    REJECTED,
    "42000",
    "Refused; the gateway is ending and the statement did not run",
);

/// Where gateways talk to each other, a statement may have run at another one; this one has no room to ask.
const NOT_LOOKED_UP: ErrorPacket = ErrorPacket::new(
    1105,
    "HY000",
    "Too many statements are open; this one may have run",
);

/// A packet with which clients leave, whatever the state of their session.
const QUIT_PACKET: &[u8] = b"\x01\0\0\0\x01";

/// Why a statement can't be taken, in words for the client.
#[derive(Debug, thiserror::Error)]
enum StatementError {
    #[error(transparent)]
    Fields(#[from] FieldsError),
    #[error("kind is none of the deployment's")]
    UnknownWorkload,
    #[error("owner is none of the deployment's")]
    UnknownTenant,
}

impl From<StatementError> for ErrorPacket {
    fn from(error: StatementError) -> Self {
        ErrorPacket {
            code: PARSE_ERROR,
            sql_state: "42000",
            message: error.to_string().into(),
        }
    }
}

impl Session {
    /// Carries out one command and writes its answer.
    pub(super) async fn on_command(
        &mut self,
        payload: Bytes,
        received_at: Nanos,
    ) -> Result<(), SessionEnd> {
        match mysql::parse_command(payload)? {
            Command::Quit => return Err(SessionEnd::Disconnected),
            Command::Query(_) if !self.input.is_empty() => {
                return Err(SessionEnd::Error(OUT_OF_ORDER));
            }
            Command::Query(text) => self.on_query(text, received_at).await?,
            Command::Ping | Command::ResetConnection => self.writer().ok(),
            Command::UseDatabase(name) if name[..] == *DATABASE => self.writer().ok(),
            Command::UseDatabase(_) => self.writer().error(&UNKNOWN_DATABASE),
            Command::Unknown(_) => self.writer().error(&UNKNOWN_COMMAND),
        }
        Ok(())
    }

    async fn on_query(&mut self, text: Bytes, received_at: Nanos) -> Result<(), SessionEnd> {
        if let Some(connection) = gateway_statements::parse_kill_query(&text) {
            match self.sessions.kill_query(connection) {
                Ok(()) => self.writer().ok(),
                Err(UnknownConnection) => self.writer().error(&unknown_connection(connection)),
            }
            return Ok(());
        }
        if self.sessions.is_ending() {
            return self.on_late_query(&text, received_at).await;
        }
        if self.sessions.can_show_queue()
            && let Some(show) = gateway_statements::parse_show_waits(&text)
        {
            return self.show_queue(show).await;
        }
        if self.sessions.can_show_fleet() && gateway_statements::is_show_fleet(&text) {
            return self.show_fleet().await;
        }
        self.on_statement(&text, received_at, StartPermission::Granted)
            .await
    }

    /// What is read once the gateway shuts down never reaches an engine from here. Where gateways talk to each other,
    /// another one may have run it.
    async fn on_late_query(&mut self, text: &Bytes, received_at: Nanos) -> Result<(), SessionEnd> {
        if self.sessions.has_ownership() {
            return self
                .on_statement(text, received_at, StartPermission::ShuttingDown)
                .await;
        }
        self.writer().error(&SHUTTING_DOWN);
        Ok(())
    }

    async fn on_statement(
        &mut self,
        text: &Bytes,
        received_at: Nanos,
        start: StartPermission,
    ) -> Result<(), SessionEnd> {
        match client_statement(text, self.sessions.names()) {
            Ok(statement) => self.run_statement(statement, received_at, start).await,
            Err(error) => {
                self.writer().error(&error.into());
                Ok(())
            }
        }
    }

    /// Has the scheduler run a statement, and writes its answer.
    async fn run_statement(
        &mut self,
        statement: ClientStatement,
        arrived_at: Nanos,
        start: StartPermission,
    ) -> Result<(), SessionEnd> {
        let sessions = self.sessions.clone();
        let Some(_open) = sessions.open_statement() else {
            let error = if sessions.has_ownership() {
                NOT_LOOKED_UP
            } else {
                TOO_MANY_CONNECTIONS
            };
            self.writer().error(&error);
            return Ok(());
        };
        let connection = self.connection;
        let (sender, answer) = async_channel::bounded(1);
        sessions.notify_scheduler(SchedulerMessage::StatementArrived {
            connection,
            statement,
            arrived_at,
            start,
            client: ClientHandle {
                answer: sender,
                presence: Some(self.presence.clone()),
            },
        });
        if self.state.is_kill_pending.take() {
            sessions.notify_scheduler(SchedulerMessage::KillQuery { connection });
        }
        let answer = match self.wait_for_answer(answer).await {
            Ok(answer) => answer,
            Err(end) => {
                self.presence.has_left.set(true);
                sessions.notify_scheduler(SchedulerMessage::ClientDisconnected { connection });
                return Err(end);
            }
        };
        self.state.set_stage(SessionStage::Answered, Instant::now());
        self.write_answer(answer).await
    }

    /// The answer, unless the client goes first or sends more, which it must not before it has the answer.
    async fn wait_for_answer(&mut self, answer: Receiver<Answer>) -> Result<Answer, SessionEnd> {
        let answered = async { answer.recv().await.map_err(|_| SessionEnd::Disconnected) };
        let client_acted = async {
            let bytes = read_some(&self.stream, &mut self.input).await?;
            if bytes == 0 || self.input[..] == *QUIT_PACKET {
                return Err(SessionEnd::Disconnected);
            }
            Err(SessionEnd::Error(OUT_OF_ORDER))
        };
        answered.or(client_acted).await
    }

    async fn show_fleet(&mut self) -> Result<(), SessionEnd> {
        let (reply, view) = async_channel::bounded(1);
        self.sessions
            .notify_scheduler(SchedulerMessage::ShowFleet { reply });
        let view = view.recv().await.map_err(|_| SessionEnd::Disconnected)?;
        self.write_fleet_view(&view);
        Ok(())
    }

    async fn show_queue(&mut self, show: ShowWaits) -> Result<(), SessionEnd> {
        let statement_id = match show {
            ShowWaits::All => None,
            ShowWaits::One(id) => Some(id),
        };
        let (reply, rows) = async_channel::bounded(1);
        self.sessions.notify_scheduler(SchedulerMessage::ShowQueue {
            statement_id,
            reply,
        });
        let rows = rows.recv().await.map_err(|_| SessionEnd::Disconnected)?;
        self.write_queue(&rows);
        Ok(())
    }
}

fn unknown_connection(connection: u32) -> ErrorPacket {
    ErrorPacket {
        code: UNKNOWN_THREAD,
        sql_state: "HY000",
        message: format!("Unknown thread id: {connection}").into(),
    }
}

/// Parses a statement's fields and looks its workload and tenant up; without a tenant it is the first one's.
fn client_statement(text: &Bytes, names: &Names) -> Result<ClientStatement, StatementError> {
    let fields = fields::parse(text)?;
    let workload =
        index_of(&names.workloads, &fields.workload).ok_or(StatementError::UnknownWorkload)?;
    let tenant = match &fields.tenant {
        Some(name) => index_of(&names.tenants, name).ok_or(StatementError::UnknownTenant)?,
        None => 0,
    };
    Ok(ClientStatement {
        fields,
        workload,
        tenant,
    })
}

fn index_of(names: &[String], name: &Bytes) -> Option<usize> {
    names.iter().position(|n| n.as_bytes() == &name[..])
}
