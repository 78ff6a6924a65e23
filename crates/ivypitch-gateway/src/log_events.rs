//! Names of log events that other programs and tests match. A test that expects no such line would
//! also pass if the event were renamed, so both sides use these constants.

/// Another gateway no longer answers, or has left.
pub const MEMBER_LOST: &str = "member is lost";
/// A connection could not be accepted.
pub const ACCEPT_FAILED: &str = "accept failed";
