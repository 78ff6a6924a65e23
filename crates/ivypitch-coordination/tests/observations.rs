//! Health observations are accepted in any order and any number of times; a single member cannot
//! eject an engine; endpoint events are accepted in order.

use ivypitch_coordination::{
    EndpointEvent, EventRelay, HealthObservation, MAX_EJECTED_FRACTION, OBSERVATION_TTL,
    ObservationTable, OutlierConsensus, OutlierDecision, RetentionLimits, StoredObservation,
    is_prober,
};
use ivypitch_types::{MemberId, Nanos, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Nanos = 100 * SECOND;
const MEMBERS: usize = 30;

fn zones() -> Vec<u16> {
    (0..MEMBERS as u16).map(|m| m % 3).collect()
}

fn table(max_engines: usize) -> ObservationTable {
    ObservationTable::new(MEMBERS, max_engines, NOW - 50 * SECOND)
}

fn failures(failures: u8) -> HealthObservation {
    HealthObservation {
        failures,
        ..HealthObservation::default()
    }
}

fn successes(successes: u8) -> HealthObservation {
    HealthObservation {
        successes,
        ..HealthObservation::default()
    }
}

fn stored(version: u32, observation: HealthObservation, observed_at: Nanos) -> StoredObservation {
    StoredObservation {
        version,
        observation,
        observed_at,
    }
}

/// A table with observations of engine 7, all a tenth of a second old.
fn table_of(observations: &[(u16, HealthObservation)]) -> ObservationTable {
    let mut table = table(10);
    for &(member, observation) in observations {
        let observation = stored(1, observation, NOW - SECOND / 10);
        table.insert_if_newer(7, MemberId(member), observation);
    }
    table
}

fn is_ejected(observations: &[(u16, HealthObservation)]) -> bool {
    let table = table_of(observations);
    OutlierConsensus::default().evaluate(NOW, &table, &zones(), &[7, 8, 9])[0].is_ejected
}

#[test]
fn observations_in_any_order_and_any_number_of_times_give_the_same_table() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut observations: Vec<(u64, u16, StoredObservation)> = Vec::new();
        for version in 1..30 {
            let (engine, member) = (rng.random_range(0..4), rng.random_range(0..6));
            let observation = HealthObservation {
                successes: rng.random_range(0..4),
                failures: rng.random_range(0..4),
                unreachable: 0,
            };
            let observed_at = NOW - rng.random_range(0..OBSERVATION_TTL);
            let stored = stored(version, observation, observed_at);
            observations.push((engine, member, stored));
        }
        let fill = |observations: &[(u64, u16, StoredObservation)]| {
            let mut table = table(10);
            for &(engine, member, observation) in observations {
                table.insert_if_newer(engine, MemberId(member), observation);
            }
            table
        };
        let filled_once = fill(&observations);
        let mut repeated = [
            observations.clone(),
            observations.clone(),
            observations.clone(),
        ]
        .concat();
        repeated.shuffle(&mut rng);
        let filled_repeatedly = fill(&repeated);
        for engine in 0..4 {
            let all = |table: &ObservationTable| {
                (0..6)
                    .map(|m| table.get(engine, MemberId(m)))
                    .collect::<Vec<_>>()
            };
            assert_eq!(all(&filled_once), all(&filled_repeatedly), "seed {seed}");
        }
    }
}

#[test_case(&[(0, 3)], &[], false; "one member cannot eject it")]
#[test_case(&[(0, 3), (1, 3)], &[], false; "two members cannot eject it")]
#[test_case(&[(0, 2), (1, 2), (2, 2)], &[], true; "three members can eject it")]
#[test_case(&[(0, 2), (1, 2), (2, 2)], &[3, 4, 5, 6, 7, 8], false; "three members cannot eject it against six that it serves")]
#[test_case(&[(0, 2), (1, 2), (2, 2), (3, 2), (4, 2), (5, 2)], &[6], true; "one member that it serves cannot keep it in use")]
fn an_engine_is_ejected_by_several_members_only(
    failure_reporters: &[(u16, u8)],
    success_reporters: &[u16],
    is_ejection_expected: bool,
) {
    let failure_observations = failure_reporters
        .iter()
        .map(|&(member, count)| (member, failures(count)));
    let observations: Vec<_> = failure_observations
        .chain(
            success_reporters
                .iter()
                .map(|&member| (member, successes(3))),
        )
        .collect();
    assert_eq!(is_ejected(&observations), is_ejection_expected);
}

