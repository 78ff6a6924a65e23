//! The fields in the comment before a statement, and the statement's table group.

use bytes::Bytes;
use ivypitch_gateway::wire::fields::{self, FieldsError};
use ivypitch_gateway::wire::table_group::find_table_group;
use test_case::test_case;

#[test]
fn fields_are_parsed_from_the_comment_before_the_statement() {
    let text = "/* kind=report,req=9b1f03aa5c7e2d41,timeout=1500,owner=acme,ms=820.0,space=96 */ SELECT day FROM \
                sales_17.orders WHERE tag = 'sales_18.x' -- sales_19.y\n GROUP BY day";
    let parsed = fields::parse(&Bytes::from(text)).unwrap();
    assert_eq!(
        (
            &parsed.workload[..],
            &parsed.statement_id[..],
            parsed.timeout_ms
        ),
        (&b"report"[..], &b"9b1f03aa5c7e2d41"[..], 1500)
    );
    assert_eq!(
        (parsed.work_ms, parsed.memory_mb, parsed.table_group),
        (Some(820.0), Some(96.0), 17)
    );
    assert_eq!(parsed.tenant.as_deref(), Some(&b"acme"[..]));
    assert!(
        parsed.statement.starts_with(b"SELECT day") && parsed.statement.ends_with(b"GROUP BY day")
    );
}

#[test]
fn a_written_statement_equals_the_text_from_its_client() {
    let text = "/* kind=report,req=9b1f03aa5c7e2d41,timeout=1500,owner=acme,ms=820.5,space=96,opkey=b35f,subject=0002 */ \
                SELECT day FROM sales_17.orders";
    let parsed = fields::parse(&Bytes::from(text)).unwrap();
    let keys = (
        parsed.idempotency_key.as_deref(),
        parsed.ordering_key.as_deref(),
    );
    assert_eq!(keys, (Some(&b"b35f"[..]), Some(&b"0002"[..])));
    let sent = String::from_utf8(parsed.write(700)).unwrap();
    assert_eq!(sent, text.replace("1500", "700"));
}

/// Guards against comments whose cost grows with the square of the number of their fields.
#[test_case(61, None; "as many fields as may be")]
#[test_case(62, Some(FieldsError::TooMany); "one more")]
#[test_case(13_000, Some(FieldsError::TooMany); "as many as a message holds")]
fn the_number_of_fields_is_bounded(unknown: usize, expected: Option<FieldsError>) {
    let more: String = (0..unknown).map(|n| format!(",x{n}=")).collect();
    let known = "kind=report,req=9b1f03aa5c7e2d41,timeout=1500";
    let text = format!("/* {known}{more} */ SELECT day FROM sales_17.orders");
    assert_eq!(fields::parse(&Bytes::from(text)).err(), expected);
}

#[test_case("INSERT INTO sales_17.orders SELECT * FROM staging.orders", Some(17); "staging after")]
#[test_case("INSERT INTO x SELECT * FROM STAGING.a_1 JOIN sales_2.b", Some(2); "staging first")]
#[test_case("SELECT 'it''s sales_1.a', \"sales_2.b\", 'x\\' sales_3.c' FROM `sales_4`.`orders`", Some(4); "quotes")]
#[test_case("SELECT /* sales_1.a */ # sales_2.b\n t.sales_9 FROM sales_3 . orders t", Some(3); "comments, space")]
#[test_case("SELECT a.b_7.c, 1.5 FROM big_sales_12.orders", Some(12); "a table is no schema")]
#[test_case("SELECT 1--1 FROM s_5.o", Some(5); "minus signs are not a comment")]
#[test_case("SELECT sales_17 FROM orders", None; "no schema")]
#[test_case("SELECT a FROM sales_x.orders", None; "no number")]
#[test_case("SELECT a FROM sales_99999999999.orders", None; "number out of range")]
#[test_case("SELECT 'sales_1.a", None; "unterminated string")]
fn the_table_group_is_the_number_of_the_first_schema_that_has_one(
    statement: &str,
    group: Option<u32>,
) {
    assert_eq!(find_table_group(statement.as_bytes()), group);
}
