//! Settings of gateways that exchange messages: the member list, ownership and coordination.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ivypitch_coordination::{
    CoordinationConfig, MAX_OBSERVED_ENGINES, MAX_RETAINED_EVENT_BYTES, MAX_RETAINED_EVENTS,
    QuotaLeaseConfig, SharedQuotaConfig, UNITS_PER_MEMBER,
};
use ivypitch_membership::{MemberAddress, MemberList, MembershipConfig};
use ivypitch_ownership::{NoQuorumPolicy, OwnershipConfig};
use ivypitch_types::{MemberId, Nanos, SECOND};

use super::nanos_from_millis;
use crate::schema::{Kind, Problem, SettingsError, settings_record};

const MAX_MEMBERS: usize = 1000;
const BYTES_PER_MB: f64 = (1 << 20) as f64;
const BYTES_PER_KB: f64 = 1000.0;

const NAME: Kind = Kind::Text { max_bytes: 64 };

settings_record! {
    /// One gateway of the member list.
    struct MemberSettings, MEMBER_FIELDS {
        /// As the gateway's own name in the platform's configuration.
        "name" => name: Option<String>, NAME, default "";
        /// Where it stands; witnesses of a statement are chosen over zones.
        "zone" => zone: String, NAME, default "\"\"";
        /// Address and port of its datagrams and links.
        "address" => address: Option<String>, NAME, default "";
    }
}

settings_record! {
    /// Ownership of statements in flight.
    pub struct OwnershipSettings, OWNERSHIP_FIELDS {
        /// Statements in hand outlive their gateway.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Members that bear witness of each statement; odd.
        "witnesses" => voters: usize, Kind::Integer { min: 1, max: 9 }, default "5";
        /// Non-idempotent statements while no majority of witnesses answers: not sent, or sent as without peers.
        "without_majority" => without_quorum: String,
            Kind::OneOf(&["refuse", "single"]), default "\"refuse\"";
        /// Results kept for clients that come back, for each customer.
        "kept_mb_a_customer" => result_cache_mb_per_tenant: f64,
            Kind::Number { min: 0.0, max: 1e6 }, default "4";
        /// After its time is over a client may come back for so long.
        "remembered_ms" => retention_ms: f64,
            Kind::Number { min: 100.0, max: 3.6e6 }, default "5000";
        /// Estimated work from which on witnesses are asked whether a new statement is known.
        "asks_from_ms" => min_lookup_work_ms: f64,
            Kind::Number { min: 0.0, max: 1e9 }, default "200";
        /// Statements of others that this gateway bears witness of.
        "most_statements" => max_voted_statements: usize,
            Kind::Integer { min: 100, max: 10_000_000 }, default "200000";
    }
}

settings_record! {
    /// Coordination of quotas and engine health.
    pub struct CoordinationSettings, COORDINATION_FIELDS {
        /// Budgets are lent among gateways, judgements on engines and news of the roster are shared.
        "enabled" => pub enabled: bool, Kind::Bool, default "false";
        /// Part of its even part of a bound that a gateway never lends.
        "floor" => reserved_fraction: f64, Kind::Number { min: 0.0, max: 1.0 }, default "0.1";
        /// Of a loan; a gateway that is cut off gets back what it lent after so long.
        "span_ms" => lease_ms: f64, Kind::Number { min: 200.0, max: 60_000.0 }, default "2000";
        /// Clocks of gateways run apart by no more than this part.
        "drift" => max_clock_drift: f64, Kind::Number { min: 0.0, max: 0.2 }, default "0.01";
        /// Datagrams of a gateway with words on engines.
        "kb_a_second" => gossip_kb_per_second: f64,
            Kind::Number { min: 1.0, max: 100_000.0 }, default "40";
    }
}

settings_record! {
    /// The other gateways and what is shared with them.
    pub struct PeersSettings, PEERS_FIELDS {
        /// Talk with the other gateways.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Where this gateway binds; left out: its address in the list.
        "listen" => listen: String, NAME, default "\"\"";
        /// All gateways, the same list in the same order at each.
        "gateways" => members: Vec<MemberSettings>,
            Kind::List { of: &Kind::Record(MEMBER_FIELDS), max_entries: MAX_MEMBERS },
            default "[]";
        /// Each gateway asks after one other in each of these.
        "period_ms" => probe_period_ms: f64,
            Kind::Number { min: 20.0, max: 60_000.0 }, default "100";
        /// A suspected gateway has so long to say that it lives.
        "suspicion_ms" => suspicion_ms: f64,
            Kind::Number { min: 50.0, max: 600_000.0 }, default "280";
        /// What becomes of work in hand.
        "custody" => pub ownership: OwnershipSettings,
            Kind::Record(OWNERSHIP_FIELDS), default "{}";
        /// What gateways share.
        "shares" => pub coordination: CoordinationSettings,
            Kind::Record(COORDINATION_FIELDS), default "{}";
    }
}

/// The checked member list, as one gateway sees it.
pub struct PeerNetwork {
    /// All members.
    pub members: MemberList,
    /// This gateway's position among them.
    pub own_member: MemberId,
    /// Where this gateway binds its datagram socket and its listener for links.
    pub listen: SocketAddr,
    /// Failure detection.
    pub membership: MembershipConfig,
}

