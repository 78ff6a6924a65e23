//! The tables of `docs/CAPACITY.md`, out of recorded slopes: what each role carries at 300 gateways and at the target,
//! and at which size its budget is passed.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::slope::{Measure, Slope, at, passes_at, short};

/// The target, and its even parts.
pub const GATEWAYS: f64 = 3800.0;
pub const ENGINES: f64 = 44_000.0;
pub const STATEMENTS: f64 = 3684.0;
pub const SESSIONS: f64 = 6053.0;
pub const CHANGES: f64 = 86_000.0 / 86_400.0;
pub const SERVERS: f64 = 40.0;
pub const RESTARTS: f64 = 8_800.0 / 86_400.0;
/// Budgets of a gateway for control: percent of a core, MB, KB a second.
const CORE: f64 = 4.5;
const MEMORY: f64 = 64.0;
const BYTES: f64 = 15.0;
/// A statement costs at most so many times what it costs at 80 engines.
const FLAT: f64 = 1.3;
const MB: f64 = 1e6;
const KB: f64 = 1e3;
/// Crossings are looked for between these sizes.
const SMALLEST: f64 = 2.0;
const LARGEST: f64 = 100_000.0;

/// The journal's connection, the listener and a log, beside clients, engines and links (`lifecycle/bounds.rs`).
const OTHER_DESCRIPTORS: f64 = 48.0;
/// A connection to an engine is kept for 0.8 of 30 s (`ivypitch_connection_pool`, and the usual idle close).
const KEPT_S: f64 = 24.0;
/// Of the subset: the most by traffic, and the gateways that hold an engine at least.
const SUBSET_MOST: f64 = 80.0;
const HOLDERS: f64 = 7.0;
/// Verdicts a second, and engines of which words are kept.
const JUDGEMENTS: f64 = 20.0;
const WORDS_ON: f64 = 1024.0;
/// Bytes of a server's link.
const SERVER_BYTES: f64 = 125e6;

/// Everything that is counted, at one size of the fleet, in the target's proportions.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    pub gateways: f64,
    pub engines: f64,
    pub peers: f64,
    /// Of a gateway, a second.
    pub statements: f64,
    pub sessions: f64,
    /// Of the fleet, a second.
    pub changes: f64,
    pub restarts: f64,
}

impl Counts {
    /// The engines that a gateway with its even part of the traffic sends to, as `rules.rs` has it (docs/design.md).
    fn subset(&self) -> f64 {
        let kept = SUBSET_MOST
            .max(HOLDERS * self.engines / self.gateways)
            .ceil();
        if kept > self.engines / 4.0 {
            self.engines
        } else {
            kept
        }
    }

    /// Part of the time that a gateway keeps a connection to an engine of these, one at least, where it takes them evenly:
    /// also the part of its statements that find one.
    fn kept(&self) -> f64 {
        1.0 - (-KEPT_S * self.statements / self.subset()).exp()
    }
}

pub fn counts(gateways: f64) -> Counts {
    let part = gateways / GATEWAYS;
    Counts {
        gateways,
        engines: ENGINES * part,
        peers: gateways - 1.0,
        statements: STATEMENTS,
        sessions: SESSIONS,
        changes: CHANGES * part,
        restarts: RESTARTS * part,
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedMeasure {
    pub role: String,
    pub what: String,
    pub unit: String,
    pub by: String,
    pub points: Vec<(f64, f64)>,
    pub is_simulated: bool,
}

/// What a run told: kept beside the page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Recorded {
    pub command: String,
    pub seed: u64,
    pub measures: Vec<RecordedMeasure>,
}

impl Recorded {
    pub fn new(quick: bool, seed: u64, measures: &[Measure]) -> Recorded {
        let quick = if quick { " --quick" } else { "" };
        let measure = |m: &Measure| RecordedMeasure {
            role: m.role.to_owned(),
            what: m.what.to_owned(),
            unit: m.unit.to_owned(),
            by: m.by.to_owned(),
            points: m.points.clone(),
            is_simulated: m.is_simulated,
        };
        Recorded {
            command: format!("ivypitch lab run scale{quick} --seed {seed}"),
            seed,
            measures: measures.iter().map(measure).collect(),
        }
    }

    fn find(&self, what: &str) -> Option<&RecordedMeasure> {
        self.measures.iter().find(|m| m.what == what)
    }

    /// A cost at a size; 0 where the run has not measured it.
    pub fn at(&self, what: &str, size: f64) -> f64 {
        self.find(what).map_or(0.0, |m| at(&m.points, size))
    }

    fn fit(&self, what: &str) -> String {
        let Some(m) = self.find(what) else {
            return "not run".into();
        };
        let Slope {
            base,
            per,
            exponent,
            residual,
        } = Slope::of(&m.points);
        let size = |p: Option<&(f64, f64)>| p.map_or(0.0, |p| p.0);
        let (unit, by) = (if m.unit.is_empty() { "" } else { " " }, &m.by);
        let sign = if per < 0.0 { '-' } else { '+' };
        format!(
            "{}{unit}{} {sign} {} x {by}, exponent {exponent:.2}, residual {residual:.2}, {:.0} to {:.0} {by}",
            short(base),
            m.unit,
            short(per.abs()),
            size(m.points.first()),
            size(m.points.last())
        )
    }
}

/// One row of a role's table.
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    pub unit: &'static str,
    /// In the counts, `c(..)` what the run measured.
    pub formula: &'static str,
    /// The measured cost in it; none: worked out.
    pub from: Option<&'static str>,
    pub cost: fn(&Recorded, &Counts) -> f64,
    pub budget: Option<fn(&Recorded) -> f64>,
    pub carried: &'static str,
}

