//! The page on capacity stands on the record of a run.

use ivypitch_testbed::experiments::scale::capacity::{Recorded, counts, rows, tables};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const RECORD: &str = include_str!("../../../docs/capacity.json");
const BEGIN: &str = "<!-- printed by the experiment: begin -->\n";
const END: &str = "<!-- printed by the experiment: end -->";

#[test]
fn the_pages_tables_are_those_that_the_recorded_run_gives() {
    let recorded: Recorded = serde_json::from_str(RECORD).unwrap();
    let shown = PAGE
        .split_once(BEGIN)
        .and_then(|(_, rest)| rest.split_once(END))
        .map(|(shown, _)| shown);
    assert_eq!(
        shown,
        Some(tables(&recorded).as_str()),
        "the page has to be printed anew from docs/capacity.json"
    );
}

#[test]
fn every_row_with_a_measure_finds_it_in_the_record() {
    let recorded: Recorded = serde_json::from_str(RECORD).unwrap();
    for row in rows() {
        if let Some(what) = row.from {
            assert!(
                recorded.measures.iter().any(|m| m.what == what),
                "{what} was not recorded"
            );
        }
        let cost = (row.cost)(&recorded, &counts(3800.0));
        // Each gateway's subset is asked so often that every connection is kept: none is begun, to the last digit.
        if row.what == "connections begun" {
            assert_eq!(cost, 0.0, "{}", row.what);
        } else {
            assert!(cost > 0.0 && cost.is_finite(), "{} costs {cost}", row.what);
        }
    }
}
