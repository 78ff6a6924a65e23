//! The project's own settings: one file of typed records, apart from the platform's JSON. Without the file every
//! feature here is off. Read here as plain JSON that has been checked; `ivypitch-config-eval` makes that of the file.

use std::collections::BTreeMap;

use ivypitch_queueing::budgets::LaneBudget;
use ivypitch_queueing::window::Way;
use ivypitch_queueing::{Budgets, TeamBudget, WorkloadTerms};
use ivypitch_types::Nanos;
use serde::Deserialize;

use crate::DeploymentConfig;
use crate::own_peers::{OwnPeers, PEERS};
use crate::schema::{self, Fault, Field, Kind, Node};

const MS: Nanos = 1_000_000;
const DAY_MS: f64 = 86_400_000.0;
const MOST_THREADS: f64 = 1e6;
const MOST_STATEMENTS: u64 = 10_000_000;

const LANE: &[Field] = &[
    Field {
        name: "most_released_threads",
        kind: Kind::Number {
            least: 0.0,
            most: MOST_THREADS,
        },
        default: "",
        about: "Threads of this team's statements of the workload that are released at once.",
    },
    Field {
        name: "most_queued",
        kind: Kind::Whole {
            least: 0,
            most: MOST_STATEMENTS,
        },
        default: "",
        about: "Statements of the workload that may wait.",
    },
    Field {
        name: "longest_wait_ms",
        kind: Kind::Number {
            least: 0.0,
            most: DAY_MS,
        },
        default: "",
        about: "In place of the workload's own.",
    },
];

const TEAM: &[Field] = &[
    Field {
        name: "share",
        kind: Kind::Number {
            least: 0.0,
            most: 1e6,
        },
        default: "1",
        about: "Weight against the other teams; 0: only what nobody else wants.",
    },
    Field {
        name: "work_cores",
        kind: Kind::Number {
            least: 0.0,
            most: MOST_THREADS,
        },
        default: "",
        about: "Core-seconds a second that it may use, at this gateway, idle neighbours or not.",
    },
    Field {
        name: "burst_core_s",
        kind: Kind::Number {
            least: 0.0,
            most: 1e9,
        },
        default: "",
        about: "Core-seconds that it may run ahead of work_cores; left out: one second of it.",
    },
    Field {
        name: "most_released_threads",
        kind: Kind::Number {
            least: 0.0,
            most: MOST_THREADS,
        },
        default: "",
        about: "Threads of its statements that are released at once.",
    },
    Field {
        name: "most_queued",
        kind: Kind::Whole {
            least: 0,
            most: MOST_STATEMENTS,
        },
        default: "",
        about: "Statements that may wait.",
    },
    Field {
        name: "most_queued_kb",
        kind: Kind::Whole {
            least: 0,
            most: 1 << 30,
        },
        default: "",
        about: "Text of the statements that may wait, in KB.",
    },
    Field {
        name: "workloads",
        kind: Kind::Named(LANE),
        default: "{}",
        about: "Bounds on single workloads of the team.",
    },
];

const WORKLOAD: &[Field] = &[
    Field {
        name: "longest_wait_ms",
        kind: Kind::Number {
            least: 0.0,
            most: DAY_MS,
        },
        default: "",
        about: "What has waited so long is rejected; left out: wait_part of the SLO time.",
    },
    Field {
        name: "slack_ms",
        kind: Kind::Number {
            least: 0.0,
            most: DAY_MS,
        },
        default: "",
        about: "Head start of others over this workload; left out: 0.4 of the SLO time over the importance.",
    },
    Field {
        name: "usual_work_ms",
        kind: Kind::Number {
            least: 0.001,
            most: DAY_MS,
        },
        default: "",
        about: "Work of a statement, all threads, until the first are over; left out: a third of the SLO time.",
    },
];