const STATEMENT: &str = "module: processor time of a statement";
const CHANGE: &str = "module: processor time of a change of one row";
const WHOLE: &str = "module: processor time of a whole list told again";
const LIST_BYTES: &str = "journal: bytes of a whole list";
const LIST_READ: &str = "journal: processor time to read a whole list";
const ROWS: &str = "module: memory";
const MEMBERS_BYTES: &str = "members: bytes out at rest";
const MEMBERS_CPU: &str = "members: processor time at rest";
const MEMBERS_MEMORY: &str = "members: memory";
const MEMBERS_COLD: &str = "members: bytes out at a cold start of all, busiest second";
const MEMBERS_DATAGRAMS: &str = "members: datagrams out at rest";
const LINKS_BYTES: &str = "links: bytes out at rest";
const LINKS_FRAMES: &str = "links: frames out at rest";
const WITNESSES: &str = "custody: processor time to choose a statement's witnesses";
const CUSTODY_BYTES: &str = "custody: bytes of a statement";
const CUSTODY_MESSAGES: &str = "custody: messages of a statement";
const SHARES_BYTES: &str = "shares: bytes out at rest";
const SHARES_WALK: &str = "shares: processor time at rest, 300 gateways";
const SHARES_SAW: &str = "shares: processor time of a statement's outcome";
const SHARES_JUDGE: &str = "shares: processor time of a judgement, one word in ten";
const LAST_ACTS: &str = "journal: a change until the last gateway acts by it, calm";
const CHANGE_BYTES: &str =
    "journal: bytes out of all servers for a change, numbers told each second in it";

const SUBSET: &str = "a subset of engines by gateway (design.md)";
const GROUPS: &str = "none; peers by groups are to (below)";

/// What the budgets are for: a gateway's control in all, with peers, and without custody's copies of statements.
fn memory(r: &Recorded, n: &Counts) -> f64 {
    let words = 16.0 * n.gateways * n.engines.min(WORDS_ON);
    (r.at(ROWS, n.engines) + r.at(MEMBERS_MEMORY, n.gateways) + words) / MB
}

fn core(r: &Recorded, n: &Counts) -> f64 {
    let verdicts = JUDGEMENTS * n.engines.min(WORDS_ON) / 80.0 * r.at(SHARES_JUDGE, n.gateways);
    let statements = n.statements * (r.at(WITNESSES, n.gateways) + r.at(SHARES_SAW, n.engines));
    let rest = r.at(MEMBERS_CPU, n.gateways)
        + r.at(SHARES_WALK, n.engines)
        + n.changes * r.at(CHANGE, n.engines);
    (verdicts + statements + rest) * 1e-4
}

fn bytes(r: &Recorded, n: &Counts) -> f64 {
    (r.at(MEMBERS_BYTES, n.gateways)
        + r.at(LINKS_BYTES, n.gateways)
        + r.at(SHARES_BYTES, n.gateways))
        / KB
}

