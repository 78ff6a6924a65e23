//! The tables of `docs/CAPACITY.md`, computed from a recorded run: the load on each role at 300
//! gateways and at the target, and the size at which its budget is exceeded.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::slope::{Measure, Slope, budget_exceeded_at, cost_at, format_short};

/// Gateways of the target.
pub const GATEWAYS: f64 = 3800.0;
/// Engines of the target.
pub const ENGINES: f64 = 44_000.0;
/// Statements per second and gateway.
pub const STATEMENTS: f64 = 3684.0;
/// Sessions per gateway.
pub const SESSIONS: f64 = 6053.0;
/// Endpoint changes per second.
pub const CHANGES: f64 = 86_000.0 / 86_400.0;
/// Servers of the endpoint watch.
pub const SERVERS: f64 = 40.0;
/// Gateway restarts per second.
pub const RESTARTS: f64 = 8_800.0 / 86_400.0;
/// Budget of a gateway for control traffic: percent of a core.
const CPU_BUDGET_PERCENT: f64 = 4.5;
/// Budget of a gateway for control state.
const MEMORY_BUDGET_MB: f64 = 64.0;
/// Budget of a gateway for control traffic.
const BYTES_BUDGET_KB_PER_S: f64 = 15.0;
/// Maximum ratio of the cost of a statement to that at 80 engines.
const MAX_STATEMENT_COST_RATIO: f64 = 1.3;
const MB: f64 = 1e6;
const KB: f64 = 1e3;
/// Smallest number of gateways at which a budget may be exceeded.
const MIN_GATEWAYS: f64 = 2.0;
/// Largest number of gateways that is searched.
const MAX_GATEWAYS: f64 = 100_000.0;

/// Descriptors other than those of clients, engines and links: endpoint watch, listener and log
/// (`lifecycle/bounds.rs`).
const OTHER_DESCRIPTORS: f64 = 48.0;
/// Time that an idle connection to an engine is kept: 0.8 of the usual idle timeout of 30 s
/// (`ivypitch_connection_pool`).
const CONNECTION_KEEP_S: f64 = 24.0;
/// Maximum engines of a subset as determined by traffic.
const MAX_SUBSET_BY_TRAFFIC: f64 = 80.0;
/// Minimum gateways that have an engine in their subset.
const MIN_GATEWAYS_PER_ENGINE: f64 = 7.0;
/// Evaluations of engine health per second.
const EVALUATIONS_PER_S: f64 = 20.0;
/// Maximum engines of which observations are kept.
const MAX_OBSERVED_ENGINES: f64 = 1024.0;
/// Bandwidth of a server.
const SERVER_LINK_BYTES_PER_S: f64 = 125e6;

/// The quantities that determine costs, at one size of the fleet and in the proportions of the
/// target.
#[derive(Clone, Copy, Debug)]
pub struct Quantities {
    pub gateways: f64,
    pub engines: f64,
    pub peers: f64,
    /// Per gateway and second.
    pub statements: f64,
    /// Per gateway.
    pub sessions: f64,
    /// Per second in the fleet.
    pub changes: f64,
    /// Per second in the fleet.
    pub restarts: f64,
}

impl Quantities {
    /// Engines that a gateway with an equal part of the traffic sends to, by the rule in `rules.rs`
    /// (docs/design.md).
    fn subset_size(&self) -> f64 {
        let subset = MAX_SUBSET_BY_TRAFFIC
            .max(MIN_GATEWAYS_PER_ENGINE * self.engines / self.gateways)
            .ceil();
        if subset > self.engines / 4.0 {
            self.engines
        } else {
            subset
        }
    }

    /// Fraction of the time that a gateway has at least one open connection to an engine of its
    /// subset, with statements spread evenly. It equals the fraction of statements that find an
    /// open connection.
    fn open_connection_ratio(&self) -> f64 {
        1.0 - (-CONNECTION_KEEP_S * self.statements / self.subset_size()).exp()
    }
}

/// The quantities at this number of gateways.
pub fn quantities_at(gateways: f64) -> Quantities {
    let ratio = gateways / GATEWAYS;
    Quantities {
        gateways,
        engines: ENGINES * ratio,
        peers: gateways - 1.0,
        statements: STATEMENTS,
        sessions: SESSIONS,
        changes: CHANGES * ratio,
        restarts: RESTARTS * ratio,
    }
}

/// A measure of a recorded run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedMeasure {
    pub role: String,
    #[serde(rename = "what")]
    pub name: String,
    pub unit: String,
    pub by: String,
    pub points: Vec<(f64, f64)>,
    pub is_simulated: bool,
}

