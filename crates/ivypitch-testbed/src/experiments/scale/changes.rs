//! The target's changes: one a second and bursts, until every gateway that can be reached acts by them.

use ivypitch_types::SECOND;

use super::module::line;
use super::peers::GATEWAYS;
use super::slope::Measure;
use crate::report::{Bound, Report};
use crate::virtual_time::discovery_fleet::{Fleet, Outage, Verdict, run};

/// Budget: a change is in force everywhere within so long.
pub const EVERYWHERE_MS: f64 = 6000.0;
/// 8,800 restarts a day, and so many times that.
const RESTARTS: f64 = 8_800.0 / 86_400.0;
const TIMES: f64 = 20.0;
pub const ENGINES: usize = 44_000;
const ZONE_ROWS: u64 = 1833;

fn calm(gateways: usize, quick: bool) -> Fleet {
    Fleet {
        gateways,
        zones: 24,
        regions: 7,
        servers: 40,
        // 1 Gb/s each.
        server_bytes_per_second: 125e6,
        segment_loss: 0.01,
        seconds: if quick { 20 } else { 60 },
        burst: 100,
        change_bytes: line(1, false).len() as u64,
        list_bytes: line(ENGINES, true).len() as u64,
        zone_rows: ZONE_ROWS,
        // One change of one row took the module 0.8 ms at 44,000 engines.
        apply_change: SECOND / 1000,
        // To read one and to take it, 0.37 s.
        apply_list: SECOND * 4 / 10,
        restarts_per_second: 0.0,
        region_outage: None,
        zone_outage: None,
    }
}

/// The slopes of calm changes, and the bounds of all cases.
pub fn measure(report: &mut Report, quick: bool, seed: u64) -> Vec<Measure> {
    let target = GATEWAYS[GATEWAYS.len() - 1];
    let (mut last, mut bytes, mut server) = (Vec::new(), Vec::new(), Vec::new());
    for &gateways in &GATEWAYS {
        let fleet = calm(gateways, quick);
        let reached = run(fleet, seed);
        last.push((gateways as f64, f64::from(reached.latency_ms(1.0))));
        bytes.push((
            gateways as f64,
            reached.sent_bytes as f64 / reached.changes as f64,
        ));
        server.push((gateways as f64, reached.peak_server_bytes as f64));
        judge(report, &format!("{gateways} gateways, calm"), &reached);
    }
    let base = calm(target, quick);
    let (from_second, until_second) = if quick { (4, 12) } else { (10, 40) };
    let outage = Some(Outage {
        from_second,
        until_second,
    });
    // Regions lose each other for minutes.
    let apart = match quick {
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
            "restarts at 20 times the target's rate",
            Fleet {
                restarts_per_second: RESTARTS * TIMES,
                ..base
            },
        ),
        ("a region cut off and coming back", apart),
        (
            "a zone lost and coming back",
            Fleet {
                zone_outage: outage,
                ..base
            },
        ),
        ("one machine serves all, calm", Fleet { servers: 1, ..base }),
    ];
    for (name, fleet) in cases {
        judge(
            report,
            &format!("{target} gateways, {name}"),
            &run(fleet, seed),
        );
    }
    let relay = |what, unit, points| Measure {
        role: "relay",
        what,
        unit,
        by: "gateways",
        points,
        is_simulated: true,
    };
    vec![
        relay(
            "journal: a change until the last gateway acts by it, calm",
            "ms",
            last,
        ),
        relay(
            "journal: bytes out of all servers for a change, numbers told each second in it",
            "bytes",
            bytes,
        ),
        relay(
            "journal: bytes out of the busiest of 40 servers in its busiest second",
            "bytes/s",
            server,
        ),
    ]
}

fn judge(report: &mut Report, place: &str, reached: &Verdict) {
    let mut bound = |what: &str, is, least, most| {
        report.bounds.push(Bound::new(
            &format!("changes, {place}: {what}"),
            is,
            least,
            most,
        ))
    };
    bound("changes", reached.changes as f64, 1.0, f64::MAX);
    for (name, quantile) in [("half", 0.5), ("99 in 100", 0.99), ("99.99 in 100", 0.9999)] {
        bound(
            &format!("{name} act within, ms"),
            f64::from(reached.latency_ms(quantile)),
            0.0,
            f64::MAX,
        );
    }
    bound(
        "the last acts within, ms",
        f64::from(reached.latency_ms(1.0)),
        0.0,
        EVERYWHERE_MS,
    );
    bound(
        "gateways that do not act by the last change",
        reached.behind as f64,
        0.0,
        0.0,
    );
    bound("restarts", reached.restarts as f64, 0.0, f64::MAX);
    bound(
        "most connections begun in a second",
        reached.peak_connects as f64,
        0.0,
        f64::MAX,
    );
    bound(
        "most bytes out of one server in a second",
        reached.peak_server_bytes as f64,
        0.0,
        f64::MAX,
    );
}
