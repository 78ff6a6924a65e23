//! Scenarios in text: `exact N` answers, `unexpected` answer, `release NAME`, `at MS`,
//! `acquire NAME|none`, `expired NAMES..`, `idle N` (expected pool size), `close`.

use ivypitch_connection_pool::{ConnectionPool, PoolParams};
use ivypitch_types::MILLISECOND;
use test_case::test_case;

#[test_case(3, 30_000, "release a; idle 0; exact 1; release b; idle 1"; "no connection is kept before an exact answer")]
#[test_case(3, 30_000, "exact 3; release a; at 10; acquire none; at 20; acquire a; acquire none"; "a connection is reused only after the minimum idle time")]
#[test_case(3, 30_000, "exact 3; release a; at 5; release b; at 100; acquire a; acquire b"; "the connection idle for longest is acquired first")]
#[test_case(3, 30_000, "exact 3; release a; at 23000; expired; at 24000; expired a; idle 0"; "a connection expires at 0.8 of the idle timeout")]
#[test_case(3, 30_000, "exact 3; release a; at 24100; acquire none"; "an expired connection is not acquired")]
#[test_case(3, 30_000, "exact 3; release a; unexpected; idle 0; exact 49; release b; idle 0; exact 1; release c; idle 1"; "after an unexpected answer fifty exact answers are needed")]
#[test_case(300, 30_000, "exact 3; release a; release b; release c; release d; idle 3"; "each of 300 gateways keeps three")]
#[test_case(3, 30_000, "exact 3; release a; release b; release c; release d; release e; release f; release g; release h; release i; idle 8"; "no gateway keeps more than eight")]
#[test_case(5000, 30_000, "exact 3; release a; release b; idle 1"; "each of thousands of gateways keeps one")]
#[test_case(3, 0, "exact 3; release a; idle 0"; "no connection is kept if the idle timeout is unknown")]
#[test_case(3, 30_000, "exact 3; release a; close; idle 0; release b; idle 0"; "no connection is kept to an engine that is gone")]
fn idle_connections_are_reused_within_limits(
    gateways: usize,
    engine_idle_timeout_ms: u64,
    steps: &str,
) {
    let params = PoolParams::new(gateways, engine_idle_timeout_ms * MILLISECOND);
    let mut pool: ConnectionPool<String> = ConnectionPool::new(params);
    let mut now = 0;
    for step in steps.split(';').map(str::trim) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let number = || words[1].parse::<u64>().unwrap();
        match words[0] {
            "at" => now = number() * MILLISECOND,
            "exact" => (0..number()).for_each(|_| pool.on_exact_answer()),
            "unexpected" => drop(pool.on_unexpected_answer()),
            "close" => drop(pool.close()),
            "release" => drop(pool.release(now, words[1].to_owned())),
            "acquire" => {
                let acquired = pool.acquire(now);
                assert_eq!(acquired.as_deref().unwrap_or("none"), words[1], "{step}");
            }
            "expired" => assert_eq!(pool.take_expired(now), words[1..], "{step}"),
            "idle" => assert_eq!(pool.len() as u64, number(), "{step}"),
            other => panic!("{other}"),
        }
    }
}