/// The measures of a run, stored next to the capacity page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedRun {
    pub command: String,
    pub seed: u64,
    pub measures: Vec<RecordedMeasure>,
}

impl RecordedRun {
    /// Records the measures of a run.
    pub fn new(quick: bool, seed: u64, measures: &[Measure]) -> RecordedRun {
        let quick = if quick { " --quick" } else { "" };
        let record = |measure: &Measure| RecordedMeasure {
            role: measure.role.to_owned(),
            name: measure.name.to_owned(),
            unit: measure.unit.to_owned(),
            by: measure.by.to_owned(),
            points: measure.points.clone(),
            is_simulated: measure.is_simulated,
        };
        RecordedRun {
            command: format!("ivypitch lab run scale{quick} --seed {seed}"),
            seed,
            measures: measures.iter().map(record).collect(),
        }
    }

    fn find(&self, name: &str) -> Option<&RecordedMeasure> {
        self.measures.iter().find(|measure| measure.name == name)
    }

    /// A cost at a size; 0 if the run has not measured it.
    pub fn cost_at(&self, name: &str, size: f64) -> f64 {
        self.find(name)
            .map_or(0.0, |measure| cost_at(&measure.points, size))
    }

    /// The fitted line of a measure as text.
    fn fit_text(&self, name: &str) -> String {
        let Some(measure) = self.find(name) else {
            return "not run".into();
        };
        let Slope {
            base,
            per_unit,
            exponent,
            residual,
        } = Slope::of(&measure.points);
        let size = |point: Option<&(f64, f64)>| point.map_or(0.0, |point| point.0);
        let (unit, by) = (if measure.unit.is_empty() { "" } else { " " }, &measure.by);
        let sign = if per_unit < 0.0 { '-' } else { '+' };
        format!(
            "{}{unit}{} {sign} {} x {by}, exponent {exponent:.2}, residual {residual:.2}, {:.0} to {:.0} {by}",
            format_short(base),
            measure.unit,
            format_short(per_unit.abs()),
            size(measure.points.first()),
            size(measure.points.last())
        )
    }
}

/// One row of a role's table.
pub struct Row {
    pub role: &'static str,
    pub name: &'static str,
    pub unit: &'static str,
    /// The cost in terms of the quantities; `c(..)` is the measured cost.
    pub formula: &'static str,
    /// Name of the measure in the formula; `None`: the cost is computed without one.
    pub measure: Option<&'static str>,
    pub cost: fn(&RecordedRun, &Quantities) -> f64,
    pub budget: Option<fn(&RecordedRun) -> f64>,
    /// What limits the cost.
    pub limited_by: &'static str,
}

const STATEMENT_US: &str = "module: processor time of a statement";
const CHANGE_US: &str = "module: processor time of a change of one row";
const FULL_LIST_US: &str = "module: processor time of a whole list told again";
const LIST_BYTES: &str = "journal: bytes of a whole list";
const LIST_PARSE_US: &str = "journal: processor time to read a whole list";
const SCHEDULER_MEMORY: &str = "module: memory";
const MEMBERS_BYTES: &str = "members: bytes out at rest";
const MEMBERS_CPU: &str = "members: processor time at rest";
const MEMBERS_MEMORY: &str = "members: memory";
const MEMBERS_COLD_START_BYTES: &str = "members: bytes out at a cold start of all, busiest second";
const MEMBERS_DATAGRAMS: &str = "members: datagrams out at rest";
const LINKS_BYTES: &str = "links: bytes out at rest";
const LINKS_FRAMES: &str = "links: frames out at rest";
const VOTER_ASSIGNMENT_US: &str = "custody: processor time to choose a statement's witnesses";
const OWNERSHIP_BYTES: &str = "custody: bytes of a statement";
const OWNERSHIP_MESSAGES: &str = "custody: messages of a statement";
const COORDINATION_BYTES: &str = "shares: bytes out at rest";
const COORDINATION_CPU: &str = "shares: processor time at rest, 300 gateways";
const OUTCOME_US: &str = "shares: processor time of a statement's outcome";
const EVALUATION_US: &str = "shares: processor time of a judgement, one word in ten";
const CHANGE_LATENCY: &str = "journal: a change until the last gateway acts by it, calm";
const CHANGE_BYTES: &str =
    "journal: bytes out of all servers for a change, numbers told each second in it";

