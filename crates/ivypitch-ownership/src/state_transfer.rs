//! State transfer: every other member sends its vote log to a member that restarted and lost its
//! votes.

use std::collections::BTreeMap;

use ivypitch_types::{Incarnation, MILLISECOND, MemberId, Nanos, ProcessId, SECOND};

use crate::message::{Message, StatementRecord, VoteLogCompleteness};
use crate::output::Output;
use crate::ownership::Ownership;
use crate::updates::MAX_RECORDS_PER_MESSAGE;

/// Delay of the first transfer to a new process beyond the grant validity, before whose end the
/// receiver ignores transfers.
const FIRST_TRANSFER_MARGIN: Nanos = 50 * MILLISECOND;
/// Interval after which a member with an incomplete vote log transfers again if it has learned
/// more.
const TRANSFER_RETRY_INTERVAL: Nanos = 400 * MILLISECOND;
/// A member lost within this time after a transfer may not have read it.
const TRANSFER_LOSS_WINDOW: Nanos = 2 * SECOND;

/// Transfers to members that connected recently.
pub(crate) struct StateTransfers {
    pending: BTreeMap<MemberId, PendingTransfer>,
    /// The last process that got a transfer, by member id.
    completed: Vec<Option<CompletedTransfer>>,
}

struct PendingTransfer {
    send_at: Nanos,
    /// Until when the member may need transfers.
    expires_at: Nanos,
    incarnation: Incarnation,
    /// Revision of this member's vote log at the last transfer.
    sent_revision: Option<u64>,
}

#[derive(Clone, Copy)]
struct CompletedTransfer {
    incarnation: Incarnation,
    sent_at: Nanos,
}

impl StateTransfers {
    pub(crate) fn new(member_count: usize) -> StateTransfers {
        StateTransfers {
            pending: BTreeMap::new(),
            completed: vec![None; member_count],
        }
    }

    pub(crate) fn next_send_at(&self) -> Nanos {
        self.pending
            .values()
            .map(|transfer| transfer.send_at)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    pub(crate) fn on_member_down(&mut self, now: Nanos, member: MemberId) {
        self.pending.remove(&member);
        if let Some(completed) = self.completed.get_mut(member.as_usize()) {
            completed.take_if(|transfer| now < transfer.sent_at + TRANSFER_LOSS_WINDOW);
        }
    }

    fn has_completed(&self, process: ProcessId) -> bool {
        self.completed
            .get(process.member.as_usize())
            .copied()
            .flatten()
            .is_some_and(|transfer| transfer.incarnation == process.incarnation)
    }

    fn members_to_send(&self, now: Nanos) -> Vec<MemberId> {
        self.pending
            .iter()
            .filter(|(_, transfer)| transfer.send_at <= now)
            .map(|(&member, _)| member)
            .collect()
    }

    /// Schedules the transfer after the current one. Returns whether there are new records to send
    /// now.
    fn advance(
        &mut self,
        now: Nanos,
        member: MemberId,
        completeness: &VoteLogCompleteness,
        revision: u64,
    ) -> bool {
        let Some(transfer) = self.pending.get_mut(&member) else {
            return false;
        };
        let has_new_records = transfer.sent_revision != Some(revision);
        transfer.sent_revision = Some(revision);
        let incarnation = transfer.incarnation;
        if *completeness != VoteLogCompleteness::Complete && now < transfer.expires_at {
            transfer.send_at = now + TRANSFER_RETRY_INTERVAL;
        } else {
            self.pending.remove(&member);
        }
        if has_new_records && let Some(completed) = self.completed.get_mut(member.as_usize()) {
            *completed = Some(CompletedTransfer {
                incarnation,
                sent_at: now,
            });
        }
        has_new_records
    }
}

impl Ownership {
    /// Handles a newly connected process of another member.
    pub fn on_member_up(&mut self, now: Nanos, process: ProcessId) {
        if process.member == self.own_member() {
            return;
        }
        self.members.on_up(process);
        // A process that reconnects has kept its votes.
        if self.transfers.has_completed(process) {
            return;
        }
        self.vote_log.on_member_replaced(process.member);
        let config = &self.config;
        let relearning_time =
            config.max_statement_timeout + config.retention + config.grant_validity;
        let transfer = PendingTransfer {
            send_at: now + config.grant_validity + FIRST_TRANSFER_MARGIN,
            expires_at: now + relearning_time,
            incarnation: process.incarnation,
            sent_revision: None,
        };
        self.transfers.pending.insert(process.member, transfer);
    }

    /// Handles a member that has been unreachable for a while and may be lost.
    pub fn on_member_suspected(&mut self, member: MemberId) {
        self.members.on_suspected(member);
    }

    /// Handles a suspected member that is reachable again.
    pub fn on_suspicion_cleared(&mut self, member: MemberId) {
        self.members.on_suspicion_cleared(member);
    }

    /// Sends each recently connected member all records that it may have voted on. A member that
    /// restarted recently itself transfers again as it learns more.
    pub(crate) fn on_transfer_timer(&mut self, now: Nanos, out: &mut dyn Output) {
        let members = self.transfers.members_to_send(now);
        if members.is_empty() {
            return;
        }
        let completeness = self.vote_log.completeness(now);
        let revision = self.vote_log.revision();
        for member in members {
            if self.transfers.advance(now, member, &completeness, revision) {
                self.transfer_state(now, member, &completeness, out);
            }
        }
    }

    fn transfer_state(
        &self,
        now: Nanos,
        to: MemberId,
        completeness: &VoteLogCompleteness,
        out: &mut dyn Output,
    ) {
        let mut records: Vec<StatementRecord> = self.vote_log.records(now).collect();
        let owned = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.is_owner() && statement.is_known_to_voters);
        records.extend(owned.map(|(id, statement)| statement.record(now, id)));
        records.retain(|record| self.voters.voters_of(record.id).contains(&to));
        let mut parts: Vec<Vec<StatementRecord>> = records
            .chunks(MAX_RECORDS_PER_MESSAGE)
            .map(<[StatementRecord]>::to_vec)
            .collect();
        let last = parts.pop().unwrap_or_default();
        for records in parts {
            let part = Message::StateTransfer {
                records,
                completeness: None,
            };
            out.send(to, part);
        }
        let last_part = Message::StateTransfer {
            records: last,
            completeness: Some(completeness.clone()),
        };
        out.send(to, last_part);
    }
}
