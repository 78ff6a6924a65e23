//! What the coordinator asks of its driver.

use ivypitch_scheduler::OutlierStatus;
use ivypitch_types::MemberId;

use crate::config::QuotaIndex;
use crate::message::{CoordinationMessage, GossipMessage};
use crate::observations::EngineNumber;

/// What the coordinator asks of its driver.
pub trait CoordinationOutput {
    /// Sends a message over the link to this member, if there is one.
    fn send(&mut self, to: MemberId, message: CoordinationMessage);
    /// Sends a gossip datagram to this member.
    fn send_gossip(&mut self, to: MemberId, gossip: GossipMessage);
    /// From now on this member may use the fraction `share` of the quota, 0 to 1.
    fn on_quota_share_changed(&mut self, quota: QuotaIndex, share: f64);
    /// What the fleet thinks of an engine has changed.
    fn on_outlier_status(&mut self, engine: EngineNumber, status: OutlierStatus);
    /// Another member relayed the next event of the endpoint list.
    fn on_endpoint_event(&mut self, number: u64, line: &[u8]);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