impl PeersSettings {
    /// The network as the gateway of this name sees it.
    ///
    /// # Errors
    ///
    /// All errors of the list.
    pub fn network(&self, name: &str) -> Result<PeerNetwork, Vec<SettingsError>> {
        let mut errors = Vec::new();
        let members = self.member_list(&mut errors);
        if self.ownership.voters.is_multiple_of(2) {
            let error = SettingsError::new("peers.custody.witnesses", Problem::EvenVoterCount);
            errors.push(error);
        }
        let own_member = members.find(name);
        if own_member.is_none() && errors.is_empty() {
            let problem = Problem::GatewayNotListed(name.to_owned());
            errors.push(SettingsError::new("peers.gateways", problem));
        }
        let listen = self.listen_address(&members, own_member, &mut errors);
        match (own_member, listen) {
            (Some(own_member), Some(listen)) if errors.is_empty() => Ok(PeerNetwork {
                members,
                own_member,
                listen,
                membership: MembershipConfig {
                    probe_interval: nanos_from_millis(self.probe_period_ms),
                    suspicion_timeout: nanos_from_millis(self.suspicion_ms),
                    ..MembershipConfig::default()
                },
            }),
            _ => Err(errors),
        }
    }

    fn member_list(&self, errors: &mut Vec<SettingsError>) -> MemberList {
        let mut members = MemberList::default();
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (position, member) in self.members.iter().enumerate() {
            let mut report = |field: &str, problem: Problem| {
                let path = format!("peers.gateways[{position}].{field}");
                errors.push(SettingsError::new(path, problem));
            };
            let name = member.name.clone().unwrap_or_default();
            if name.is_empty() {
                report("name", Problem::Missing);
            } else if !names.insert(name.clone()) {
                report("name", Problem::Duplicate(format!("{name:?}")));
            }
            let text = member.address.clone().unwrap_or_default();
            let address = text.parse::<SocketAddr>();
            match address {
                Ok(address) if !addresses.insert(address) => {
                    report("address", Problem::Duplicate(text));
                }
                Ok(_) => {}
                Err(_) => report("address", Problem::NotAnAddress(text)),
            }
            let zone = zone_position(&mut members.zones, &member.zone);
            if let Ok(address) = address {
                members.members.push(MemberAddress {
                    name,
                    zone,
                    address,
                });
            }
        }
        members
    }

    fn listen_address(
        &self,
        members: &MemberList,
        own_member: Option<MemberId>,
        errors: &mut Vec<SettingsError>,
    ) -> Option<SocketAddr> {
        if self.listen.is_empty() {
            return members.get(own_member?).map(|member| member.address);
        }
        let address = self.listen.parse().ok();
        if address.is_none() {
            let problem = Problem::NotAnAddress(self.listen.clone());
            errors.push(SettingsError::new("peers.listen", problem));
        }
        address
    }
}

/// The position of a zone in the list of zones, which gets it where it is new.
fn zone_position(zones: &mut Vec<String>, zone: &str) -> u16 {
    let position = zones.iter().position(|known| known == zone);
    let position = position.unwrap_or_else(|| {
        zones.push(zone.to_owned());
        zones.len() - 1
    });
    position as u16
}

impl OwnershipSettings {
    /// The configuration of ownership, in a deployment whose longest statement timeout is this.
    pub fn config(&self, max_statement_timeout: Nanos) -> OwnershipConfig {
        let no_quorum_policy = match self.without_quorum.as_str() {
            "single" => NoQuorumPolicy::ProceedAlone,
            _ => NoQuorumPolicy::Reject,
        };
        OwnershipConfig {
            voters_per_statement: self.voters,
            no_quorum_policy,
            max_statement_timeout,
            retention: nanos_from_millis(self.retention_ms),
            result_cache_bytes_per_tenant: (self.result_cache_mb_per_tenant * BYTES_PER_MB)
                as usize,
            max_entries: self.max_voted_statements,
            ..OwnershipConfig::default()
        }
    }

    /// The estimated work from which on a new statement is looked up at its voters.
    pub fn min_lookup_work(&self) -> Nanos {
        nanos_from_millis(self.min_lookup_work_ms)
    }
}

impl CoordinationSettings {
    /// The configuration of coordination among `gateways`: one quota of the cores that queues of teams divide, then one
    /// of each tenant's statements a second.
    pub fn config(&self, gateways: usize, tenants: &[String]) -> CoordinationConfig {
        let leases = QuotaLeaseConfig {
            total_units: UNITS_PER_MEMBER * gateways as u32,
            member_count: gateways as u16,
            reserved_fraction: self.reserved_fraction,
            spend_window: 0,
            lease_duration: nanos_from_millis(self.lease_ms),
            max_clock_drift: self.max_clock_drift,
        };
        let quota = |name: String, demand_window: Nanos| SharedQuotaConfig {
            name,
            leases,
            demand_window,
        };
        let mut quotas = vec![quota("cores".to_owned(), 0)];
        for tenant in tenants {
            quotas.push(quota(format!("allowance {tenant}"), SECOND));
        }
        CoordinationConfig {
            quotas,
            gossip_bytes_per_second: self.gossip_kb_per_second * BYTES_PER_KB,
            max_engines: MAX_OBSERVED_ENGINES,
            max_events: MAX_RETAINED_EVENTS,
            max_event_bytes: MAX_RETAINED_EVENT_BYTES,
        }
    }
}
