//! Limits on sessions, and the choice of the session that is ended to make room for another.

use ivypitch_gateway::lifecycle::bounds::Bounds;
use ivypitch_gateway::state::sessions::{SessionStage, SessionState, SessionTable};
use test_case::test_case;

#[test_case(256, 32, 85; "a small machine")]
#[test_case(1024, 32, 85; "little memory for many descriptors")]
#[test_case(1024, 192, 341; "a usual machine")]
#[test_case(64, 192, 21; "few descriptors")]
fn bounds_together_stay_within_sockets_and_memory(
    sockets: usize,
    memory_mb: usize,
    clients: usize,
) {
    let bounds = Bounds::new(sockets, memory_mb);
    assert_eq!(bounds.clients, clients);
    assert!(bounds.clients + bounds.surplus_sessions + bounds.engine_connections <= sockets);
    let sessions = (bounds.clients + bounds.surplus_sessions) * (bounds.message_bytes + (8 << 10));
    let kept = sessions
        + bounds.clients * (96 << 10)
        + bounds.engine_connections * (22 << 10)
        + 2 * bounds.discovery_line_bytes;
    assert!(kept <= (memory_mb * 7 / 8) << 20, "{kept}");
}

/// Four sessions, each with its stage and the milliseconds since it reached the stage, and the
/// session that has to end for a fifth.
#[test_case([(SessionStage::Connected, 900), (SessionStage::Connected, 950), (SessionStage::Answered, 4000), (SessionStage::LoggedIn, 10)], Some(1); "idle for longest before login")]
#[test_case([(SessionStage::LoggedIn, 900), (SessionStage::Connected, 100), (SessionStage::Answered, 4000), (SessionStage::Connected, 0)], Some(0); "idle after login")]
#[test_case([(SessionStage::Connected, 100), (SessionStage::Answered, 5), (SessionStage::Answered, 6), (SessionStage::LoggedIn, 90)], Some(2); "answered before newly connected")]
#[test_case([(SessionStage::Connected, 100), (SessionStage::Connected, 50), (SessionStage::LoggedIn, 150), (SessionStage::LoggedIn, 60)], Some(2); "all newly connected")]
fn a_full_table_ends_the_session_with_the_least_to_lose(
    sessions: [(SessionStage, u64); 4],
    expected: Option<u32>,
) {
    let now = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let mut table = SessionTable::new(4);
    let mut states = Vec::new();
    for (connection, (stage, ms)) in (0..).zip(sessions) {
        assert!(table.evict_if_full(now, |_| true));
        let state = SessionState::new(now);
        state.set_stage(stage, now - std::time::Duration::from_millis(ms));
        states.push(state.clone());
        table.insert(connection, state, connection);
    }
    assert!(table.evict_if_full(now, |_| true));
    let ended = (0..4).find(|&connection| states[connection as usize].is_end_requested());
    assert_eq!(ended, expected);
    assert_eq!(
        (table.len(), table.is_empty()),
        (3, false),
        "the ended session closes outside the table"
    );
    assert!(
        (0..4).all(|connection| table.remove(connection) == Some(connection)) && table.is_empty()
    );
    let mut busy = SessionTable::new(1);
    states[0].is_busy.set(true);
    busy.insert(0, states[0].clone(), ());
    assert!(!busy.evict_if_full(now, |_| true), "all sessions are busy");
}

#[test]
fn sessions_with_unread_bytes_or_a_partial_message_are_not_ended() {
    let now = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let long = now - std::time::Duration::from_secs(9);
    let mut table = SessionTable::new(3);
    let states: Vec<_> = (0..3).map(|_| SessionState::new(now)).collect();
    for (connection, state) in (0..).zip(&states) {
        state.set_stage(SessionStage::Answered, long);
        table.insert(connection, state.clone(), connection);
    }
    states[1].has_partial_message.set(true);
    assert!(table.evict_if_full(now, |&connection| connection != 0));
    assert!(
        states[2].is_end_requested() && !states[0].is_end_requested(),
        "the first session has unread bytes"
    );
    table.insert(3, SessionState::new(now), 3);
    states[0].is_closing.set(true);
    assert!(
        table.evict_if_full(now, |_| false),
        "a session that is over is ended first"
    );
    assert!(states[0].is_end_requested() && !states[1].is_end_requested());
}

#[test]
fn closing_sessions_outside_the_table_are_bounded_and_a_busy_one_is_kept() {
    let now = std::time::Instant::now();
    let mut table = SessionTable::new(1);
    let busy = SessionState::new(now);
    busy.is_busy.set(true);
    table.insert_closing(0, busy, 0);
    (1..=40).for_each(|connection| {
        table.insert_closing(connection, SessionState::new(now), connection)
    });
    assert!(table.remove(0).is_some() && table.remove(40).is_some() && table.remove(1).is_none());
    assert_eq!(
        (1..=40)
            .filter(|&connection| table.remove(connection).is_some())
            .count(),
        22
    );
}
