//! The own settings of gateways that talk to each other: who they are, and what becomes of work in hand.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ivypitch_coordination::shares::{MOST_ENGINES, MOST_EVENT_BYTES, MOST_EVENTS, UNITS_EACH};
use ivypitch_membership::{Roster, Seat};
use ivypitch_ownership::NoQuorumPolicy;
use ivypitch_types::Nanos;
use serde::Deserialize;

use crate::schema::{Fault, Field, Kind};

const MS: Nanos = 1_000_000;
const MOST_SEATS: usize = 1000;

const GATEWAY: &[Field] = &[
    Field {
        name: "name",
        kind: Kind::Text { longest: 64 },
        default: "",
        about: "As the gateway's own name in the platform's configuration.",
    },
    Field {
        name: "zone",
        kind: Kind::Text { longest: 64 },
        default: "\"\"",
        about: "Where it stands; witnesses of a statement are chosen over zones.",
    },
    Field {
        name: "address",
        kind: Kind::Text { longest: 64 },
        default: "",
        about: "Address and port of its datagrams and links.",
    },
];

const CUSTODY: &[Field] = &[
    Field {
        name: "enabled",
        kind: Kind::Bool,
        default: "true",
        about: "Statements in hand outlive their gateway.",
    },
    Field {
        name: "witnesses",
        kind: Kind::Whole { least: 1, most: 9 },
        default: "5",
        about: "Members that bear witness of each statement; odd.",
    },
    Field {
        name: "without_majority",
        kind: Kind::OneOf(&["refuse", "single"]),
        default: "\"refuse\"",
        about: "Non-idempotent statements while no majority of witnesses answers: not sent, or sent as without peers.",
    },
    Field {
        name: "kept_mb_a_customer",
        kind: Kind::Number {
            least: 0.0,
            most: 1e6,
        },
        default: "4",
        about: "Results kept for clients that come back, for each customer.",
    },
    Field {
        name: "remembered_ms",
        kind: Kind::Number {
            least: 100.0,
            most: 3.6e6,
        },
        default: "5000",
        about: "After its time is over a client may come back for so long.",
    },
    Field {
        name: "asks_from_ms",
        kind: Kind::Number {
            least: 0.0,
            most: 1e9,
        },
        default: "200",
        about: "Estimated work from which on witnesses are asked whether a new statement is known.",
    },
    Field {
        name: "most_statements",
        kind: Kind::Whole {
            least: 100,
            most: 10_000_000,
        },
        default: "200000",
        about: "Statements of others that this gateway bears witness of.",
    },
];

const SHARES: &[Field] = &[
    Field {
        name: "enabled",
        kind: Kind::Bool,
        default: "false",
        about: "Budgets are lent among gateways, judgements on engines and news of the roster are shared.",
    },
    Field {
        name: "floor",
        kind: Kind::Number {
            least: 0.0,
            most: 1.0,
        },
        default: "0.1",
        about: "Part of its even part of a bound that a gateway never lends.",
    },
    Field {
        name: "span_ms",
        kind: Kind::Number {
            least: 200.0,
            most: 60_000.0,
        },
        default: "2000",
        about: "Of a loan; a gateway that is cut off gets back what it lent after so long.",
    },
    Field {
        name: "drift",
        kind: Kind::Number {
            least: 0.0,
            most: 0.2,
        },
        default: "0.01",
        about: "Clocks of gateways run apart by no more than this part.",
    },
    Field {
        name: "kb_a_second",
        kind: Kind::Number {
            least: 1.0,
            most: 100_000.0,
        },
        default: "40",
        about: "Datagrams of a gateway with words on engines.",
    },
];

pub const PEERS: &[Field] = &[
    Field {
        name: "enabled",
        kind: Kind::Bool,
        default: "true",
        about: "Talk with the other gateways.",
    },
    Field {
        name: "listen",
        kind: Kind::Text { longest: 64 },
        default: "\"\"",
        about: "Where this gateway binds; left out: its address in the list.",
    },
    Field {
        name: "gateways",
        kind: Kind::List {
            of: &Kind::Record(GATEWAY),
            most: MOST_SEATS,
        },
        default: "[]",
        about: "All gateways, the same list in the same order at each.",
    },
    Field {
        name: "period_ms",
        kind: Kind::Number {
            least: 20.0,
            most: 60_000.0,
        },
        default: "100",
        about: "Each gateway asks after one other in each of these.",
    },
    Field {
        name: "suspicion_ms",
        kind: Kind::Number {
            least: 50.0,
            most: 600_000.0,
        },
        default: "280",
        about: "A suspected gateway has so long to say that it lives.",
    },
    Field {
        name: "custody",
        kind: Kind::Record(CUSTODY),
        default: "{}",
        about: "What becomes of work in hand.",
    },
    Field {
        name: "shares",
        kind: Kind::Record(SHARES),
        default: "{}",
        about: "What gateways share.",
    },
];

#[derive(Clone, Debug, Deserialize)]
pub struct OwnPeers {
    pub enabled: bool,
    listen: String,
    gateways: Vec<OwnGateway>,
    period_ms: f64,
    suspicion_ms: f64,
    pub custody: OwnCustody,
    pub shares: OwnShares,
}