pub fn rows() -> Vec<Row> {
    let gateway = Row {
        role: "gateway",
        what: "",
        unit: "",
        formula: "",
        from: None,
        cost: |_, _| 0.0,
        budget: None,
        carried: "",
    };
    let of = |role, row: Row| Row { role, ..row };
    macro_rules! row {
        ($($field:ident: $value:expr),*) => { Row { $($field: $value,)* ..gateway } };
    }
    vec![
        row!(what: "processor time, a statement in the module", unit: "us", formula: "c(engines)",
            from: Some(STATEMENT), cost: |r, n| r.at(STATEMENT, n.engines),
            budget: Some(|r| FLAT * r.at(STATEMENT, 80.0)), carried: SUBSET),
        row!(what: "processor time, all statements in the module", unit: "% of a core", formula: "statements x c(engines)",
            from: Some(STATEMENT), cost: |r, n| n.statements * r.at(STATEMENT, n.engines) * 1e-4, carried: SUBSET),
        row!(what: "processor time, changes of one row", unit: "% of a core", formula: "changes x c(engines)",
            from: Some(CHANGE), cost: |r, n| n.changes * r.at(CHANGE, n.engines) * 1e-4, budget: Some(|_| CORE),
            carried: SUBSET),
        row!(what: "the module stands still for a whole list told again", unit: "ms", formula: "c(engines) + reading",
            from: Some(WHOLE),
            cost: |r, n| (r.at(WHOLE, n.engines) + r.at(LIST_READ, n.engines)) * 1e-3,
            carried: "a row is compared with what is known of it; reading takes the most"),
        row!(what: "memory, rows of engines in the module", unit: "MB", formula: "c(engines)",
            from: Some(ROWS), cost: |r, n| r.at(ROWS, n.engines) / MB, budget: Some(|_| MEMORY),
            carried: "every gateway holds every row, within the budget"),
        row!(what: "memory, a whole list as one line", unit: "MB", formula: "c(engines)",
            from: Some(LIST_BYTES), cost: |r, n| r.at(LIST_BYTES, n.engines) / MB, budget: Some(|_| MEMORY / 32.0),
            carried: "none: a line above a 32nd of the memory (taken as 64 MB here) is not read, and asked for again without end"),
        row!(what: "memory, members", unit: "MB", formula: "c(gateways)",
            from: Some(MEMBERS_MEMORY), cost: |r, n| r.at(MEMBERS_MEMORY, n.gateways) / MB, budget: Some(|_| MEMORY),
            carried: GROUPS),
        row!(what: "memory, words on engines", unit: "MB", formula: "16 bytes x gateways x min(engines, 1,024)",
            cost: |_, n| 16.0 * n.gateways * n.engines.min(WORDS_ON) / MB, budget: Some(|_| MEMORY),
            carried: "the bound of 1,024 engines: words on the others are dropped"),
        row!(what: "processor time, members", unit: "% of a core", formula: "c(gateways)",
            from: Some(MEMBERS_CPU), cost: |r, n| r.at(MEMBERS_CPU, n.gateways) * 1e-4, budget: Some(|_| CORE),
            carried: GROUPS),
        row!(what: "processor time, verdicts on engines, one word in ten known", unit: "% of a core",
            formula: "20 x min(engines, 1,024) / 80 x c(gateways)", from: Some(SHARES_JUDGE),
            cost: |r, n| JUDGEMENTS * n.engines.min(WORDS_ON) / 80.0 * r.at(SHARES_JUDGE, n.gateways) * 1e-4,
            budget: Some(|_| CORE), carried: GROUPS),
        row!(what: "processor time, shares with nothing to say", unit: "% of a core", formula: "c(engines)",
            from: Some(SHARES_WALK), cost: |r, n| r.at(SHARES_WALK, n.engines) * 1e-4, budget: Some(|_| CORE),
            carried: "none: verdicts walk all engines listed"),
        row!(what: "processor time, choosing witnesses", unit: "% of a core", formula: "statements x c(gateways)",
            from: Some(WITNESSES), cost: |r, n| n.statements * r.at(WITNESSES, n.gateways) * 1e-4,
            budget: Some(|_| CORE), carried: GROUPS),
        row!(what: "processor time, outcomes told to shares", unit: "% of a core", formula: "statements x c(engines)",
            from: Some(SHARES_SAW), cost: |r, n| n.statements * r.at(SHARES_SAW, n.engines) * 1e-4,
            budget: Some(|_| CORE), carried: "none: an outcome walks the list of engines"),
        row!(what: "bytes out, members at rest", unit: "KB/s", formula: "c(gateways)",
            from: Some(MEMBERS_BYTES), cost: |r, n| r.at(MEMBERS_BYTES, n.gateways) / KB, budget: Some(|_| BYTES),
            carried: "one question a period, whatever the size"),
        row!(what: "bytes out, members, busiest second of a cold start of all", unit: "KB/s", formula: "c(gateways)",
            from: Some(MEMBERS_COLD), cost: |r, n| r.at(MEMBERS_COLD, n.gateways) / KB, budget: Some(|_| BYTES),
            carried: GROUPS),
        row!(what: "bytes out, links at rest", unit: "KB/s", formula: "peers x 5 x (frame + 52)",
            from: Some(LINKS_BYTES), cost: |r, n| r.at(LINKS_BYTES, n.gateways) / KB, budget: Some(|_| BYTES),
            carried: GROUPS),
        row!(what: "bytes out, shares at rest", unit: "KB/s", formula: "c(gateways)",
            from: Some(SHARES_BYTES), cost: |r, n| r.at(SHARES_BYTES, n.gateways) / KB, budget: Some(|_| BYTES),
            carried: "a fixed fan-out"),
        row!(what: "bytes out, custody", unit: "KB/s", formula: "statements x c(gateways)",
            from: Some(CUSTODY_BYTES), cost: |r, n| n.statements * r.at(CUSTODY_BYTES, n.gateways) / KB,
            budget: Some(|_| BYTES), carried: "none: it grows with statements and not with the fleet"),
        row!(what: "bytes in, changes", unit: "KB/s", formula: "changes x 0.19",
            cost: |r, n| n.changes * r.at(CHANGE_BYTES, n.gateways) / n.gateways / KB, from: Some(CHANGE_BYTES),
            budget: Some(|_| BYTES), carried: "one line a change"),
        row!(what: "all of it: memory, but for the line", unit: "MB", formula: "rows + members + words",
            cost: memory, budget: Some(|_| MEMORY), carried: GROUPS),
        row!(what: "all of it: processor time, but for the module's statements and links", unit: "% of a core",
            formula: "members + verdicts + shares + witnesses + outcomes + changes",
            cost: core, budget: Some(|_| CORE), carried: GROUPS),
        row!(what: "all of it: bytes out at rest, but for custody", unit: "KB/s", formula: "members + links + shares",
            cost: bytes, budget: Some(|_| BYTES), carried: GROUPS),
        row!(what: "messages out, members, links", unit: "1/s", formula: "c(gateways)", from: Some(LINKS_FRAMES),
            cost: |r, n| r.at(MEMBERS_DATAGRAMS, n.gateways) + r.at(LINKS_FRAMES, n.gateways), carried: GROUPS),
        row!(what: "messages out, custody", unit: "1/s", formula: "statements x c(gateways)",
            from: Some(CUSTODY_MESSAGES), cost: |r, n| n.statements * r.at(CUSTODY_MESSAGES, n.gateways),
            carried: "none: it grows with statements and not with the fleet"),
        row!(what: "descriptors", unit: "", formula: "sessions + subset x kept + peers + 48",
            cost: |_, n| n.sessions + n.subset() * n.kept() + n.peers + OTHER_DESCRIPTORS,
            carried: "permits bound those to engines; links: none"),
        row!(what: "statements on a kept connection, of all, engines taken evenly", unit: "", formula: "kept = 1 - exp(-24 x statements / subset)",
            cost: |_, n| n.kept(), carried: SUBSET),
        of(
            "relay",
            row!(what: "state: the list and a day of changes", unit: "MB",
            formula: "c(engines) + 86,400 x changes x line", from: Some(LIST_BYTES),
            cost: |r, n| (r.at(LIST_BYTES, n.engines) + 86_400.0 * n.changes * r.at(LIST_BYTES, 80.0) / 80.0) / MB,
            carried: "none of ours: the journal service is the operators'"),
        ),
        of(
            "relay",
            row!(what: "bytes out a machine, changes", unit: "KB/s", formula: "changes x c(gateways) / 40",
            from: Some(CHANGE_BYTES), cost: |r, n| n.changes * r.at(CHANGE_BYTES, n.gateways) / SERVERS / KB,
            budget: Some(|_| SERVER_BYTES / KB), carried: "connections spread evenly over the machines: none of ours"),
        ),
        of(
            "relay",
            row!(what: "bytes out a machine, whole lists to gateways that restart", unit: "KB/s",
            formula: "restarts x c(engines) / 40", from: Some(LIST_BYTES),
            cost: |r, n| n.restarts * r.at(LIST_BYTES, n.engines) / SERVERS / KB,
            budget: Some(|_| SERVER_BYTES / KB), carried: "none: a whole list each"),
        ),
        of(
            "relay",
            row!(what: "descriptors a machine", unit: "", formula: "gateways / 40",
            cost: |_, n| n.gateways / SERVERS, carried: "as above"),
        ),
        of(
            "engine",
            row!(what: "gateways that send to it", unit: "", formula: "gateways x subset / engines",
            cost: |_, n| n.gateways * n.subset() / n.engines, carried: SUBSET),
        ),
        of(
            "engine",
            row!(what: "statements", unit: "1/s", formula: "gateways x statements / engines",
            cost: |_, n| n.gateways * n.statements / n.engines, carried: "the module's pick"),
        ),
        of(
            "engine",
            row!(what: "connections kept to it by all gateways", unit: "",
            formula: "gateways x subset / engines x kept",
            cost: |_, n| n.gateways * n.subset() / n.engines * n.kept(),
            carried: "one of each gateway that holds it, or as many as are out at once (`ivypitch_connection_pool`)"),
        ),
        of(
            "engine",
            row!(what: "connections begun", unit: "1/s",
            formula: "gateways x statements / engines x (1 - kept)",
            cost: |_, n| n.gateways * n.statements / n.engines * (1.0 - n.kept()),
            carried: SUBSET),
        ),
        of(
            "client",
            row!(what: "a change until the last gateway acts by it, calm", unit: "ms", formula: "c(gateways)",
            from: Some(LAST_ACTS), cost: |r, n| r.at(LAST_ACTS, n.gateways), budget: Some(|_| 6000.0),
            carried: "one feed a gateway from 40 machines"),
        ),
        of(
            "client",
            row!(what: "sessions that end with a gateway", unit: "", formula: "sessions",
            cost: |_, n| n.sessions, carried: "they come back to any other; `req` with custody"),
        ),
    ]
}