#[test]
fn an_engine_unreachable_from_one_zone_alone_stays_in_use() {
    let unreachable = HealthObservation {
        unreachable: 2,
        ..HealthObservation::default()
    };
    // Members 0, 3, 6 .. are in the first zone; the engine serves members of the other zones.
    let mut observations: Vec<(u16, HealthObservation)> =
        (0..30).step_by(3).map(|m| (m, unreachable)).collect();
    observations.extend([(1, successes(2)), (2, successes(2)), (4, successes(2))]);
    assert!(!is_ejected(&observations));
    let observations: Vec<(u16, HealthObservation)> = (0..12).map(|m| (m, unreachable)).collect();
    assert!(is_ejected(&observations), "no member reaches it");
}

#[test]
fn members_that_report_failures_of_all_engines_are_ignored() {
    let mut table = table(10);
    for engine in 0..6 {
        let version = engine as u32 + 1;
        for member in 0..3 {
            // Three faulty members report failures of all engines; all engines serve the four
            // others.
            let observation = stored(version, failures(3), NOW - SECOND / 10);
            table.insert_if_newer(engine, MemberId(member), observation);
        }
        for member in 3..7 {
            let observation = stored(version, successes(3), NOW - SECOND / 5);
            table.insert_if_newer(engine, MemberId(member), observation);
        }
    }
    let ready: Vec<u64> = (0..6).collect();
    let decisions = OutlierConsensus::default().evaluate(NOW, &table, &zones(), &ready);
    assert!(decisions.iter().all(|d| !d.is_ejected), "{decisions:?}");
}

#[test]
fn no_more_than_a_fraction_of_the_engines_is_ejected_and_observations_expire() {
    let mut table = table(40);
    let ready: Vec<u64> = (0..20).collect();
    for &engine in &ready {
        for member in 0..8 {
            let observation = stored(engine as u32 + 1, failures(2), NOW - SECOND / 10);
            table.insert_if_newer(engine, MemberId(member), observation);
        }
    }
    let mut consensus = OutlierConsensus::default();
    let ejected =
        |decisions: Vec<OutlierDecision>| decisions.iter().filter(|d| d.is_ejected).count();
    assert_eq!(
        ejected(consensus.evaluate(NOW, &table, &zones(), &ready)),
        (20.0 * MAX_EJECTED_FRACTION) as usize
    );
    assert_eq!(
        ejected(consensus.evaluate(NOW + OBSERVATION_TTL, &table, &zones(), &ready)),
        0,
        "all observations have expired"
    );
}

#[test]
fn few_members_probe_an_ejected_engine_and_they_change() {
    let probers = |second: u64| {
        (0..300)
            .filter(|&m| is_prober(second * SECOND, 7, MemberId(m), 300, 1))
            .collect::<Vec<u16>>()
    };
    let counts: Vec<usize> = (0..60).map(|second| probers(second).len()).collect();
    let mean = counts.iter().sum::<usize>() as f64 / 60.0;
    assert!(
        (2.0..4.0).contains(&mean) && counts.iter().all(|&n| n <= 12),
        "{counts:?}"
    );
    assert_ne!(probers(1), probers(2));
}

fn event(number: u64, line: &[u8]) -> EndpointEvent {
    EndpointEvent {
        number,
        line: line.to_vec(),
    }
}

#[test]
fn events_are_accepted_in_the_order_of_their_numbers_from_any_sender() {
    let limits = RetentionLimits {
        max_events: 3,
        max_bytes: 1000,
    };
    let mut relay = EventRelay::new(4, limits, 0);
    relay.on_member_progress(MemberId(2), 6);
    assert_eq!(
        relay.member_to_fetch_from(SECOND / 10),
        None,
        "the source was active recently"
    );
    assert_eq!(relay.member_to_fetch_from(SECOND), Some(MemberId(2)));
    relay.on_event(event(6, b"six"));
    assert_eq!(relay.last_number(), 4, "an event after a gap was accepted");
    for (number, line) in [
        (5, b"five"),
        (6, b"six "),
        (6, b"six "),
        (7, b"sevn"),
        (8, b"eigt"),
    ] {
        relay.on_event(event(number, line));
    }
    assert_eq!(relay.last_number(), 8);
    // Three events are retained: a member that is further behind gets none, and fetches from
    // another member.
    let numbers = |events: Vec<EndpointEvent>| events.iter().map(|e| e.number).collect::<Vec<_>>();
    assert_eq!(numbers(relay.events_after(5)), [6, 7, 8]);
    assert!(relay.events_after(4).is_empty());
    assert_eq!(
        relay.member_to_fetch_from(2 * SECOND),
        None,
        "no member is ahead"
    );
}
