//! It does not matter in which order, how often or by whom a word comes; and what few can say against an engine.

use ivypitch_coordination::journal::News;
use ivypitch_coordination::sights::{LIFE, Sight, Table};
use ivypitch_coordination::verdicts::{MOST_OUT, Verdicts, tries};
use ivypitch_types::{Nanos, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Nanos = 100 * SECOND;
const MEMBERS: usize = 30;

fn zones() -> Vec<u16> {
    (0..MEMBERS as u16).map(|m| m % 3).collect()
}

fn bad(failures: u8) -> Sight {
    Sight {
        failures,
        ..Sight::default()
    }
}

fn good(successes: u8) -> Sight {
    Sight {
        successes,
        ..Sight::default()
    }
}

/// Words of members on one engine, all a tenth of a second old.
fn said(words: &[(u16, Sight)]) -> Table {
    let mut table = Table::new(MEMBERS, 10, NOW - 50 * SECOND);
    for &(member, sight) in words {
        table.put(7, member, 1, sight, NOW - SECOND / 10);
    }
    table
}

fn is_out(words: &[(u16, Sight)]) -> bool {
    Verdicts::default().judge(NOW, &said(words), &zones(), &[7, 8, 9])[0].is_out
}

#[test]
fn words_in_any_order_and_any_number_of_times_make_the_same_table() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut words: Vec<(u64, u16, u32, Sight, Nanos)> = Vec::new();
        for version in 1..30 {
            let (engine, member) = (rng.random_range(0..4), rng.random_range(0..6));
            let sight = Sight {
                successes: rng.random_range(0..4),
                failures: rng.random_range(0..4),
                unreached: 0,
            };
            words.push((
                engine,
                member,
                version,
                sight,
                NOW - rng.random_range(0..LIFE),
            ));
        }
        let fill = |words: &[(u64, u16, u32, Sight, Nanos)]| {
            let mut table = Table::new(MEMBERS, 10, NOW - 50 * SECOND);
            for &(engine, member, version, sight, at) in words {
                table.put(engine, member, version, sight, at);
            }
            table
        };
        let once = fill(&words);
        let mut often = [words.clone(), words.clone(), words.clone()].concat();
        often.shuffle(&mut rng);
        let other = fill(&often);
        for engine in 0..4 {
            let all = |table: &Table| (0..6).map(|m| table.get(engine, m)).collect::<Vec<_>>();
            assert_eq!(all(&once), all(&other), "seed {seed}");
        }
    }
}

#[test_case(&[(0, 3)], &[], false; "one member can have none left out")]
#[test_case(&[(0, 3), (1, 3)], &[], false; "nor can two")]
#[test_case(&[(0, 2), (1, 2), (2, 2)], &[], true; "three of them can")]
#[test_case(&[(0, 2), (1, 2), (2, 2)], &[3, 4, 5, 6, 7, 8], false; "not against six that it serves")]
#[test_case(&[(0, 2), (1, 2), (2, 2), (3, 2), (4, 2), (5, 2)], &[6], true; "one that sees it as good keeps no bad one in")]
fn what_members_can_say_against_an_engine(accuse: &[(u16, u8)], defend: &[u16], out: bool) {
    let accused = accuse
        .iter()
        .map(|&(member, failures)| (member, bad(failures)));
    let words: Vec<_> = accused
        .chain(defend.iter().map(|&member| (member, good(3))))
        .collect();
    assert_eq!(is_out(&words), out);
}

#[test]
fn no_way_from_one_zone_is_no_fault_of_the_engine() {
    let unreached = Sight {
        unreached: 2,
        ..Sight::default()
    };
    // Members 0, 3, 6 .. stand in the first zone; the other zones are served.
    let mut words: Vec<(u16, Sight)> = (0..30).step_by(3).map(|m| (m, unreached)).collect();
    words.extend([(1, good(2)), (2, good(2)), (4, good(2))]);
    assert!(!is_out(&words));
    let words: Vec<(u16, Sight)> = (0..12).map(|m| (m, unreached)).collect();
    assert!(is_out(&words), "nobody reaches it");
}

#[test]
fn one_that_finds_fault_with_all_engines_is_not_heard() {
    let mut table = Table::new(MEMBERS, 10, NOW - 50 * SECOND);
    for engine in 0..6 {
        for member in 0..3 {
            // Three ill ones, and four that are served by all.
            table.put(engine, member, engine as u32 + 1, bad(3), NOW - SECOND / 10);
        }
        for member in 3..7 {
            table.put(engine, member, engine as u32 + 1, good(3), NOW - SECOND / 5);
        }
    }
    let listed: Vec<u64> = (0..6).collect();
    let verdicts = Verdicts::default().judge(NOW, &table, &zones(), &listed);
    assert!(verdicts.iter().all(|v| !v.is_out), "{verdicts:?}");
}

#[test]
fn no_more_than_a_part_of_the_engines_is_left_out_and_each_word_has_its_time() {
    let mut table = Table::new(MEMBERS, 40, NOW - 50 * SECOND);
    let listed: Vec<u64> = (0..20).collect();
    for &engine in &listed {
        for member in 0..8 {
            table.put(engine, member, engine as u32 + 1, bad(2), NOW - SECOND / 10);
        }
    }
    let mut verdicts = Verdicts::default();
    let out = |all: Vec<ivypitch_coordination::verdicts::Verdict>| {
        all.iter().filter(|v| v.is_out).count()
    };
    assert_eq!(
        out(verdicts.judge(NOW, &table, &zones(), &listed)),
        (20.0 * MOST_OUT) as usize
    );
    assert_eq!(
        out(verdicts.judge(NOW + LIFE, &table, &zones(), &listed)),
        0,
        "all are forgotten"
    );
}

#[test]
fn few_try_a_suspected_engine_and_not_always_the_same() {
    let triers = |second: u64| {
        (0..300)
            .filter(|&m| tries(second * SECOND, 7, m, 300, 1))
            .collect::<Vec<u16>>()
    };
    let counts: Vec<usize> = (0..60).map(|second| triers(second).len()).collect();
    let mean = counts.iter().sum::<usize>() as f64 / 60.0;
    assert!(
        (2.0..4.0).contains(&mean) && counts.iter().all(|&n| n <= 12),
        "{counts:?}"
    );
    assert_ne!(triers(1), triers(2));
}

#[test]
fn events_are_taken_in_the_order_of_their_numbers_whoever_tells_them() {
    let mut news = News::new(4, 3, 1000, 0);
    news.member_at(2, 6);
    assert_eq!(
        news.to_ask(SECOND / 10),
        None,
        "the journal spoke a moment ago"
    );
    assert_eq!(news.to_ask(SECOND), Some(2));
    news.taken(6, b"six");
    assert_eq!(news.last(), 4, "never with a gap");
    for (number, line) in [
        (5, b"five"),
        (6, b"six "),
        (6, b"six "),
        (7, b"sevn"),
        (8, b"eigt"),
    ] {
        news.taken(number, line);
    }
    assert_eq!(news.last(), 8);
    // Three are held: who is further behind is told nothing, and asks another.
    assert_eq!(
        news.behind(5).iter().map(|(n, _)| *n).collect::<Vec<_>>(),
        [6, 7, 8]
    );
    assert!(news.behind(4).is_empty());
    assert_eq!(news.to_ask(2 * SECOND), None, "nobody is ahead");
}
