//! Text scenarios: `exact N`, `surprise`, `give NAME`, `at MS`, `take NAME|none`, `over NAMES..`, `held N`, `close`.

use ivypitch_connection_pool::{Pool, PoolParams};
use test_case::test_case;

const MS: u64 = 1_000_000;

#[test_case(3, 30_000, "give a; held 0; exact 1; give b; held 1"; "none is kept before an exact answer")]
#[test_case(3, 30_000, "exact 3; give a; at 10; take none; at 20; take a; take none"; "it has to be quiet for a while")]
#[test_case(3, 30_000, "exact 3; give a; at 5; give b; at 100; take a; take b"; "the longest quiet goes first")]
#[test_case(3, 30_000, "exact 3; give a; at 23000; over; at 24000; over a; held 0"; "kept for 0.8 of the idle time")]
#[test_case(3, 30_000, "exact 3; give a; at 24100; take none"; "one too old is not taken")]
#[test_case(3, 30_000, "exact 3; give a; surprise; held 0; exact 49; give b; held 0; exact 1; give c; held 1"; "a surprise ends trust for fifty answers")]
#[test_case(300, 30_000, "exact 3; give a; give b; give c; give d; held 3"; "300 gateways keep three each")]
#[test_case(3, 30_000, "exact 3; give a; give b; give c; give d; give e; give f; give g; give h; give i; held 8"; "eight at the most")]
#[test_case(5000, 30_000, "exact 3; give a; give b; held 1"; "one where there are thousands of gateways")]
#[test_case(3, 0, "exact 3; give a; held 0"; "none where the idle time is not told")]
#[test_case(3, 30_000, "exact 3; give a; close; held 0; give b; held 0"; "none of an engine that is gone")]
fn scenario(gateways: usize, idle_ms: u64, steps: &str) {
    let mut pool: Pool<String> = Pool::new(PoolParams::new(gateways, idle_ms * MS));
    let mut now = 0;
    for step in steps.split(';').map(str::trim) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let number = || words[1].parse::<u64>().unwrap();
        match words[0] {
            "at" => now = number() * MS,
            "exact" => (0..number()).for_each(|_| pool.exact()),
            "surprise" => drop(pool.surprise()),
            "close" => drop(pool.close()),
            "give" => drop(pool.give(now, words[1].to_owned())),
            "take" => {
                let taken = pool.take(now);
                assert_eq!(taken.as_deref().unwrap_or("none"), words[1], "{step}");
            }
            "over" => assert_eq!(pool.over(now), words[1..], "{step}"),
            "held" => assert_eq!(pool.len() as u64, number(), "{step}"),
            other => panic!("{other}"),
        }
    }
}
