//! The table of words by engine and member against a plain ordered map: a word comes, all words on an engine are laid
//! together, all engines are judged.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use ivypitch_coordination::sights::{LIFE, Sight, Table};
use ivypitch_coordination::verdicts::Verdicts;
use ivypitch_types::{Nanos, SECOND};

const NOW: Nanos = 100 * SECOND;
const MEMBERS: u16 = 300;
const ENGINES: u64 = 80;

fn words() -> impl Iterator<Item = (u64, u16, u32, Sight, Nanos)> {
    let pairs = (0..ENGINES).flat_map(|engine| (0..MEMBERS).map(move |member| (engine, member)));
    pairs
        .filter(|(engine, member)| (engine * 7 + u64::from(*member)).is_multiple_of(10))
        .map(|(engine, member)| {
            let sight = Sight {
                successes: (member % 3) as u8,
                failures: (engine % 2) as u8,
                unreached: 0,
            };
            (engine, member, engine as u32 + 1, sight, NOW - LIFE / 2)
        })
}

fn table(c: &mut Criterion) {
    let mut made = Table::new(usize::from(MEMBERS), 200, NOW - 50 * SECOND);
    let mut plain: BTreeMap<(u64, u16), (u32, Sight, Nanos)> = BTreeMap::new();
    for (engine, member, version, sight, at) in words() {
        made.put(engine, member, version, sight, at);
        plain.insert((engine, member), (version, sight, at));
    }
    println!(
        "table: {} bytes; {} words in the plain map",
        made.bytes(),
        plain.len()
    );
    let mut version = 1000;
    c.bench_function("a word comes, table", |b| {
        b.iter(|| {
            version += 1;
            made.put(black_box(40), black_box(17), version, Sight::default(), NOW)
        })
    });
    c.bench_function("a word comes, plain map", |b| {
        b.iter(|| {
            version += 1;
            plain.insert(
                (black_box(40), black_box(17)),
                (version, Sight::default(), NOW),
            )
        })
    });
    let sum =
        |words: &mut dyn Iterator<Item = Sight>| words.map(|s| u32::from(s.failures)).sum::<u32>();
    c.bench_function("all words on an engine, table", |b| {
        b.iter(|| sum(&mut made.fresh(black_box(41), NOW).map(|(_, sight, _)| sight)))
    });
    c.bench_function("all words on an engine, plain map", |b| {
        b.iter(|| {
            let engine = black_box(41);
            let all = plain
                .range((engine, 0)..(engine + 1, 0))
                .filter(|(_, word)| NOW < word.2 + LIFE);
            sum(&mut all.map(|(_, word)| word.1))
        })
    });
    let zones: Vec<u16> = (0..MEMBERS).map(|m| m % 3).collect();
    let listed: Vec<u64> = (0..ENGINES).collect();
    let mut verdicts = Verdicts::default();
    c.bench_function("80 engines judged by 300 members", |b| {
        b.iter(|| verdicts.judge(NOW, &made, &zones, black_box(&listed)))
    });
}

criterion_group!(benches, table);
criterion_main!(benches);
