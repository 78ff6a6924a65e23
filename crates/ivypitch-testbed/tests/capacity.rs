//! The tables on the capacity page match the recorded run.

use ivypitch_testbed::experiments::scale::capacity::{RecordedRun, quantities_at, rows, tables};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const RECORD: &str = include_str!("../../../docs/capacity.json");
const TABLES_BEGIN: &str = "<!-- printed by the experiment: begin -->\n";
const TABLES_END: &str = "<!-- printed by the experiment: end -->";

#[test]
fn the_tables_on_the_page_match_the_recorded_run() {
    let recorded: RecordedRun = serde_json::from_str(RECORD).unwrap();
    let shown = PAGE
        .split_once(TABLES_BEGIN)
        .and_then(|(_, rest)| rest.split_once(TABLES_END))
        .map(|(shown, _)| shown);
    assert_eq!(
        shown,
        Some(tables(&recorded).as_str()),
        "the tables on the page have to be regenerated from docs/capacity.json"
    );
}

#[test]
fn every_measure_named_in_a_row_is_in_the_recorded_run() {
    let recorded: RecordedRun = serde_json::from_str(RECORD).unwrap();
    for row in rows() {
        if let Some(measure) = row.measure {
            assert!(
                recorded
                    .measures
                    .iter()
                    .any(|recorded| recorded.name == measure),
                "{measure} was not recorded"
            );
        }
        let cost = (row.cost)(&recorded, &quantities_at(3800.0));
        // The engines of a subset get statements so often that every connection stays open: the
        // rate of new ones rounds to 0.
        if row.name == "connections begun" {
            assert_eq!(cost, 0.0, "{}", row.name);
        } else {
            assert!(cost > 0.0 && cost.is_finite(), "{} costs {cost}", row.name);
        }
    }
}
