//! The experiment `scale`: the cost of each component at growing numbers of gateways and engines,
//! in virtual time and on gateway processes among simulated ones (`processes`). The cost of a
//! statement or an endpoint change in the scheduler must be flat; the cost of peers must grow no
//! faster than the fleet until they are divided into groups. Costs in time are compared only
//! between sizes of the same run.
//!
//! Whole fleets are simulated as far as possible: each member holds all others, so a fleet takes
//! the square of its size. The largest, 2,000, is simulated for its cold start only. Coordination
//! and ownership are simulated as whole fleets up to 300 and 1,000 gateways; above that one gateway
//! stands for all. The scheduler and the endpoint feeds are simulated at every size.

pub mod capacity;
pub mod changes;
mod coordination;
pub mod peers;
pub mod processes;
pub mod scheduler;
pub mod slope;

use crate::plot::Plot;
use crate::report::{Bound, Report};
use capacity::RecordedRun;
use slope::Measure;

/// Maximum ratio between the largest and the smallest size of a cost on the path of every statement
/// or change.
const MAX_FLAT_RATIO: f64 = 1.3;
/// Maximum growth, relative to that of the fleet, of a cost that may grow linearly.
const MAX_LINEAR_GROWTH: f64 = 1.0;
/// The same for times and memory, which vary between runs.
const MAX_LINEAR_GROWTH_WITH_MARGIN: f64 = 1.6;

/// Allowed growth of a cost from the smallest size to the largest.
#[derive(Clone, Copy)]
enum Growth {
    Flat,
    /// In proportion to the size.
    Linear,
    /// Not bounded.
    Unbounded,
}

/// Allowed growth by name of the measure.
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
        Growth::Unbounded,
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

/// Runs the experiment.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("scale", seed);
    let mut measures = Vec::new();
    // On a separate thread so that later measurements of memory do not reuse the memory freed here.
    std::thread::scope(|scope| {
        let members = scope.spawn(|| peers::membership(quick, seed));
        measures.extend(members.join().unwrap_or_default());
    });
    measures.extend(scheduler::measure(quick, seed));
    measures.extend(peers::links());
    measures.extend(peers::ownership(quick, seed));
    measures.extend(coordination::measure_coordination(quick, seed));
    measures.extend(changes::measure(&mut report, quick, seed));
    add_growth_bounds(&mut report, &measures);
    let (process_measures, bounds) = processes::measure_with_bounds(quick, seed);
    measures.extend(process_measures);
    report.bounds.extend(bounds);
    add_measures(
        &mut report,
        &RecordedRun::new(quick, seed, &measures),
        &measures,
    );
    report
}

fn add_growth_bounds(report: &mut Report, measures: &[Measure]) {
    for measure in measures {
        let growth = GROWTHS
            .iter()
            .find(|(name, _)| *name == measure.name)
            .map_or(Growth::Unbounded, |entry| entry.1);
        let (Some(first), Some(last)) = (measure.points.first(), measure.points.last()) else {
            continue;
        };
        let size_ratio = last.0 / first.0;
        let is_time =
            measure.unit == "us" || measure.unit == "us/s" || measure.name.contains("memory");
        let max_ratio = match growth {
            Growth::Flat => MAX_FLAT_RATIO,
            Growth::Linear => {
                size_ratio
                    * if is_time {
                        MAX_LINEAR_GROWTH_WITH_MARGIN
                    } else {
                        MAX_LINEAR_GROWTH + 0.1
                    }
            }
            Growth::Unbounded => f64::MAX,
        };
        let name = format!(
            "{}: at {} {} over {}",
            measure.name, last.0, measure.by, first.0
        );
        report
            .bounds
            .push(Bound::new(&name, measure.ratio(), 0.0, max_ratio));
    }
}

/// Adds slopes, plots, the recorded run and the tables of the capacity page to the report.
fn add_measures(report: &mut Report, recorded: &RecordedRun, measures: &[Measure]) {
    report.notes = measures.iter().map(Measure::line).collect();
    report.notes.push(String::new());
    for measure in measures {
        let row = capacity::rows()
            .into_iter()
            .find(|row| row.measure == Some(measure.name) && row.budget.is_some());
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

/// The plot of a measure. With a row that has a budget, it is in the unit of that row, by gateways
/// in the proportions of the target.
fn plot(measure: &Measure, row: Option<&capacity::Row>, recorded: &RecordedRun) -> Plot {
    let unit_suffix = |unit: &str| {
        if unit.is_empty() {
            String::new()
        } else {
            format!(", {unit}")
        }
    };
    let Some(row) = row else {
        return Plot {
            title: format!("{}{}", measure.name, unit_suffix(measure.unit)),
            x_label: measure.by.into(),
            points: measure.points.clone(),
            fit: Vec::new(),
            budget: None,
            crossing: None,
        };
    };
    let is_by_engines = measure.by == "engines";
    let gateways = |size: f64| {
        if is_by_engines {
            size * capacity::GATEWAYS / capacity::ENGINES
        } else {
            size
        }
    };
    let cost = |size: f64| {
        (
            size,
            (row.cost)(recorded, &capacity::quantities_at(gateways(size))),
        )
    };
    let sizes: Vec<f64> = measure.points.iter().map(|point| point.0).collect();
    let target = if is_by_engines {
        capacity::ENGINES
    } else {
        capacity::GATEWAYS
    };
    let last = sizes.last().copied().unwrap_or(target);
    let exceeded_at = row
        .budget_exceeded_at(recorded)
        .filter(|&gateways| !capacity::is_at_any_size(gateways));
    let crossing = exceeded_at.map(|gateways| {
        if is_by_engines {
            capacity::quantities_at(gateways).engines
        } else {
            gateways
        }
    });
    Plot {
        title: format!("{}: {}{}", row.role, row.name, unit_suffix(row.unit)),
        x_label: measure.by.into(),
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
