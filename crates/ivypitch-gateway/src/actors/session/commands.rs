//! Commands of a logged-in client, and its statements until they are answered.

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

/// MySQL error code of a rejected statement, which did not run.
pub(super) const REJECTED_CODE: u16 = 1203;
/// MySQL error code of a statement whose fields are malformed.
const PARSE_ERROR_CODE: u16 = 1064;
/// MySQL error code of a `KILL QUERY` for an unknown connection.
const UNKNOWN_THREAD_CODE: u16 = 1094;

pub(super) const TOO_MANY_CONNECTIONS: ErrorPacket =
    ErrorPacket::new(1040, "08004", "Too many connections");
const UNKNOWN_COMMAND: ErrorPacket = ErrorPacket::new(1047, "08S01", "Unknown command");
const COMMAND_OUT_OF_ORDER: ErrorPacket = ErrorPacket::new(
    1156,
    "08S01",
    "One command at a time: the answer to the last had not been read",
);
const SHUTTING_DOWN: ErrorPacket = ErrorPacket::new(
    REJECTED_CODE,
    "42000",
    "Refused; the gateway is ending and the statement did not run",
);

/// Too many statements are open to look this one up at other gateways, where it may have run.
const TOO_MANY_OPEN_STATEMENTS: ErrorPacket = ErrorPacket::new(
    1105,
    "HY000",
    "Too many statements are open; this one may have run",
);

/// The packet with which a client quits. It is valid in any state of the session.
const QUIT_PACKET: &[u8] = b"\x01\0\0\0\x01";

/// Why a statement cannot be accepted, as the client is told.
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
            code: PARSE_ERROR_CODE,
            sql_state: "42000",
            message: error.to_string().into(),
        }
    }
}

impl Session {
    /// Executes one command and writes its answer.
    pub(super) async fn on_command(
        &mut self,
        payload: Bytes,
        received_at: Nanos,
    ) -> Result<(), SessionEnd> {
        match mysql::parse_command(payload)? {
            Command::Quit => return Err(SessionEnd::Disconnected),
            Command::Query(_) if !self.input.is_empty() => {
                return Err(SessionEnd::Error(COMMAND_OUT_OF_ORDER));
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
            return self.on_query_during_shutdown(&text, received_at).await;
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

    /// Handles a statement that is read during shutdown. It never reaches an engine from here; with
    /// ownership among gateways it is looked up, since another gateway may have run it.
    async fn on_query_during_shutdown(
        &mut self,
        text: &Bytes,
        received_at: Nanos,
    ) -> Result<(), SessionEnd> {
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

    /// Passes a statement to the scheduler, waits for the answer and writes it.
    async fn run_statement(
        &mut self,
        statement: ClientStatement,
        arrived_at: Nanos,
        start: StartPermission,
    ) -> Result<(), SessionEnd> {
        let sessions = self.sessions.clone();
        let Some(_open) = sessions.open_statement() else {
            let error = if sessions.has_ownership() {
                TOO_MANY_OPEN_STATEMENTS
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
                self.presence.has_disconnected.set(true);
                sessions.notify_scheduler(SchedulerMessage::ClientDisconnected { connection });
                return Err(end);
            }
        };
        self.state.set_stage(SessionStage::Answered, Instant::now());
        self.write_answer(answer).await
    }

    /// Waits for the answer. Fails if the client disconnects or sends more first: a client must not
    /// send a command before it has the answer to the last.
    async fn wait_for_answer(&mut self, answer: Receiver<Answer>) -> Result<Answer, SessionEnd> {
        let answered = async { answer.recv().await.map_err(|_| SessionEnd::Disconnected) };
        let client_acted = async {
            let bytes = read_some(&self.stream, &mut self.input).await?;
            if bytes == 0 || self.input[..] == *QUIT_PACKET {
                return Err(SessionEnd::Disconnected);
            }
            Err(SessionEnd::Error(COMMAND_OUT_OF_ORDER))
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
        code: UNKNOWN_THREAD_CODE,
        sql_state: "HY000",
        message: format!("Unknown thread id: {connection}").into(),
    }
}

/// Parses a statement's fields and looks up its workload and tenant. A statement without a tenant
/// belongs to the first one in the settings.
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
    names.iter().position(|known| known.as_bytes() == &name[..])
}