const ENGINE_SUBSET: &str = "a subset of engines by gateway (design.md)";
const NO_LIMIT_BEFORE_PEER_GROUPS: &str = "none; peers by groups are to (below)";

/// Memory of a gateway for control with peers, without the copies of statements for ownership, in
/// MB.
fn control_memory_mb(run: &RecordedRun, q: &Quantities) -> f64 {
    let observations = 16.0 * q.gateways * q.engines.min(MAX_OBSERVED_ENGINES);
    (run.cost_at(SCHEDULER_MEMORY, q.engines)
        + run.cost_at(MEMBERS_MEMORY, q.gateways)
        + observations)
        / MB
}

/// Processor time of a gateway for control, in percent of a core.
fn control_cpu_percent(run: &RecordedRun, q: &Quantities) -> f64 {
    let evaluations = EVALUATIONS_PER_S * q.engines.min(MAX_OBSERVED_ENGINES) / 80.0
        * run.cost_at(EVALUATION_US, q.gateways);
    let statements = q.statements
        * (run.cost_at(VOTER_ASSIGNMENT_US, q.gateways) + run.cost_at(OUTCOME_US, q.engines));
    let rest = run.cost_at(MEMBERS_CPU, q.gateways)
        + run.cost_at(COORDINATION_CPU, q.engines)
        + q.changes * run.cost_at(CHANGE_US, q.engines);
    (evaluations + statements + rest) * 1e-4
}

/// Bytes out of a gateway for control at rest, in KB/s.
fn control_kb_per_s(run: &RecordedRun, q: &Quantities) -> f64 {
    (run.cost_at(MEMBERS_BYTES, q.gateways)
        + run.cost_at(LINKS_BYTES, q.gateways)
        + run.cost_at(COORDINATION_BYTES, q.gateways))
        / KB
}

