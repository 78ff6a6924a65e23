//! The target's changes: one a second and bursts, until every gateway that can be reached acts by them.

use ivypitch_types::SECOND;

use super::module::line;
use super::peers::GATEWAYS;
use super::slope::Measure;
use crate::report::{Bound, Report};
use crate::virtual_time::feed_fleet::{Fleet, Reached, play};

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
        bytes_a_second: 125e6,
        loss: 0.01,
        seconds: if quick { 20 } else { 60 },
        burst: 100,
        change: line(1, false).len() as u64,
        whole_list: line(ENGINES, true).len() as u64,
        zone_rows: ZONE_ROWS,
        // One change of one row took the module 0.8 ms at 44,000 engines.
        act: SECOND / 1000,
        // To read one and to take it, 0.37 s.
        act_whole: SECOND * 4 / 10,
        restarts: 0.0,
        cut: (0, 0),
        zone_lost: (0, 0),
    }
}

/// The slopes of calm changes, and the bounds of all cases.
pub fn measure(report: &mut Report, quick: bool, seed: u64) -> Vec<Measure> {
    let target = GATEWAYS[GATEWAYS.len() - 1];
    let (mut last, mut bytes, mut server) = (Vec::new(), Vec::new(), Vec::new());
    for &gateways in &GATEWAYS {
        let fleet = calm(gateways, quick);
        let reached = play(fleet, seed);
        last.push((gateways as f64, f64::from(reached.ms(1.0))));
        bytes.push((
            gateways as f64,
            reached.bytes as f64 / reached.changes as f64,
        ));
        server.push((gateways as f64, reached.busiest_server_s as f64));
        judge(report, &format!("{gateways} gateways, calm"), &reached);
    }
    let base = calm(target, quick);
    let (from, until) = if quick { (4, 12) } else { (10, 40) };
    // Regions lose each other for minutes.
    let apart = match quick {
        true => Fleet {
            cut: (from, until),
            ..base
        },
        false => Fleet {
            cut: (10, 190),
            seconds: 200,
            ..base
        },
    };
    let cases = [
        (
            "restarts at 20 times the target's rate",
            Fleet {
                restarts: RESTARTS * TIMES,
                ..base
            },
        ),
        ("a region cut off and coming back", apart),
        (
            "a zone lost and coming back",
            Fleet {
                zone_lost: (from, until),
                ..base
            },
        ),
        ("one machine serves all, calm", Fleet { servers: 1, ..base }),
    ];
    for (name, fleet) in cases {
        judge(
            report,
            &format!("{target} gateways, {name}"),
            &play(fleet, seed),
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

fn judge(report: &mut Report, place: &str, reached: &Reached) {
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
            f64::from(reached.ms(quantile)),
            0.0,
            f64::MAX,
        );
    }
    bound(
        "the last acts within, ms",
        f64::from(reached.ms(1.0)),
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
        reached.busiest_connects_s as f64,
        0.0,
        f64::MAX,
    );
    bound(
        "most bytes out of one server in a second",
        reached.busiest_server_s as f64,
        0.0,
        f64::MAX,
    );
}
