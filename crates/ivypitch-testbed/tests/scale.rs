//! Slopes by counts, which are the same on any machine, and changes on their way to a whole fleet.

use ivypitch_coordination::{
    HealthObservation, MAX_OBSERVED_ENGINES, ObservationTable, StoredObservation,
};
use ivypitch_testbed::experiments::scale::module::line;
use ivypitch_testbed::experiments::scale::peers::links;
use ivypitch_testbed::experiments::scale::slope::{Slope, at, passes_at};
use ivypitch_testbed::virtual_time::discovery_fleet::{self, Outage, Verdict};
use ivypitch_testbed::virtual_time::faults::FaultPlan;
use ivypitch_testbed::virtual_time::membership_fleet::TransitTime;
use ivypitch_testbed::virtual_time::{membership_fleet, ownership_fleet};
use ivypitch_types::{MemberId, SECOND};

#[test]
fn a_slope_finds_its_line_and_its_power_and_what_they_miss() {
    let line: Vec<(f64, f64)> = [30.0, 300.0, 3800.0].map(|x| (x, 7.0 + 0.5 * x)).to_vec();
    let slope = Slope::of(&line);
    assert!(
        (slope.base - 7.0).abs() < 1e-6 && (slope.per - 0.5).abs() < 1e-9,
        "{slope:?}"
    );
    assert!(slope.residual < 1e-9, "{slope:?}");
    let square: Vec<(f64, f64)> = [30.0, 300.0, 3800.0].map(|x| (x, 2.0 * x * x)).to_vec();
    let slope = Slope::of(&square);
    assert!(
        (slope.exponent - 2.0).abs() < 1e-9 && slope.residual > 0.3,
        "a square is no line: {slope:?}"
    );
    // Between the points and beyond them, on log axes.
    assert!((at(&square, 100.0) - 20_000.0).abs() < 1e-6);
    assert!((at(&square, 10_000.0) - 2e8).abs() < 1e-3);
    let passed = passes_at(|x| at(&square, x), 20_000.0, 2.0, 100_000.0);
    assert!(
        passed.is_some_and(|x| (100.0..102.0).contains(&x)),
        "{passed:?}"
    );
    assert_eq!(passes_at(|_| 1.0, 2.0, 2.0, 100_000.0), None);
}

fn members(members: usize, seed: u64) -> membership_fleet::Verdict {
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
fn members_at_rest_send_the_same_however_many_there_are() {
    for seed in [1, 2] {
        let (few, many) = (members(20, seed), members(80, seed));
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
fn a_statements_custody_says_the_same_however_many_gateways_there_are() {
    let each = |gateways| {
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
    let (few, many) = (each(20), each(160));
    assert!(many.0 / few.0 < 1.3, "messages {few:?}, {many:?}");
    assert!(many.1 / few.1 < 1.3, "bytes {few:?}, {many:?}");
}

#[test]
fn links_and_lists_grow_with_the_fleet_and_not_faster() {
    for measure in links() {
        let slope = measure.slope();
        assert!(
            (slope.exponent - 1.0).abs() < 0.05 && slope.residual < 0.01,
            "{}",
            measure.line()
        );
    }
    let (few, many) = (line(80, true).len() as f64, line(8000, true).len() as f64);
    assert!(
        many / few < 105.0,
        "a row takes more bytes in a longer list: {few}, {many}"
    );
    assert!(
        line(1, false).len() < 256,
        "a change is no more than one row and its frame"
    );
}

#[test]
fn words_on_engines_are_bounded_whatever_the_list_has() {
    let held = |engines: u64| {
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
    assert_eq!(held(8000), held(1024));
    assert!(held(512) < held(1024));
}

const MS: u64 = 1_000_000;

const OUTAGE: Option<Outage> = Some(Outage {
    from_second: 3,
    until_second: 11,
});

fn watches(gateways: usize) -> discovery_fleet::Fleet {
    discovery_fleet::Fleet {
        gateways,
        zones: 24,
        regions: 7,
        servers: 4,
        server_bytes_per_second: 125e6,
        segment_loss: 0.01,
        seconds: 16,
        burst: 100,
        change_bytes: line(1, false).len() as u64,
        list_bytes: 5_936_976,
        zone_rows: 1833,
        apply_change: MS,
        apply_list: 400 * MS,
        restarts_per_second: 0.0,
        region_outage: None,
        zone_outage: None,
    }
}

fn holds(what: &str, seed: u64, reached: &Verdict) {
    assert!(
        reached.changes > 100,
        "{what}, seed {seed}: only {} changes",
        reached.changes
    );
    assert_eq!(
        reached.behind, 0,
        "{what}, seed {seed}: gateways that do not act by the last change"
    );
    let last = reached.latency_ms(1.0);
    assert!(
        last <= 6000,
        "{what}, seed {seed}: the last gateway acts after {last} ms"
    );
}

#[test]
fn changes_are_in_force_at_every_gateway_that_can_be_reached_within_six_seconds() {
    for seed in 0..4 {
        let base = watches(150);
        holds("calm", seed, &discovery_fleet::run(base, seed));
        let restarts = discovery_fleet::run(
            discovery_fleet::Fleet {
                restarts_per_second: 2.0,
                ..base
            },
            seed,
        );
        assert!(
            restarts.restarts > 20,
            "seed {seed}: restarts were not played"
        );
        holds("restarts", seed, &restarts);
        let calm = discovery_fleet::run(base, seed);
        let cut = discovery_fleet::run(
            discovery_fleet::Fleet {
                region_outage: OUTAGE,
                ..base
            },
            seed,
        );
        assert!(
            cut.connects > calm.connects,
            "seed {seed}: nobody had to connect again"
        );
        holds("a region cut off", seed, &cut);
        let lost = discovery_fleet::Fleet {
            zone_outage: OUTAGE,
            ..base
        };
        holds("a zone lost", seed, &discovery_fleet::run(lost, seed));
    }
}

#[test]
fn a_server_too_slow_for_the_fleet_is_seen_as_late() {
    let slow = discovery_fleet::Fleet {
        servers: 1,
        server_bytes_per_second: 200_000.0,
        ..watches(300)
    };
    assert!(
        discovery_fleet::run(slow, 1).latency_ms(1.0) > 6000,
        "the play would pass whatever the servers can do"
    );
}