/// The rows of all tables.
pub fn rows() -> Vec<Row> {
    let gateway = Row {
        role: "gateway",
        name: "",
        unit: "",
        formula: "",
        measure: None,
        cost: |_, _| 0.0,
        budget: None,
        limited_by: "",
    };
    let with_role = |role, row: Row| Row { role, ..row };
    macro_rules! row {
        ($($field:ident: $value:expr),*) => { Row { $($field: $value,)* ..gateway } };
    }
    vec![
        row!(name: "processor time, a statement in the module", unit: "us", formula: "c(engines)",
            measure: Some(STATEMENT_US), cost: |run, q| run.cost_at(STATEMENT_US, q.engines),
            budget: Some(|run| MAX_STATEMENT_COST_RATIO * run.cost_at(STATEMENT_US, 80.0)), limited_by: ENGINE_SUBSET),
        row!(name: "processor time, all statements in the module", unit: "% of a core", formula: "statements x c(engines)",
            measure: Some(STATEMENT_US), cost: |run, q| q.statements * run.cost_at(STATEMENT_US, q.engines) * 1e-4, limited_by: ENGINE_SUBSET),
        row!(name: "processor time, changes of one row", unit: "% of a core", formula: "changes x c(engines)",
            measure: Some(CHANGE_US), cost: |run, q| q.changes * run.cost_at(CHANGE_US, q.engines) * 1e-4, budget: Some(|_| CPU_BUDGET_PERCENT),
            limited_by: ENGINE_SUBSET),
        row!(name: "the module stands still for a whole list told again", unit: "ms", formula: "c(engines) + reading",
            measure: Some(FULL_LIST_US),
            cost: |run, q| (run.cost_at(FULL_LIST_US, q.engines) + run.cost_at(LIST_PARSE_US, q.engines)) * 1e-3,
            limited_by: "a row is compared with what is known of it; reading takes the most"),
        row!(name: "memory, rows of engines in the module", unit: "MB", formula: "c(engines)",
            measure: Some(SCHEDULER_MEMORY), cost: |run, q| run.cost_at(SCHEDULER_MEMORY, q.engines) / MB, budget: Some(|_| MEMORY_BUDGET_MB),
            limited_by: "every gateway holds every row, within the budget"),
        row!(name: "memory, a whole list as one line", unit: "MB", formula: "c(engines)",
            measure: Some(LIST_BYTES), cost: |run, q| run.cost_at(LIST_BYTES, q.engines) / MB, budget: Some(|_| MEMORY_BUDGET_MB / 32.0),
            limited_by: "none: a line above a 32nd of the memory (taken as 64 MB here) is not read, and asked for again without end"),
        row!(name: "memory, members", unit: "MB", formula: "c(gateways)",
            measure: Some(MEMBERS_MEMORY), cost: |run, q| run.cost_at(MEMBERS_MEMORY, q.gateways) / MB, budget: Some(|_| MEMORY_BUDGET_MB),
            limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "memory, words on engines", unit: "MB", formula: "16 bytes x gateways x min(engines, 1,024)",
            cost: |_, q| 16.0 * q.gateways * q.engines.min(MAX_OBSERVED_ENGINES) / MB, budget: Some(|_| MEMORY_BUDGET_MB),
            limited_by: "the bound of 1,024 engines: words on the others are dropped"),
        row!(name: "processor time, members", unit: "% of a core", formula: "c(gateways)",
            measure: Some(MEMBERS_CPU), cost: |run, q| run.cost_at(MEMBERS_CPU, q.gateways) * 1e-4, budget: Some(|_| CPU_BUDGET_PERCENT),
            limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "processor time, verdicts on engines, one word in ten known", unit: "% of a core",
            formula: "20 x min(engines, 1,024) / 80 x c(gateways)", measure: Some(EVALUATION_US),
            cost: |run, q| EVALUATIONS_PER_S * q.engines.min(MAX_OBSERVED_ENGINES) / 80.0 * run.cost_at(EVALUATION_US, q.gateways) * 1e-4,
            budget: Some(|_| CPU_BUDGET_PERCENT), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "processor time, shares with nothing to say", unit: "% of a core", formula: "c(engines)",
            measure: Some(COORDINATION_CPU), cost: |run, q| run.cost_at(COORDINATION_CPU, q.engines) * 1e-4, budget: Some(|_| CPU_BUDGET_PERCENT),
            limited_by: "none: verdicts walk all engines listed"),
        row!(name: "processor time, choosing witnesses", unit: "% of a core", formula: "statements x c(gateways)",
            measure: Some(VOTER_ASSIGNMENT_US), cost: |run, q| q.statements * run.cost_at(VOTER_ASSIGNMENT_US, q.gateways) * 1e-4,
            budget: Some(|_| CPU_BUDGET_PERCENT), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "processor time, outcomes told to shares", unit: "% of a core", formula: "statements x c(engines)",
            measure: Some(OUTCOME_US), cost: |run, q| q.statements * run.cost_at(OUTCOME_US, q.engines) * 1e-4,
            budget: Some(|_| CPU_BUDGET_PERCENT), limited_by: "none: an outcome walks the list of engines"),
        row!(name: "bytes out, members at rest", unit: "KB/s", formula: "c(gateways)",
            measure: Some(MEMBERS_BYTES), cost: |run, q| run.cost_at(MEMBERS_BYTES, q.gateways) / KB, budget: Some(|_| BYTES_BUDGET_KB_PER_S),
            limited_by: "one question a period, whatever the size"),
        row!(name: "bytes out, members, busiest second of a cold start of all", unit: "KB/s", formula: "c(gateways)",
            measure: Some(MEMBERS_COLD_START_BYTES), cost: |run, q| run.cost_at(MEMBERS_COLD_START_BYTES, q.gateways) / KB, budget: Some(|_| BYTES_BUDGET_KB_PER_S),
            limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "bytes out, links at rest", unit: "KB/s", formula: "peers x 5 x (frame + 52)",
            measure: Some(LINKS_BYTES), cost: |run, q| run.cost_at(LINKS_BYTES, q.gateways) / KB, budget: Some(|_| BYTES_BUDGET_KB_PER_S),
            limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "bytes out, shares at rest", unit: "KB/s", formula: "c(gateways)",
            measure: Some(COORDINATION_BYTES), cost: |run, q| run.cost_at(COORDINATION_BYTES, q.gateways) / KB, budget: Some(|_| BYTES_BUDGET_KB_PER_S),
            limited_by: "a fixed fan-out"),
        row!(name: "bytes out, custody", unit: "KB/s", formula: "statements x c(gateways)",
            measure: Some(OWNERSHIP_BYTES), cost: |run, q| q.statements * run.cost_at(OWNERSHIP_BYTES, q.gateways) / KB,
            budget: Some(|_| BYTES_BUDGET_KB_PER_S), limited_by: "none: it grows with statements and not with the fleet"),
        row!(name: "bytes in, changes", unit: "KB/s", formula: "changes x 0.19",
            cost: |run, q| q.changes * run.cost_at(CHANGE_BYTES, q.gateways) / q.gateways / KB, measure: Some(CHANGE_BYTES),
            budget: Some(|_| BYTES_BUDGET_KB_PER_S), limited_by: "one line a change"),
        row!(name: "all of it: memory, but for the line", unit: "MB", formula: "rows + members + words",
            cost: control_memory_mb, budget: Some(|_| MEMORY_BUDGET_MB), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "all of it: processor time, but for the module's statements and links", unit: "% of a core",
            formula: "members + verdicts + shares + witnesses + outcomes + changes",
            cost: control_cpu_percent, budget: Some(|_| CPU_BUDGET_PERCENT), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "all of it: bytes out at rest, but for custody", unit: "KB/s", formula: "members + links + shares",
            cost: control_kb_per_s, budget: Some(|_| BYTES_BUDGET_KB_PER_S), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "messages out, members, links", unit: "1/s", formula: "c(gateways)", measure: Some(LINKS_FRAMES),
            cost: |run, q| run.cost_at(MEMBERS_DATAGRAMS, q.gateways) + run.cost_at(LINKS_FRAMES, q.gateways), limited_by: NO_LIMIT_BEFORE_PEER_GROUPS),
        row!(name: "messages out, custody", unit: "1/s", formula: "statements x c(gateways)",
            measure: Some(OWNERSHIP_MESSAGES), cost: |run, q| q.statements * run.cost_at(OWNERSHIP_MESSAGES, q.gateways),
            limited_by: "none: it grows with statements and not with the fleet"),
        row!(name: "descriptors", unit: "", formula: "sessions + subset x kept + peers + 48",
            cost: |_, q| q.sessions + q.subset_size() * q.open_connection_ratio() + q.peers + OTHER_DESCRIPTORS,
            limited_by: "permits bound those to engines; links: none"),
        row!(name: "statements on a kept connection, of all, engines taken evenly", unit: "", formula: "kept = 1 - exp(-24 x statements / subset)",
            cost: |_, q| q.open_connection_ratio(), limited_by: ENGINE_SUBSET),
        with_role(
            "relay",
            row!(name: "state: the list and a day of changes", unit: "MB",
            formula: "c(engines) + 86,400 x changes x line", measure: Some(LIST_BYTES),
            cost: |run, q| (run.cost_at(LIST_BYTES, q.engines) + 86_400.0 * q.changes * run.cost_at(LIST_BYTES, 80.0) / 80.0) / MB,
            limited_by: "none of ours: the journal service is the operators'"),
        ),
        with_role(
            "relay",
            row!(name: "bytes out a machine, changes", unit: "KB/s", formula: "changes x c(gateways) / 40",
            measure: Some(CHANGE_BYTES), cost: |run, q| q.changes * run.cost_at(CHANGE_BYTES, q.gateways) / SERVERS / KB,
            budget: Some(|_| SERVER_LINK_BYTES_PER_S / KB), limited_by: "connections spread evenly over the machines: none of ours"),
        ),
        with_role(
            "relay",
            row!(name: "bytes out a machine, whole lists to gateways that restart", unit: "KB/s",
            formula: "restarts x c(engines) / 40", measure: Some(LIST_BYTES),
            cost: |run, q| q.restarts * run.cost_at(LIST_BYTES, q.engines) / SERVERS / KB,
            budget: Some(|_| SERVER_LINK_BYTES_PER_S / KB), limited_by: "none: a whole list each"),
        ),
        with_role(
            "relay",
            row!(name: "descriptors a machine", unit: "", formula: "gateways / 40",
            cost: |_, q| q.gateways / SERVERS, limited_by: "as above"),
        ),
        with_role(
            "engine",
            row!(name: "gateways that send to it", unit: "", formula: "gateways x subset / engines",
            cost: |_, q| q.gateways * q.subset_size() / q.engines, limited_by: ENGINE_SUBSET),
        ),
        with_role(
            "engine",
            row!(name: "statements", unit: "1/s", formula: "gateways x statements / engines",
            cost: |_, q| q.gateways * q.statements / q.engines, limited_by: "the module's pick"),
        ),
        with_role(
            "engine",
            row!(name: "connections kept to it by all gateways", unit: "",
            formula: "gateways x subset / engines x kept",
            cost: |_, q| q.gateways * q.subset_size() / q.engines * q.open_connection_ratio(),
            limited_by: "one of each gateway that holds it, or as many as are out at once (`ivypitch_connection_pool`)"),
        ),
        with_role(
            "engine",
            row!(name: "connections begun", unit: "1/s",
            formula: "gateways x statements / engines x (1 - kept)",
            cost: |_, q| q.gateways * q.statements / q.engines * (1.0 - q.open_connection_ratio()),
            limited_by: ENGINE_SUBSET),
        ),
        with_role(
            "client",
            row!(name: "a change until the last gateway acts by it, calm", unit: "ms", formula: "c(gateways)",
            measure: Some(CHANGE_LATENCY), cost: |run, q| run.cost_at(CHANGE_LATENCY, q.gateways), budget: Some(|_| 6000.0),
            limited_by: "one feed a gateway from 40 machines"),
        ),
        with_role(
            "client",
            row!(name: "sessions that end with a gateway", unit: "", formula: "sessions",
            cost: |_, q| q.sessions, limited_by: "they come back to any other; `req` with custody"),
        ),
    ]
}

