//! Endpoint changes at the rate of the target, one per second and in bursts, until every reachable
//! gateway has applied them.

use ivypitch_types::SECOND;

use super::peers::GATEWAYS;
use super::scheduler::endpoint_event_line;
use super::slope::Measure;
use crate::report::{Bound, Report};
use crate::virtual_time::discovery_fleet::{Fleet, Outage, Verdict, run};

/// Budget for the time until all gateways have applied a change.
pub const MAX_PROPAGATION_MS: f64 = 6000.0;
/// 8,800 restarts a day.
const RESTARTS_PER_SECOND: f64 = 8_800.0 / 86_400.0;
/// Factor on the restart rate in the case with restarts.
const RESTART_RATE_FACTOR: f64 = 20.0;
/// Engines of the target.
pub const ENGINES: usize = 44_000;
/// Engines of one zone.
const ENGINES_PER_ZONE: u64 = 1833;

/// The fleet without faults.
fn fault_free_fleet(gateways: usize, quick: bool) -> Fleet {
    Fleet {
        gateways,
        zones: 24,
        regions: 7,
        servers: 40,
        // 1 Gb/s per server.
        server_bytes_per_second: 125e6,
        segment_loss: 0.01,
        seconds: if quick { 20 } else { 60 },
        burst: 100,
        change_bytes: endpoint_event_line(1, false).len() as u64,
        list_bytes: endpoint_event_line(ENGINES, true).len() as u64,
        zone_rows: ENGINES_PER_ZONE,
        // The scheduler took 0.8 ms for a change of one row at 44,000 engines.
        apply_change: SECOND / 1000,
        // Parsing and applying a whole list took 0.37 s.
        apply_list: SECOND * 4 / 10,
        restarts_per_second: 0.0,
        region_outage: None,
        zone_outage: None,
    }
}

/// Measures changes without faults at all sizes and adds the bounds of all cases to the report.
pub fn measure(report: &mut Report, quick: bool, seed: u64) -> Vec<Measure> {
    let target = GATEWAYS[GATEWAYS.len() - 1];
    let (mut latency_ms, mut bytes_per_change, mut peak_server_bytes) =
        (Vec::new(), Vec::new(), Vec::new());
    for &gateways in &GATEWAYS {
        let fleet = fault_free_fleet(gateways, quick);
        let verdict = run(fleet, seed);
        latency_ms.push((gateways as f64, f64::from(verdict.latency_ms(1.0))));
        bytes_per_change.push((
            gateways as f64,
            verdict.sent_bytes as f64 / verdict.changes as f64,
        ));
        peak_server_bytes.push((gateways as f64, verdict.peak_server_bytes as f64));
        add_bounds(report, &format!("{gateways} gateways, no faults"), &verdict);
    }
    let base = fault_free_fleet(target, quick);
    let (from_second, until_second) = if quick { (4, 12) } else { (10, 40) };
    let outage = Some(Outage {
        from_second,
        until_second,
    });
    // The regions lose their connections to each other for minutes.
    let region_cut_off = match quick {
        true => Fleet {
            region_outage: outage,
            ..base
        },
        false => Fleet {
            region_outage: Some(Outage {
                from_second: 10,
                until_second: 190,
            }),
            seconds: 200,
            ..base
        },
    };
    let cases = [
        (
            "restarts at 20 times the rate of the target",
            Fleet {
                restarts_per_second: RESTARTS_PER_SECOND * RESTART_RATE_FACTOR,
                ..base
            },
        ),
        ("a region partitioned and reconnected", region_cut_off),
        (
            "a zone lost and restored",
            Fleet {
                zone_outage: outage,
                ..base
            },
        ),
        (
            "one server for all gateways, no faults",
            Fleet { servers: 1, ..base },
        ),
    ];
    for (name, fleet) in cases {
        add_bounds(
            report,
            &format!("{target} gateways, {name}"),
            &run(fleet, seed),
        );
    }
    let measure = |name, unit, points| Measure {
        role: "relay",
        name,
        unit,
        by: "gateways",
        points,
        is_simulated: true,
    };
    vec![
        measure(
            "journal: a change until the last gateway acts by it, calm",
            "ms",
            latency_ms,
        ),
        measure(
            "journal: bytes out of all servers for a change, numbers told each second in it",
            "bytes",
            bytes_per_change,
        ),
        measure(
            "journal: bytes out of the busiest of 40 servers in its busiest second",
            "bytes/s",
            peak_server_bytes,
        ),
    ]
}

fn add_bounds(report: &mut Report, scenario: &str, verdict: &Verdict) {
    let mut add_bound = |name: &str, value, min, max| {
        report.bounds.push(Bound::new(
            &format!("changes, {scenario}: {name}"),
            value,
            min,
            max,
        ))
    };
    add_bound("changes", verdict.changes as f64, 1.0, f64::MAX);
    for (part, quantile) in [("half", 0.5), ("99 in 100", 0.99), ("99.99 in 100", 0.9999)] {
        add_bound(
            &format!("applied by {part} of the gateways within, ms"),
            f64::from(verdict.latency_ms(quantile)),
            0.0,
            f64::MAX,
        );
    }
    add_bound(
        "applied by all gateways within, ms",
        f64::from(verdict.latency_ms(1.0)),
        0.0,
        MAX_PROPAGATION_MS,
    );
    add_bound(
        "gateways that have not applied the last change",
        verdict.behind as f64,
        0.0,
        0.0,
    );
    add_bound("restarts", verdict.restarts as f64, 0.0, f64::MAX);
    add_bound(
        "maximum connections opened in a second",
        verdict.peak_connects as f64,
        0.0,
        f64::MAX,
    );
    add_bound(
        "maximum bytes out of one server in a second",
        verdict.peak_server_bytes as f64,
        0.0,
        f64::MAX,
    );
}
