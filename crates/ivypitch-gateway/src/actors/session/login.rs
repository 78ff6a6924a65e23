//! The greeting and the login of a client.

use std::time::Instant;

use super::{Session, SessionEnd};
use crate::state::sessions::SessionStage;
use crate::wire::mysql::{self, ErrorPacket};

/// The only user; its password is empty.
const USER: &[u8] = b"app";
/// The only database.
pub(super) const DATABASE: &[u8] = b"dw";
/// Length of the greeting's random data in the MySQL protocol.
const SCRAMBLE_BYTES: usize = 20;

const BAD_HANDSHAKE: ErrorPacket = ErrorPacket::new(1043, "08S01", "Bad handshake");
const ACCESS_DENIED: ErrorPacket = ErrorPacket::new(
    1045,
    "28000",
    "Access denied: user app with an empty password is expected",
);
pub(super) const UNKNOWN_DATABASE: ErrorPacket =
    ErrorPacket::new(1049, "42000", "Unknown database: dw is expected");

impl Session {
    /// Sends the greeting and checks the client's login.
    pub(super) async fn log_in(&mut self) -> Result<(), SessionEnd> {
        let connection = self.connection;
        let scramble = scramble(self.sessions.seed(), connection);
        self.writer().greeting(connection, &scramble);
        self.flush().await?;
        let packet = self.next_packet().await?;
        check_login(&packet.payload).map_err(SessionEnd::Error)?;
        self.writer().ok();
        self.flush().await?;
        self.state.set_stage(SessionStage::LoggedIn, Instant::now());
        Ok(())
    }
}

fn check_login(payload: &[u8]) -> Result<(), ErrorPacket> {
    let login = mysql::parse_login(payload).map_err(|_| BAD_HANDSHAKE)?;
    if login.user != USER || login.has_password {
        return Err(ACCESS_DENIED);
    }
    match login.database {
        Some(name) if name != DATABASE => Err(UNKNOWN_DATABASE),
        _ => Ok(()),
    }
}

/// Generates the greeting's random bytes, none of them zero. They need not be unpredictable, since
/// the password is empty.
fn scramble(seed: u64, connection: u32) -> [u8; SCRAMBLE_BYTES] {
    let mut state = seed ^ u64::from(connection).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    [0; SCRAMBLE_BYTES].map(|_: u8| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        33 + (state >> 32) as u8 % 94
    })
}