/// The budget is exceeded even at the smallest size that is searched.
pub fn is_at_any_size(size: f64) -> bool {
    size <= MIN_GATEWAYS * 1.02
}

impl Row {
    /// The number of gateways from which on the budget is exceeded.
    pub fn budget_exceeded_at(&self, recorded: &RecordedRun) -> Option<f64> {
        let budget = self.budget?(recorded);
        budget_exceeded_at(
            |gateways| (self.cost)(recorded, &quantities_at(gateways)),
            budget,
            MIN_GATEWAYS,
            MAX_GATEWAYS,
        )
    }

    /// The row as a line of a Markdown table.
    fn table_line(&self, recorded: &RecordedRun) -> String {
        let cost = |gateways| format_short((self.cost)(recorded, &quantities_at(gateways)));
        let fit = self
            .measure
            .map_or("worked out".into(), |name| recorded.fit_text(name));
        let budget = self
            .budget
            .map_or("-".into(), |budget| format_short(budget(recorded)));
        let exceeded_at = match (self.budget, self.budget_exceeded_at(recorded)) {
            (None, _) => "-".into(),
            (_, None) => "not below 100,000".into(),
            (_, Some(gateways)) if gateways <= MIN_GATEWAYS * 1.02 => "at any size".into(),
            (_, Some(gateways)) => format!(
                "**{gateways:.0}** ({:.0} engines)",
                quantities_at(gateways).engines
            ),
        };
        let unit = if self.unit.is_empty() {
            String::new()
        } else {
            format!(", {}", self.unit)
        };
        format!(
            "| {}{unit} | {} | {fit} | {} | {} | {budget} | {exceeded_at} | {} |\n",
            self.name,
            self.formula,
            cost(300.0),
            cost(GATEWAYS),
            self.limited_by
        )
    }
}