const TEAMS: &[Field] = &[
    Field {
        name: "enabled",
        kind: Kind::Bool,
        default: "true",
        about: "Queues before the module.",
    },
    Field {
        name: "show",
        kind: Kind::Bool,
        default: "false",
        about: "Clients may ask SHOW QUEUE and SHOW WAIT 'id'.",
    },
    Field {
        name: "window",
        kind: Kind::OneOf(&["gradient", "additive", "fixed"]),
        default: "\"gradient\"",
        about: "How the number of threads released at once follows what executions show.",
    },
    Field {
        name: "wait_part",
        kind: Kind::Number {
            least: 0.0,
            most: 100.0,
        },
        default: "0.4",
        about: "Part of the SLO time that a statement may wait.",
    },
    Field {
        name: "preempts_from_importance",
        kind: Kind::Number {
            least: 0.0,
            most: 1e9,
        },
        default: "8",
        about: "From this importance on, statements push out waiting ones that matter less.",
    },
    Field {
        name: "most_queued",
        kind: Kind::Whole {
            least: 0,
            most: MOST_STATEMENTS,
        },
        default: "",
        about: "Statements of all teams that may wait; left out: as many as clients may have open.",
    },
    Field {
        name: "most_queued_kb",
        kind: Kind::Whole {
            least: 0,
            most: 1 << 30,
        },
        default: "",
        about: "Text of all statements that may wait, in KB.",
    },
    Field {
        name: "workloads",
        kind: Kind::Named(WORKLOAD),
        default: "{}",
        about: "Terms by workload.",
    },
    Field {
        name: "other",
        kind: Kind::Record(TEAM),
        default: "{}",
        about: "For customers that by_name does not name.",
    },
    Field {
        name: "by_name",
        kind: Kind::Named(TEAM),
        default: "{}",
        about: "Budgets by customer.",
    },
];

const LOG: &[Field] = &[Field {
    name: "format",
    kind: Kind::OneOf(&["text", "logfmt", "json"]),
    default: "\"text\"",
    about: "How log lines are written.",
}];

