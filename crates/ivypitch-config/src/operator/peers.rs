//! Settings for communication among gateways: the member list, ownership and coordination.

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
        /// Name of the gateway in the platform's configuration.
        "name" => name: Option<String>, NAME, default "";
        /// Zone of the gateway; the voters of a statement are spread over zones.
        "zone" => zone: String, NAME, default "\"\"";
        /// Address and port for the gateway's datagrams and links.
        "address" => address: Option<String>, NAME, default "";
    }
}

settings_record! {
    /// Ownership of statements in flight.
    pub struct OwnershipSettings, OWNERSHIP_FIELDS {
        /// Statements in flight survive the loss of their gateway.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Number of voters of each statement; must be odd.
        "witnesses" => voters: usize, Kind::Integer { min: 1, max: 9 }, default "5";
        /// Non-idempotent statements without a majority of voters: rejected, or run without peers.
        "without_majority" => without_quorum: String,
            Kind::OneOf(&["refuse", "single"]), default "\"refuse\"";
        /// Results cached for returning clients, in MB per customer.
        "kept_mb_a_customer" => result_cache_mb_per_tenant: f64,
            Kind::Number { min: 0.0, max: 1e6 }, default "4";
        /// Time after a statement's timeout in which its client may return.
        "remembered_ms" => retention_ms: f64,
            Kind::Number { min: 100.0, max: 3.6e6 }, default "5000";
        /// Minimum estimated work at which voters are asked whether a new statement is known.
        "asks_from_ms" => min_lookup_work_ms: f64,
            Kind::Number { min: 0.0, max: 1e9 }, default "200";
        /// Maximum statements of other gateways that this gateway votes on.
        "most_statements" => max_voted_statements: usize,
            Kind::Integer { min: 100, max: 10_000_000 }, default "200000";
    }
}

settings_record! {
    /// Coordination of quotas and engine health.
    pub struct CoordinationSettings, COORDINATION_FIELDS {
        /// Lease quotas among gateways and share engine health and endpoint events.
        "enabled" => pub enabled: bool, Kind::Bool, default "false";
        /// Fraction of its equal allocation of a quota that a gateway never leases out.
        "floor" => reserved_fraction: f64, Kind::Number { min: 0.0, max: 1.0 }, default "0.1";
        /// Duration of a lease; afterwards a partitioned gateway regains the units that it granted.
        "span_ms" => lease_ms: f64, Kind::Number { min: 200.0, max: 60_000.0 }, default "2000";
        /// Maximum relative drift between the clocks of gateways.
        "drift" => max_clock_drift: f64, Kind::Number { min: 0.0, max: 0.2 }, default "0.01";
        /// Maximum gossip about engines that a gateway sends, in KB per second.
        "kb_a_second" => gossip_kb_per_second: f64,
            Kind::Number { min: 1.0, max: 100_000.0 }, default "40";
    }
}

settings_record! {
    /// The member list, failure detection, ownership and coordination.
    pub struct PeersSettings, PEERS_FIELDS {
        /// Exchange messages with the other gateways.
        "enabled" => pub enabled: bool, Kind::Bool, default "true";
        /// Address that this gateway binds; default: its address in the member list.
        "listen" => listen: String, NAME, default "\"\"";
        /// All gateways; the list and its order must be the same at each gateway.
        "gateways" => members: Vec<MemberSettings>,
            Kind::List { entry_kind: &Kind::Record(MEMBER_FIELDS), max_entries: MAX_MEMBERS },
            default "[]";
        /// Interval at which each gateway probes one other gateway.
        "period_ms" => probe_period_ms: f64,
            Kind::Number { min: 20.0, max: 60_000.0 }, default "100";
        /// Time that a suspected gateway has to refute the suspicion.
        "suspicion_ms" => suspicion_ms: f64,
            Kind::Number { min: 50.0, max: 600_000.0 }, default "280";
        /// Ownership and takeover of statements in flight.
        "custody" => pub ownership: OwnershipSettings,
            Kind::Record(OWNERSHIP_FIELDS), default "{}";
        /// Coordination of quotas and engine health.
        "shares" => pub coordination: CoordinationSettings,
            Kind::Record(COORDINATION_FIELDS), default "{}";
    }
}

/// The validated member list and the network settings of one gateway.
pub struct PeerNetwork {
    /// All members.
    pub members: MemberList,
    /// Member id of this gateway.
    pub own_member: MemberId,
    /// Address that this gateway binds its datagram socket and its listener for links to.
    pub listen: SocketAddr,
    /// Settings of failure detection.
    pub membership: MembershipConfig,
}

impl PeersSettings {
    /// Number of gateways in the member list.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the network settings of the gateway named `name`.
    ///
    /// # Errors
    ///
    /// All errors of the member list, of the listen address and of the number of voters.
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
            let address_text = member.address.clone().unwrap_or_default();
            let address = address_text.parse::<SocketAddr>();
            match address {
                Ok(address) if !addresses.insert(address) => {
                    report("address", Problem::Duplicate(address_text));
                }
                Ok(_) => {}
                Err(_) => report("address", Problem::NotAnAddress(address_text)),
            }
            let zone = zone_index_or_insert(&mut members.zones, &member.zone);
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

/// Returns the index of a zone and adds an unknown zone to the list.
fn zone_index_or_insert(zones: &mut Vec<String>, zone: &str) -> u16 {
    let position = zones.iter().position(|known| known == zone);
    let position = position.unwrap_or_else(|| {
        zones.push(zone.to_owned());
        zones.len() - 1
    });
    position as u16
}

impl OwnershipSettings {
    /// Returns the configuration of ownership. `max_statement_timeout` is the longest statement
    /// timeout of the deployment's workloads.
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

    /// Returns the minimum estimated work at which a new statement is looked up at its voters.
    pub fn min_lookup_work(&self) -> Nanos {
        nanos_from_millis(self.min_lookup_work_ms)
    }
}

impl CoordinationSettings {
    /// Returns the configuration of coordination among `gateways`. The first quota is that of the
    /// cores that the team queues divide; one of each tenant's statements per second follows.
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
