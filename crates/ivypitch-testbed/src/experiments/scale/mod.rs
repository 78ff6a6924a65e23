//! The size to plan with: what each part costs at more and more gateways and engines, in virtual time and, beside it, on
//! real gateways among hollow ones (`processes`). What a statement and a change cost the module is to be flat, what peers
//! cost to grow no faster than the fleet until groups of them carry it; a cost of time is judged as a ratio between sizes
//! of this run alone.
//!
//! Whole fleets are played as far as the simulator can: members hold each other, so that a fleet is the square of its
//! size; the largest, 2,000, is played for its cold start alone. Shares and custody are played whole up
//! to 300 and 1,000 gateways, above that one gateway stands for all; module and feeds are played at every size.

pub mod capacity;
pub mod changes;
mod coordination;
pub mod module;
pub mod peers;
pub mod processes;
pub mod slope;

use crate::plot::Plot;
use crate::report::{Bound, Report};
use capacity::Recorded;
use slope::Measure;

/// On the way of every statement or change: as good as the same at all sizes.
const FLAT: f64 = 1.3;
/// What grows with the fleet must not grow faster than it, time taken with a margin.
const NO_FASTER: f64 = 1.0;
const MARGIN: f64 = 1.6;

/// What a cost may grow by from the smallest size to the largest.
#[derive(Clone, Copy)]
enum Growth {
    Flat,
    /// As the size.
    Linear,
    /// Told only.
    Any,
}

const GROWTHS: [(&str, Growth); 24] = [
    ("module: processor time of a statement", Growth::Flat),
    (
        "module: processor time of a change of one row",
        Growth::Flat,
    ),
    (
        "module: processor time of a whole list told again",
        Growth::Linear,
    ),
    ("module: memory", Growth::Linear),
    ("journal: bytes of a whole list", Growth::Linear),
    (
        "journal: processor time to read a whole list",
        Growth::Linear,
    ),
    ("members: bytes out at rest", Growth::Linear),
    ("members: datagrams out at rest", Growth::Flat),
    ("members: processor time at rest", Growth::Linear),
    ("members: memory", Growth::Linear),
    (
        "members: bytes out at a cold start of all, busiest second",
        Growth::Any,
    ),
    (
        "members: bytes out over a cold start of all",
        Growth::Linear,
    ),
    (
        "members: cold start of all until all hear all",
        Growth::Linear,
    ),
    ("links: bytes out at rest", Growth::Linear),
    ("links: frames out at rest", Growth::Linear),
    (
        "custody: processor time to choose a statement's witnesses",
        Growth::Linear,
    ),
    ("custody: messages of a statement", Growth::Flat),
    ("custody: bytes of a statement", Growth::Flat),
    ("shares: bytes out at rest", Growth::Flat),
    (
        "shares: processor time at rest, 300 gateways",
        Growth::Linear,
    ),
    (
        "shares: processor time of a statement's outcome",
        Growth::Linear,
    ),
    (
        "shares: processor time of a judgement, one word in ten",
        Growth::Linear,
    ),
    ("shares: memory of words, 300 gateways", Growth::Linear),
    (
        "journal: bytes out of all servers for a change, numbers told each second in it",
        Growth::Linear,
    ),
];

pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("scale", seed);
    let mut all = Vec::new();
    // On a thread of their own, so that what they free is not used again by what is measured next.
    std::thread::scope(|scope| {
        let members = scope.spawn(|| peers::membership(quick, seed));
        all.extend(members.join().unwrap_or_default());
    });
    all.extend(module::measure(quick, seed));
    all.extend(peers::links());
    all.extend(peers::ownership(quick, seed));
    all.extend(coordination::measure_coordination(quick, seed));
    all.extend(changes::measure(&mut report, quick, seed));
    judge(&mut report, &all);
    let (measures, bounds) = processes::measure_checked(quick, seed);
    all.extend(measures);
    report.bounds.extend(bounds);
    tell(&mut report, &Recorded::new(quick, seed, &all), &all);
    report
}

fn judge(report: &mut Report, all: &[Measure]) {
    for measure in all {
        let growth = GROWTHS
            .iter()
            .find(|(what, _)| *what == measure.what)
            .map_or(Growth::Any, |g| g.1);
        let (Some(first), Some(last)) = (measure.points.first(), measure.points.last()) else {
            continue;
        };
        let of_sizes = last.0 / first.0;
        let is_time =
            measure.unit == "us" || measure.unit == "us/s" || measure.what.contains("memory");
        let most = match growth {
            Growth::Flat => FLAT,
            Growth::Linear => of_sizes * if is_time { MARGIN } else { NO_FASTER + 0.1 },
            Growth::Any => f64::MAX,
        };
        let what = format!(
            "{}: at {} {} over {}",
            measure.what, last.0, measure.by, first.0
        );
        report
            .bounds
            .push(Bound::new(&what, measure.ratio(), 0.0, most));
    }
}

/// Slopes, plots, the record and the page's tables.
fn tell(report: &mut Report, recorded: &Recorded, all: &[Measure]) {
    report.notes = all.iter().map(Measure::line).collect();
    report.notes.push(String::new());
    for measure in all {
        let row = capacity::rows()
            .into_iter()
            .find(|row| row.from == Some(measure.what) && row.budget.is_some());
        report.plots.push(plot(measure, row.as_ref(), recorded));
    }
    report.files.push((
        "scale.measures.json".into(),
        serde_json::to_string_pretty(recorded).unwrap_or_default() + "\n",
    ));
    report
        .files
        .push(("CAPACITY.tables.md".into(), capacity::tables(recorded)));
}

/// In the unit of the row that has the budget, where there is one: then by gateways, in the target's proportions.
fn plot(measure: &Measure, row: Option<&capacity::Row>, recorded: &Recorded) -> Plot {
    let unit = |unit: &str| {
        if unit.is_empty() {
            String::new()
        } else {
            format!(", {unit}")
        }
    };
    let Some(row) = row else {
        return Plot {
            title: format!("{}{}", measure.what, unit(measure.unit)),
            x: measure.by.into(),
            points: measure.points.clone(),
            fit: Vec::new(),
            budget: None,
            crossing: None,
        };
    };
    let is_engines = measure.by == "engines";
    let gateways = |size: f64| {
        if is_engines {
            size * capacity::GATEWAYS / capacity::ENGINES
        } else {
            size
        }
    };
    let cost = |size: f64| {
        (
            size,
            (row.cost)(recorded, &capacity::counts(gateways(size))),
        )
    };
    let sizes: Vec<f64> = measure.points.iter().map(|p| p.0).collect();
    let target = if is_engines {
        capacity::ENGINES
    } else {
        capacity::GATEWAYS
    };
    let last = sizes.last().copied().unwrap_or(target);
    let passed = row.passed_at(recorded).filter(|&n| !capacity::is_any(n));
    let crossing = passed.map(|n| {
        if is_engines {
            capacity::counts(n).engines
        } else {
            n
        }
    });
    Plot {
        title: format!("{}: {}{}", row.role, row.what, unit(row.unit)),
        x: measure.by.into(),
        points: sizes.iter().copied().map(cost).collect(),
        fit: if last < target {
            vec![cost(last), cost(target)]
        } else {
            Vec::new()
        },
        budget: row.budget.map(|budget| budget(recorded)),
        crossing,
    }
}
