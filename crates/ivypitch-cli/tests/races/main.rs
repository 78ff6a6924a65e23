//! Races of two events over real connections, always in the unfavourable order: a test server
//! holds back the connection, the byte or the answer, or the gateway process is stopped while both
//! events happen, so that it observes them together. `docs/races.md` lists the races.

mod client_disconnects;
mod common;
mod discovery_watch;
mod engine_responses;
mod send_checks;
mod session_limits;
mod shutdown;