/// Passed at the smallest size that is looked at already.
pub fn is_any(size: f64) -> bool {
    size <= SMALLEST * 1.02
}

impl Row {
    /// The size of the fleet in gateways from which on the budget is passed.
    pub fn passed_at(&self, recorded: &Recorded) -> Option<f64> {
        let budget = self.budget?(recorded);
        passes_at(
            |gateways| (self.cost)(recorded, &counts(gateways)),
            budget,
            SMALLEST,
            LARGEST,
        )
    }

    fn line(&self, recorded: &Recorded) -> String {
        let cost = |gateways| short((self.cost)(recorded, &counts(gateways)));
        let from = self
            .from
            .map_or("worked out".into(), |what| recorded.fit(what));
        let budget = self
            .budget
            .map_or("-".into(), |budget| short(budget(recorded)));
        let passed = match (self.budget, self.passed_at(recorded)) {
            (None, _) => "-".into(),
            (_, None) => "not below 100,000".into(),
            (_, Some(n)) if n <= SMALLEST * 1.02 => "at any size".into(),
            (_, Some(n)) => format!("**{n:.0}** ({:.0} engines)", counts(n).engines),
        };
        let unit = if self.unit.is_empty() {
            String::new()
        } else {
            format!(", {}", self.unit)
        };
        format!(
            "| {}{unit} | {} | {from} | {} | {} | {budget} | {passed} | {} |\n",
            self.what,
            self.formula,
            cost(300.0),
            cost(GATEWAYS),
            self.carried
        )
    }
}

/// All tables as they stand on the page.
pub fn tables(recorded: &Recorded) -> String {
    let all = rows();
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
        all.iter()
            .filter(|row| row.role == role)
            .for_each(|row| text += &row.line(recorded));
    }
    let mut order: Vec<(f64, &Row)> = all
        .iter()
        .filter_map(|row| Some((row.passed_at(recorded)?, row)))
        .filter(|p| p.0 < GATEWAYS)
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    text += "\n### In the order in which budgets are passed\n\n| gateways | engines | what | target over budget |\n";
    text += "| --- | --- | --- | --- |\n";
    for (size, row) in order {
        let budget = row.budget.map_or(1.0, |budget| budget(recorded));
        let over = (row.cost)(recorded, &counts(GATEWAYS)) / budget;
        let size = if is_any(size) {
            "any".into()
        } else {
            format!("{size:.0}")
        };
        let engines = size
            .parse()
            .map_or("any".into(), |n: f64| format!("{:.0}", counts(n).engines));
        let _ = writeln!(
            text,
            "| {size} | {engines} | {}, {} | {} |",
            row.what,
            row.unit,
            short(over)
        );
    }
    text
}
