//! Names of log events that other programs and tests look for. A test that such a line is absent passes whatever the line is
//! called, so that both sides take the name from here.

/// Another gateway does not answer any more, or has left.
pub const MEMBER_LOST: &str = "member is lost";
/// A connection could not be accepted.
pub const ACCEPT_FAILED: &str = "accept failed";
