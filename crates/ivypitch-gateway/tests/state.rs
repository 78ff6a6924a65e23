//! The table of open statements, the indices of engines, and the connection permits.

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future::{block_on, poll_once};
use ivypitch_gateway::actors::messages::{
    Answer, AttemptKey, AttemptMessage, ClientHandle, ClientStatement,
};
use ivypitch_gateway::state::engines::EngineIds;
use ivypitch_gateway::state::permits::ConnectionPermits;
use ivypitch_gateway::state::result_pages::{
    ConnectionLoss, ConnectionUse, ResultPages, ResultStep,
};
use ivypitch_gateway::state::statements::{InFlightAttempt, NewStatement, StatementTable};
use ivypitch_gateway::wire::fields::Fields;
use ivypitch_gateway::wire::http::{Response, status};
use ivypitch_types::{EngineIndex, Outcome, StatementIndex};
use test_case::test_case;

fn statement(id: &'static str, connection: u32) -> (NewStatement, Receiver<Answer>) {
    let (answer, answers) = async_channel::bounded(1);
    let fields = Fields {
        statement_id: Bytes::from_static(id.as_bytes()),
        ..Fields::default()
    };
    let new = NewStatement {
        connection,
        statement: ClientStatement {
            fields,
            workload: 0,
            tenant: 0,
        },
        deadline: 1,
        client: ClientHandle {
            answer,
            presence: None,
        },
    };
    (new, answers)
}

fn open(table: &mut StatementTable, id: &'static str, connection: u32) -> StatementIndex {
    let opened = table.open(statement(id, connection).0);
    opened.unwrap_or_else(|_| panic!("{id} is open already"))
}

/// Records attempt 0 of a statement as in flight.
fn send_attempt(table: &mut StatementTable, statement: StatementIndex) -> AttemptKey {
    let open = table.get_mut(statement).unwrap();
    let key = AttemptKey {
        statement,
        serial: open.serial,
        number: 0,
        engine: EngineIndex(0),
    };
    open.attempt = Some(InFlightAttempt {
        number: key.number,
        engine: key.engine,
        sent_at: 0,
        times_out_at: 1,
        has_timed_out: false,
        mailbox: async_channel::unbounded::<AttemptMessage>().0,
    });
    key
}

#[test]
fn a_statement_with_a_duplicate_id_is_returned_to_its_client() {
    let mut table = StatementTable::default();
    let first = open(&mut table, "000000000000000a", 1);
    let (second, answers) = statement("000000000000000a", 2);
    let client = table.open(second).unwrap_err();
    client.send(Answer::DuplicateId);
    assert!(matches!(answers.try_recv(), Ok(Answer::DuplicateId)));
    assert_eq!(table.find_by_id(10), Some(first));
    assert_eq!(table.find_by_connection(2), None);
}

#[test]
fn a_reused_statement_index_does_not_match_the_closed_statement() {
    let mut table = StatementTable::default();
    let first = open(&mut table, "000000000000000a", 1);
    let old = send_attempt(&mut table, first);
    table.close(first);
    let second = open(&mut table, "000000000000000b", 1);
    let new = send_attempt(&mut table, second);
    assert_eq!(first, second);
    assert!(table.get_by_serial(first, old.serial).is_none());
    assert!(!table.is_in_flight(old));
    assert!(table.is_in_flight(new));
}

#[test]
fn the_client_of_a_statement_is_taken_only_once() {
    let mut table = StatementTable::default();
    let index = open(&mut table, "000000000000000a", 1);
    assert_eq!(table.find_by_connection(1), Some(index));
    assert!(table.take_client(index).is_some());
    assert!(table.take_client(index).is_none());
    assert_eq!(table.find_by_connection(1), None);
}

#[test_case(Outcome::Cancelled, false, true; "a cancelled attempt ends")]
#[test_case(Outcome::Cancelled, true, false; "a cancelled attempt that timed out stays")]
#[test_case(Outcome::NotSent, true, false; "a withdrawn attempt that timed out stays")]
#[test_case(Outcome::Completed, true, true; "a late result ends the attempt")]
#[test_case(Outcome::TimedOut, true, true; "the deadline ends the attempt")]
fn an_attempt_that_timed_out_stays_until_a_result_or_the_deadline(
    outcome: Outcome,
    has_timed_out: bool,
    ends: bool,
) {
    let mut table = StatementTable::default();
    let index = open(&mut table, "000000000000000a", 1);
    let key = send_attempt(&mut table, index);
    if let Some(attempt) = &mut table.get_mut(index).unwrap().attempt {
        attempt.has_timed_out = has_timed_out;
    }
    assert_eq!(table.take_attempt(key, outcome).is_some(), ends);
    assert_eq!(table.is_in_flight(key), !ends);
}

#[test]
fn an_engine_index_is_reused_after_its_last_reference_is_gone() {
    let mut ids = EngineIds::default();
    assert_eq!(ids.index_of("s-1"), EngineIndex(0));
    assert_eq!(ids.index_of("s-2"), EngineIndex(1));
    assert_eq!(ids.index_of("s-1"), EngineIndex(0));
    ids.retain(|engine| engine == EngineIndex(1));
    assert_eq!(ids.index_of("s-3"), EngineIndex(0));
    assert_eq!(ids.index_of("s-2"), EngineIndex(1));
}

#[test]
fn a_waiting_task_gets_a_released_permit() {
    let permits = ConnectionPermits::new(2);
    let first = block_on(permits.acquire());
    assert!(!permits.is_scarce());
    let _second = block_on(permits.acquire());
    assert!(permits.is_scarce());
    assert!(block_on(poll_once(permits.acquire())).is_none());
    drop(first);
    assert!(block_on(poll_once(permits.acquire())).is_some());
}

fn first_page(rows: &'static str) -> Response {
    Response {
        status: status::COMPLETED,
        page_count: Some(1),
        body: Bytes::from_static(rows.as_bytes()),
        ..Response::default()
    }
}

/// Guards against a page that counts as complete after something else than a response followed it.
#[test_case(ConnectionLoss::Reset, "a\tb\tc\n", ResultStep::Complete; "the same page behind a reset")]
#[test_case(ConnectionLoss::Reset, "", ResultStep::Request(0); "another page behind a reset")]
#[test_case(ConnectionLoss::Unusable, "a\tb\tc\n", ResultStep::Request(0); "the same page behind stray bytes")]
fn a_page_of_a_lost_connection_is_confirmed_by_the_same_page_only_if_nothing_followed(
    loss: ConnectionLoss,
    repeated: &'static str,
    expected: ResultStep,
) {
    let mut result = ResultPages::begin(&first_page("a\tb\tc\n"), None).unwrap();
    assert_eq!(result.next_step(), ResultStep::Request(0));
    assert!(result.on_connection_lost(loss));
    assert_eq!(result.next_step(), ResultStep::Restart);
    let lost_page = result.take_lost_page();
    let result = ResultPages::begin(&first_page(repeated), lost_page).unwrap();
    assert_eq!(result.next_step(), expected);
}

#[test_case(ConnectionUse::First, ResultStep::Complete; "of its statement alone")]
#[test_case(ConnectionUse::Reused, ResultStep::Restart; "that served another statement before")]
fn the_end_of_the_stream_confirms_a_page_on_a_connection(
    connection: ConnectionUse,
    expected: ResultStep,
) {
    let mut result = ResultPages::begin(&first_page("a\tb\tc\n"), None).unwrap();
    result.on_stream_ended(connection);
    assert_eq!(result.next_step(), expected);
}
