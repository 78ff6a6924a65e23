//! The table of observations by engine and member against a plain ordered map: an observation arrives, all observations
//! of an engine are summed, all engines are evaluated.

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

fn nothing_new(version: u32) -> StoredObservation {
    StoredObservation {
        version,
        observation: HealthObservation::default(),
        observed_at: NOW,
    }
}

fn observation_table(c: &mut Criterion) {
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
    c.bench_function("an observation arrives, table", |b| {
        b.iter(|| {
            version += 1;
            table.insert_if_newer(black_box(40), black_box(MemberId(17)), nothing_new(version))
        })
    });
    c.bench_function("an observation arrives, plain map", |b| {
        b.iter(|| {
            version += 1;
            let key = (black_box(40), black_box(MemberId(17)));
            map.insert(key, nothing_new(version))
        })
    });
    let sum = |observations: &mut dyn Iterator<Item = HealthObservation>| {
        observations.map(|o| u32::from(o.failures)).sum::<u32>()
    };
    c.bench_function("all observations of an engine, table", |b| {
        b.iter(|| {
            sum(&mut table
                .fresh(black_box(41), NOW)
                .map(|fresh| fresh.observation))
        })
    });
    c.bench_function("all observations of an engine, plain map", |b| {
        b.iter(|| {
            let engine = black_box(41);
            let fresh = map
                .range((engine, MemberId(0))..(engine + 1, MemberId(0)))
                .filter(|(_, stored)| NOW < stored.observed_at + OBSERVATION_TTL);
            sum(&mut fresh.map(|(_, stored)| stored.observation))
        })
    });
    let zones: Vec<u16> = (0..MEMBERS).map(|m| m % 3).collect();
    let ready: Vec<u64> = (0..ENGINES).collect();
    let mut consensus = OutlierConsensus::default();
    c.bench_function("80 engines evaluated by 300 members", |b| {
        b.iter(|| consensus.evaluate(NOW, &table, &zones, black_box(&ready)))
    });
}

criterion_group!(benches, observation_table);
criterion_main!(benches);