/// All tables as they appear on the capacity page.
pub fn tables(recorded: &RecordedRun) -> String {
    let rows = rows();
    let mut text = format!("Run: `{}`, virtual time.\n", recorded.command);
    for (role, title) in [
        ("gateway", "A gateway"),
        ("relay", "One of the 40 machines that serve the journal"),
        ("engine", "An engine, as gateways meet it"),
        ("client", "A client"),
    ] {
        let _ = writeln!(text, "\n### {title}\n");
        text += "| what | formula | c, from the run | 300 gateways | target | budget | passed at, gateways | carried by |\n";
        text += "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
        rows.iter()
            .filter(|row| row.role == role)
            .for_each(|row| text += &row.table_line(recorded));
    }
    let mut exceeded: Vec<(f64, &Row)> = rows
        .iter()
        .filter_map(|row| Some((row.budget_exceeded_at(recorded)?, row)))
        .filter(|entry| entry.0 < GATEWAYS)
        .collect();
    exceeded.sort_by(|a, b| a.0.total_cmp(&b.0));
    text += "\n### In the order in which budgets are passed\n\n| gateways | engines | what | target over budget |\n";
    text += "| --- | --- | --- | --- |\n";
    for (size, row) in exceeded {
        let budget = row.budget.map_or(1.0, |budget| budget(recorded));
        let budget_ratio = (row.cost)(recorded, &quantities_at(GATEWAYS)) / budget;
        let size = if is_at_any_size(size) {
            "any".into()
        } else {
            format!("{size:.0}")
        };
        let engines = size.parse().map_or("any".into(), |gateways: f64| {
            format!("{:.0}", quantities_at(gateways).engines)
        });
        let _ = writeln!(
            text,
            "| {size} | {engines} | {}, {} | {} |",
            row.name,
            row.unit,
            format_short(budget_ratio)
        );
    }
    text
}
