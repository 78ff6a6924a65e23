//! Names of log events that other programs and tests search for. A test that checks for the absence
//! of an event would still pass if the event were renamed, so both sides use these constants.

/// Another gateway has failed or has left the fleet.
pub const MEMBER_LOST: &str = "member is lost";
/// A connection could not be accepted.
pub const ACCEPT_FAILED: &str = "accept failed";
