//! Compares the table of observations by engine and member with a plain ordered map: insertion of
//! an observation and the sum over all observations of an engine; measures the evaluation of all
//! engines on the table.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use ivypitch_coordination::{
    HealthObservation, OBSERVATION_TTL, ObservationTable, OutlierConsensus, StoredObservation,
};
use ivypitch_types::{MemberId, Nanos, SECOND};

const NOW: Nanos = 100 * SECOND;
const MEMBERS: u16 = 300;
const ENGINES: u64 = 80;

fn observations() -> impl Iterator<Item = (u64, MemberId, StoredObservation)> {
    let pairs = (0..ENGINES).flat_map(|engine| (0..MEMBERS).map(move |member| (engine, member)));
    pairs
        .filter(|(engine, member)| (engine * 7 + u64::from(*member)).is_multiple_of(10))
        .map(|(engine, member)| {
            let observation = HealthObservation {
                successes: (member % 3) as u8,
                failures: (engine % 2) as u8,
                unreachable: 0,
            };
            let stored = StoredObservation {
                version: engine as u32 + 1,
                observation,
                observed_at: NOW - OBSERVATION_TTL / 2,
            };
            (engine, MemberId(member), stored)
        })
}

fn empty_observation(version: u32) -> StoredObservation {
    StoredObservation {
        version,
        observation: HealthObservation::default(),
        observed_at: NOW,
    }
}

fn observation_table(criterion: &mut Criterion) {
    let mut table = ObservationTable::new(usize::from(MEMBERS), 200, NOW - 50 * SECOND);
    let mut map: BTreeMap<(u64, MemberId), StoredObservation> = BTreeMap::new();
    for (engine, member, observation) in observations() {
        table.insert_if_newer(engine, member, observation);
        map.insert((engine, member), observation);
    }
    println!(
        "table: {} bytes; {} observations in the plain map",
        table.size_bytes(),
        map.len()
    );
    let mut version = 1000;
    criterion.bench_function("an observation arrives, table", |bencher| {
        bencher.iter(|| {
            version += 1;
            table.insert_if_newer(
                black_box(40),
                black_box(MemberId(17)),
                empty_observation(version),
            )
        })
    });
    criterion.bench_function("an observation arrives, plain map", |bencher| {
        bencher.iter(|| {
            version += 1;
            let key = (black_box(40), black_box(MemberId(17)));
            map.insert(key, empty_observation(version))
        })
    });
    let sum = |observations: &mut dyn Iterator<Item = HealthObservation>| {
        observations
            .map(|observation| u32::from(observation.failures))
            .sum::<u32>()
    };
    criterion.bench_function("all observations of an engine, table", |bencher| {
        bencher.iter(|| {
            sum(&mut table
                .fresh_observations(black_box(41), NOW)
                .map(|fresh| fresh.observation))
        })
    });
    criterion.bench_function("all observations of an engine, plain map", |bencher| {
        bencher.iter(|| {
            let engine = black_box(41);
            let fresh = map
                .range((engine, MemberId(0))..(engine + 1, MemberId(0)))
                .filter(|(_, stored)| NOW < stored.observed_at + OBSERVATION_TTL);
            sum(&mut fresh.map(|(_, stored)| stored.observation))
        })
    });
    let zones: Vec<u16> = (0..MEMBERS).map(|member| member % 3).collect();
    let ready: Vec<u64> = (0..ENGINES).collect();
    let mut consensus = OutlierConsensus::default();
    criterion.bench_function("80 engines evaluated by 300 members", |bencher| {
        bencher.iter(|| consensus.evaluate(NOW, &table, &zones, black_box(&ready)))
    });
}

criterion_group!(benches, observation_table);
criterion_main!(benches);
