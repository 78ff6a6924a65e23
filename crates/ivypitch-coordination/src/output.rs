//! Interface through which the coordinator requests actions from its driver.

use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::MemberId;

use crate::config::QuotaIndex;
use crate::message::{CoordinationMessage, GossipMessage};
use crate::observations::EngineNumber;

/// Actions that the coordinator requests from its driver.
pub trait CoordinationOutput {
    /// Sends a message over the link to this member, if there is a link.
    fn send(&mut self, to: MemberId, message: CoordinationMessage);
    /// Sends a gossip datagram to this member.
    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage);
    /// Sets this member's quota share: the fraction of the quota that it may use from now on, 0 to
    /// 1.
    fn on_quota_share_changed(&mut self, quota: QuotaIndex, share: f64);
    /// Applies the changed outlier status of an engine.
    fn on_outlier_status(&mut self, engine: EngineNumber, status: OutlierStatus);
    /// Applies the next event of the endpoint list, which another member relayed.
    fn on_endpoint_event(&mut self, number: u64, line: &[u8]);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
