//! Growth of costs that are counted and so do not depend on the machine, and propagation of
//! endpoint changes to a fleet.

use ivypitch_coordination::{
    HealthObservation, MAX_OBSERVED_ENGINES, ObservationTable, StoredObservation,
};
use ivypitch_testbed::experiments::scale::peers::links;
use ivypitch_testbed::experiments::scale::scheduler::endpoint_event_line;
use ivypitch_testbed::experiments::scale::slope::{Slope, budget_exceeded_at, cost_at};
use ivypitch_testbed::virtual_time::discovery_fleet::{self, Outage, Verdict};
use ivypitch_testbed::virtual_time::faults::FaultPlan;
use ivypitch_testbed::virtual_time::membership_fleet::TransitTime;
use ivypitch_testbed::virtual_time::{membership_fleet, ownership_fleet};
use ivypitch_types::{MemberId, SECOND};

#[test]
fn a_slope_fits_line_exponent_and_residual() {
    let line: Vec<(f64, f64)> = [30.0, 300.0, 3800.0].map(|x| (x, 7.0 + 0.5 * x)).to_vec();
    let slope = Slope::of(&line);
    assert!(
        (slope.base - 7.0).abs() < 1e-6 && (slope.per_unit - 0.5).abs() < 1e-9,
        "{slope:?}"
    );
    assert!(slope.residual < 1e-9, "{slope:?}");
    let square: Vec<(f64, f64)> = [30.0, 300.0, 3800.0].map(|x| (x, 2.0 * x * x)).to_vec();
    let slope = Slope::of(&square);
    assert!(
        (slope.exponent - 2.0).abs() < 1e-9 && slope.residual > 0.3,
        "a square is not a line: {slope:?}"
    );
    // Interpolation and extrapolation on logarithmic axes.
    assert!((cost_at(&square, 100.0) - 20_000.0).abs() < 1e-6);
    assert!((cost_at(&square, 10_000.0) - 2e8).abs() < 1e-3);
    let exceeded_at = budget_exceeded_at(|x| cost_at(&square, x), 20_000.0, 2.0, 100_000.0);
    assert!(
        exceeded_at.is_some_and(|x| (100.0..102.0).contains(&x)),
        "{exceeded_at:?}"
    );
    assert_eq!(budget_exceeded_at(|_| 1.0, 2.0, 2.0, 100_000.0), None);
}

fn run_members(members: usize, seed: u64) -> membership_fleet::Verdict {
    let fleet = membership_fleet::Fleet {
        members,
        zones: 24,
        datagram_loss: 0.01,
        transit: TransitTime {
            min_ms: 0.2,
            max_ms: 3.0,
        },
        settle_seconds: 15,
        seconds: 4,
        kill_interval_ms: None,
        partition_ms: None,
        config: ivypitch_membership::MembershipConfig::default(),
    };
    membership_fleet::run(fleet, seed)
}

#[test]
fn member_traffic_at_rest_does_not_grow_with_the_fleet() {
    for seed in [1, 2] {
        let (few, many) = (run_members(20, seed), run_members(80, seed));
        let ratio = many.datagrams_per_member_second / few.datagrams_per_member_second;
        assert!(
            ratio < 1.3,
            "seed {seed}: {ratio:.2} times the datagrams at four times the members"
        );
        let ratio = many.bytes_per_member_second / few.bytes_per_member_second;
        assert!(
            ratio < 2.0,
            "seed {seed}: {ratio:.2} times the bytes at four times the members"
        );
    }
}

#[test]
fn ownership_traffic_of_a_statement_does_not_grow_with_the_fleet() {
    let traffic_per_statement = |gateways| {
        let fleet = ownership_fleet::Fleet {
            gateways,
            zones: 7,
            duration_ms: 400,
            statement_gap_ms: 1,
            counts_bytes: true,
            ..ownership_fleet::Fleet::default()
        };
        let verdict = ownership_fleet::run(&fleet, &FaultPlan::default(), 1);
        let statements = verdict.statements as f64;
        (
            verdict.messages as f64 / statements,
            verdict.bytes as f64 / statements,
        )
    };
    let (few, many) = (traffic_per_statement(20), traffic_per_statement(160));
    assert!(many.0 / few.0 < 1.3, "messages {few:?}, {many:?}");
    assert!(many.1 / few.1 < 1.3, "bytes {few:?}, {many:?}");
}