/// All that the own file may hold.
pub const OWN: &[Field] = &[
    Field {
        name: "teams",
        kind: Kind::Record(TEAMS),
        default: "",
        about: "Budgets and queues by team; left out: off.",
    },
    Field {
        name: "peers",
        kind: Kind::Record(PEERS),
        default: "",
        about: "The other gateways: members, links, taking over; left out: off.",
    },
    Field {
        name: "log",
        kind: Kind::Record(LOG),
        default: "{}",
        about: "The log.",
    },
];

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Own {
    pub teams: Option<OwnTeams>,
    pub peers: Option<OwnPeers>,
    pub log: OwnLog,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct OwnLog {
    pub format: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct OwnTeams {
    pub enabled: bool,
    pub show: bool,
    window: String,
    wait_part: f64,
    preempts_from_importance: f64,
    most_queued: Option<usize>,
    most_queued_kb: Option<usize>,
    workloads: BTreeMap<String, OwnWorkload>,
    other: OwnTeam,
    by_name: BTreeMap<String, OwnTeam>,
}

#[derive(Clone, Debug, Deserialize)]
struct OwnWorkload {
    longest_wait_ms: Option<f64>,
    slack_ms: Option<f64>,
    usual_work_ms: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
struct OwnTeam {
    share: f64,
    work_cores: Option<f64>,
    burst_core_s: Option<f64>,
    most_released_threads: Option<f64>,
    most_queued: Option<usize>,
    most_queued_kb: Option<usize>,
    workloads: BTreeMap<String, OwnLane>,
}

#[derive(Clone, Debug, Deserialize)]
struct OwnLane {
    most_released_threads: Option<f64>,
    most_queued: Option<usize>,
    longest_wait_ms: Option<f64>,
}

/// Checks the form of a file's value: the whole of it as plain JSON, or all faults.
pub fn check(node: &Node) -> Result<serde_json::Value, Vec<Fault>> {
    schema::check(OWN, node)
}

/// Reads plain JSON, checked or not: it is checked here again.
pub fn read(text: &[u8]) -> Result<Own, Vec<Fault>> {
    let one = |what: String| vec![Fault::new("", what)];
    let value: serde_json::Value = serde_json::from_slice(text).map_err(|e| one(e.to_string()))?;
    let whole = check(&Node::of_json(&value))?;
    serde_json::from_value(whole).map_err(|e| one(e.to_string()))
}

fn ns(ms: f64) -> Nanos {
    (ms * MS as f64) as Nanos
}

impl OwnTeams {
    /// The budgets for a deployment: `places` statements may be open at once. Names that the deployment does not
    /// have are faults.
    pub fn budgets(&self, given: &DeploymentConfig, places: usize) -> Result<Budgets, Vec<Fault>> {
        let (facts, names) = (&given.facts, &given.names);
        let mut faults = Vec::new();
        let mut known = |path: &str, name: &String, names: &[String], what: &str| {
            if !names.contains(name) {
                let all = if names.is_empty() {
                    "none".to_owned()
                } else {
                    names.join(", ")
                };
                let text = format!("the deployment has no {what} of that name; it has {all}");
                faults.push(Fault::new(format!("{path}.{name}"), text));
            }
        };
        for name in self.workloads.keys() {
            known("teams.workloads", name, &names.workloads, "workload");
        }
        for (team, own) in &self.by_name {
            known("teams.by_name", team, &names.tenants, "customer");
            for name in own.workloads.keys() {
                let path = format!("teams.by_name.{team}.workloads");
                known(&path, name, &names.workloads, "workload");
            }
        }
        for name in self.other.workloads.keys() {
            known("teams.other.workloads", name, &names.workloads, "workload");
        }
        if facts.workloads.is_empty() {
            faults.push(Fault::new("teams", "the deployment has no workloads"));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let least = facts
            .workloads
            .iter()
            .map(|w| w.priority_weight)
            .fold(f64::INFINITY, f64::min);
        let workloads = facts
            .workloads
            .iter()
            .zip(&names.workloads)
            .map(|(facts, name)| {
                let own = self.workloads.get(name);
                let stated = |of: fn(&OwnWorkload) -> Option<f64>| own.and_then(of).map(ns);
                let in_order =
                    WorkloadTerms::slack_of(facts.latency_objective, facts.priority_weight, least);
                let by_part = (facts.latency_objective as f64 * self.wait_part) as Nanos;
                WorkloadTerms {
                    priority_weight: facts.priority_weight,
                    latency_objective: facts.latency_objective,
                    threads: facts.threads,
                    is_load: facts.is_bulk_load,
                    usual_work: stated(|own| own.usual_work_ms)
                        .unwrap_or(facts.latency_objective / 3),
                    slack: stated(|own| own.slack_ms).unwrap_or(in_order),
                    longest_wait: stated(|own| own.longest_wait_ms).unwrap_or(by_part),
                }
            });
        let team = |name: &String| {
            self.by_name
                .get(name)
                .unwrap_or(&self.other)
                .budget(&names.workloads)
        };
        Ok(Budgets {
            workloads: workloads.collect(),
            teams: names.tenants.iter().map(team).collect(),
            other: self.other.budget(&names.workloads),
            most_queued: self.most_queued.unwrap_or(places),
            most_queued_bytes: bytes(self.most_queued_kb),
            preempts_from: self.preempts_from_importance,
            longest_come_back: if facts.honors_retry_after {
                facts.max_retry_after
            } else {
                0
            },
            window: match self.window.as_str() {
                "fixed" => Way::Fixed,
                "additive" => Way::Additive,
                _ => Way::Gradient,
            },
        })
    }
}

fn bytes(kb: Option<usize>) -> usize {
    kb.map_or(usize::MAX, |kb| kb.saturating_mul(1024))
}

impl OwnTeam {
    fn budget(&self, workloads: &[String]) -> TeamBudget {
        let lane = |name: &String| {
            self.workloads
                .get(name)
                .map_or_else(LaneBudget::default, |own| LaneBudget {
                    most_released: own.most_released_threads.unwrap_or(f64::INFINITY),
                    most_queued: own.most_queued.unwrap_or(usize::MAX),
                    longest_wait: own.longest_wait_ms.map(ns),
                })
        };
        let work_per_s = self.work_cores.unwrap_or(f64::INFINITY);
        TeamBudget {
            share: self.share,
            work_per_s,
            burst: self.burst_core_s.unwrap_or(work_per_s),
            most_released: self.most_released_threads.unwrap_or(f64::INFINITY),
            most_queued: self.most_queued.unwrap_or(usize::MAX),
            most_queued_bytes: bytes(self.most_queued_kb),
            lanes: workloads.iter().map(lane).collect(),
        }
    }
}