#[derive(Clone, Debug, Deserialize)]
struct OwnGateway {
    name: Option<String>,
    zone: String,
    address: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct OwnCustody {
    pub enabled: bool,
    witnesses: usize,
    without_majority: String,
    kept_mb_a_customer: f64,
    remembered_ms: f64,
    asks_from_ms: f64,
    most_statements: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct OwnShares {
    pub enabled: bool,
    floor: f64,
    span_ms: f64,
    drift: f64,
    kb_a_second: f64,
}

/// Checked, for one gateway.
pub struct Peering {
    pub roster: Roster,
    pub place: u16,
    pub listen: SocketAddr,
    pub terms: ivypitch_membership::Terms,
}

impl OwnPeers {
    /// For the gateway of this name; all that is wrong with the list at once.
    pub fn peering(&self, name: &str) -> Result<Peering, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut roster = Roster::default();
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (i, gateway) in self.gateways.iter().enumerate() {
            let mut fault = |field: &str, what: String| {
                faults.push(Fault::new(format!("peers.gateways[{i}].{field}"), what));
            };
            let own = gateway.name.clone().unwrap_or_default();
            if own.is_empty() {
                fault("name", "is missing".into());
            } else if !names.insert(own.clone()) {
                fault("name", format!("{own:?} stands twice"));
            }
            let text = gateway.address.clone().unwrap_or_default();
            let address = text.parse::<SocketAddr>();
            match address {
                Ok(address) if !addresses.insert(address) => {
                    fault("address", format!("{text} stands twice"))
                }
                Ok(_) => {}
                Err(_) => fault("address", format!("{text:?} is no address and port")),
            }
            let zone = roster
                .zones
                .iter()
                .position(|zone| *zone == gateway.zone)
                .unwrap_or_else(|| {
                    roster.zones.push(gateway.zone.clone());
                    roster.zones.len() - 1
                });
            if let Ok(address) = address {
                roster.seats.push(Seat {
                    name: own,
                    zone: zone as u16,
                    address,
                });
            }
        }
        if self.custody.witnesses.is_multiple_of(2) {
            faults.push(Fault::new(
                "peers.custody.witnesses",
                "is to be odd, or a half is no majority",
            ));
        }
        let place = roster.place_of(name);
        if place.is_none() && faults.is_empty() {
            let text = format!("none of them is called {name:?}, as this gateway is");
            faults.push(Fault::new("peers.gateways", text));
        }
        let listen = match (self.listen.as_str(), place) {
            ("", place) => place.map(|place| roster.seats[usize::from(place)].address),
            (text, _) => match text.parse() {
                Ok(address) => Some(address),
                Err(_) => {
                    faults.push(Fault::new(
                        "peers.listen",
                        format!("{text:?} is no address and port"),
                    ));
                    None
                }
            },
        };
        match (place, listen) {
            (Some(place), Some(listen)) if faults.is_empty() => {
                let terms = ivypitch_membership::Terms {
                    period: ns(self.period_ms),
                    suspicion: ns(self.suspicion_ms),
                    ..ivypitch_membership::Terms::default()
                };
                Ok(Peering {
                    roster,
                    place,
                    listen,
                    terms,
                })
            }
            _ => Err(faults),
        }
    }
}

impl OwnCustody {
    /// `longest`: the longest time that a client waits in this deployment.
    pub fn terms(&self, longest: Nanos) -> ivypitch_ownership::OwnershipConfig {
        let policy = if self.without_majority == "single" {
            NoQuorumPolicy::ProceedAlone
        } else {
            NoQuorumPolicy::Reject
        };
        ivypitch_ownership::OwnershipConfig {
            voters_per_statement: self.witnesses,
            no_quorum: policy,
            max_statement_timeout: longest,
            retention: ns(self.remembered_ms),
            result_cache_bytes_per_tenant: (self.kept_mb_a_customer * f64::from(1 << 20)) as usize,
            max_entries: self.most_statements,
            ..ivypitch_ownership::OwnershipConfig::default()
        }
    }

    pub fn asks_from(&self) -> Nanos {
        ns(self.asks_from_ms)
    }
}

/// Allowances are told a second.
const A_SECOND: Nanos = 1000 * MS;

impl OwnShares {
    /// Over the gateways of the list: the cores that the teams' queues share out, then each customer's allowance.
    pub fn terms(&self, gateways: usize, tenants: &[String]) -> ivypitch_coordination::Terms {
        let terms = ivypitch_coordination::escrow::Terms {
            units: UNITS_EACH * gateways as u32,
            members: gateways as u16,
            floor: self.floor,
            window: 0,
            span: ns(self.span_ms),
            drift: self.drift,
        };
        let bound = |name: String, counts_over| ivypitch_coordination::BoundTerms {
            name,
            terms,
            counts_over,
        };
        let allowances = tenants
            .iter()
            .map(|name| bound(format!("allowance {name}"), A_SECOND));
        ivypitch_coordination::Terms {
            bounds: std::iter::once(bound("cores".into(), 0))
                .chain(allowances)
                .collect(),
            bytes_a_second: self.kb_a_second * 1000.0,
            most_engines: MOST_ENGINES,
            most_events: MOST_EVENTS,
            most_event_bytes: MOST_EVENT_BYTES,
        }
    }
}

fn ns(ms: f64) -> Nanos {
    (ms * MS as f64) as Nanos
}