#[test]
fn link_traffic_and_list_sizes_grow_linearly() {
    for measure in links() {
        let slope = measure.slope();
        assert!(
            (slope.exponent - 1.0).abs() < 0.05 && slope.residual < 0.01,
            "{}",
            measure.line()
        );
    }
    let (few, many) = (
        endpoint_event_line(80, true).len() as f64,
        endpoint_event_line(8000, true).len() as f64,
    );
    assert!(
        many / few < 105.0,
        "a row takes more bytes in a longer list: {few}, {many}"
    );
    assert!(
        endpoint_event_line(1, false).len() < 256,
        "a change takes more than one row and its frame"
    );
}

#[test]
fn memory_for_observations_is_bounded_for_any_list_size() {
    let size_bytes = |engines: u64| {
        let mut table = ObservationTable::new(300, MAX_OBSERVED_ENGINES, 0);
        for engine in 0..engines {
            table.insert_if_newer(
                engine,
                MemberId(1),
                StoredObservation {
                    version: 1,
                    observation: HealthObservation {
                        successes: 1,
                        failures: 0,
                        unreachable: 0,
                    },
                    observed_at: SECOND,
                },
            );
        }
        table.size_bytes()
    };
    assert_eq!(size_bytes(8000), size_bytes(1024));
    assert!(size_bytes(512) < size_bytes(1024));
}

const MS: u64 = 1_000_000;

const OUTAGE: Option<Outage> = Some(Outage {
    from_second: 3,
    until_second: 11,
});

fn discovery_fleet(gateways: usize) -> discovery_fleet::Fleet {
    discovery_fleet::Fleet {
        gateways,
        zones: 24,
        regions: 7,
        servers: 4,
        server_bytes_per_second: 125e6,
        segment_loss: 0.01,
        seconds: 16,
        burst: 100,
        change_bytes: endpoint_event_line(1, false).len() as u64,
        list_bytes: 5_936_976,
        zone_rows: 1833,
        apply_change: MS,
        apply_list: 400 * MS,
        restarts_per_second: 0.0,
        region_outage: None,
        zone_outage: None,
    }
}

fn assert_changes_applied_in_time(case: &str, seed: u64, verdict: &Verdict) {
    assert!(
        verdict.changes > 100,
        "{case}, seed {seed}: only {} changes",
        verdict.changes
    );
    assert_eq!(
        verdict.behind, 0,
        "{case}, seed {seed}: gateways have not applied the last change"
    );
    let last = verdict.latency_ms(1.0);
    assert!(
        last <= 6000,
        "{case}, seed {seed}: the last gateway applied a change after {last} ms"
    );
}

#[test]
fn every_reachable_gateway_applies_a_change_within_six_seconds() {
    for seed in 0..4 {
        let base = discovery_fleet(150);
        assert_changes_applied_in_time("no faults", seed, &discovery_fleet::run(base, seed));
        let restarts = discovery_fleet::run(
            discovery_fleet::Fleet {
                restarts_per_second: 2.0,
                ..base
            },
            seed,
        );
        assert!(
            restarts.restarts > 20,
            "seed {seed}: too few restarts were simulated"
        );
        assert_changes_applied_in_time("restarts", seed, &restarts);
        let without_faults = discovery_fleet::run(base, seed);
        let partitioned = discovery_fleet::run(
            discovery_fleet::Fleet {
                region_outage: OUTAGE,
                ..base
            },
            seed,
        );
        assert!(
            partitioned.connects > without_faults.connects,
            "seed {seed}: no gateway had to reconnect"
        );
        assert_changes_applied_in_time("a region partitioned", seed, &partitioned);
        let lost = discovery_fleet::Fleet {
            zone_outage: OUTAGE,
            ..base
        };
        assert_changes_applied_in_time("a zone lost", seed, &discovery_fleet::run(lost, seed));
    }
}

#[test]
fn a_server_too_slow_for_the_fleet_delays_changes() {
    let slow = discovery_fleet::Fleet {
        servers: 1,
        server_bytes_per_second: 200_000.0,
        ..discovery_fleet(300)
    };
    assert!(
        discovery_fleet::run(slow, 1).latency_ms(1.0) > 6000,
        "the simulation does not depend on the bandwidth of the servers"
    );
}
