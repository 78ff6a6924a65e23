//! The vote log at its bounds.

use ivypitch_ownership::*;
use ivypitch_types::{Incarnation, MemberId, Nanos, ProcessId, SECOND};

const MAX_ENTRIES: usize = 50;
const MAX_BYTES: usize = 200_000;
/// No voter abstains any more.
const NOW: Nanos = 100 * SECOND;

fn vote_log() -> VoteLog {
    let config = VoteLogConfig {
        grant_validity: SECOND,
        max_statement_timeout: SECOND,
        retention: SECOND,
        max_entries: MAX_ENTRIES,
        max_bytes: MAX_BYTES,
    };
    VoteLog::new(MemberId(0), 0, config)
}

fn record(id: StatementId, is_idempotent: bool, request_bytes: usize) -> StatementRecord {
    StatementRecord {
        id,
        epoch: Epoch {
            number: 0,
            process: ProcessId {
                member: MemberId(0),
                incarnation: Incarnation(1),
            },
        },
        spec: Some(StatementSpec {
            digest: id,
            workload: 0,
            tenant: 0,
            is_idempotent,
            remaining_ms: 1000,
            request: vec![0; request_bytes],
        }),
        grants: Vec::new(),
        end: None,
    }
}

fn vote(log: &mut VoteLog, record: &StatementRecord) -> Result<(), VoteDenial> {
    let grant = AttemptGrant {
        epoch: record.epoch,
        attempt: 0,
        engine_hash: 1,
        never_ran: false,
    };
    log.vote_on_grant(NOW, record, grant, &VoterAssignment::new(vec![0], 1))
}

/// Guards against memory that grows with the size and number of statements, and against loads that
/// are denied for statements that may run again.
#[test]
fn idempotent_statements_give_way_to_loads_and_loads_to_nothing() {
    for request_bytes in [10, 10_000] {
        let mut log = vote_log();
        for id in 0..1000 {
            log.apply(NOW, &record(id, true, request_bytes));
        }
        let capacity = log.len();
        assert!(capacity <= MAX_ENTRIES && capacity * request_bytes <= MAX_BYTES);
        assert!(log.get(NOW, 999).is_some() && log.get(NOW, 0).is_none());
        let granted =
            (1000..2000).filter(|&id| vote(&mut log, &record(id, false, request_bytes)).is_ok());
        assert!(granted.count().abs_diff(capacity) <= 1);
        assert!(log.get(NOW, 1000).is_some(), "a load is forgotten");
        log.evict_expired(NOW + 10 * SECOND);
        assert!(log.is_empty());
        assert_eq!(vote(&mut log, &record(1, false, request_bytes)), Ok(()));
    }
}

/// Guards against a forgotten vote on a load: an idempotent statement had its id before, was removed,
/// and its old place in the order of eviction must not evict the load.
#[test]
fn a_load_whose_id_an_idempotent_statement_had_before_is_not_evicted() {
    let mut log = vote_log();
    log.apply(NOW, &record(0, true, 10));
    let rejected = StatementRecord {
        end: Some(StatementEnd::Rejected),
        ..record(0, true, 10)
    };
    log.apply(NOW, &rejected);
    assert!(log.is_empty());
    assert_eq!(vote(&mut log, &record(0, false, 10)), Ok(()));
    for id in 1..1000 {
        log.apply(NOW, &record(id, true, 10));
    }
    let known = log.get(NOW, 0).expect("the vote on the load is forgotten");
    assert_eq!(known.grants.len(), 1);
}
