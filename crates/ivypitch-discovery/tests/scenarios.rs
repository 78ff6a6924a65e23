//! Stories of a feed: what is told on each connection, and what comes of it.

use ivypitch_discovery::{Feed, Told, Verdict};
use test_case::test_case;

/// One word a line told: `5` event, `=5` last number, `?` unusable, `|` a new connection, `ms` passes by `+300`. What
/// comes of each: `t` taken, `o` taken over a gap, `.` passed, `!` asked for again; after `+` `!` where a number has been
/// ahead for too long.
fn story(words: &str) -> String {
    let mut feed = Feed::new(4, 7);
    let mut now = 0;
    let mut came = String::new();
    feed.connected();
    for word in words.split(' ') {
        let told = match word.strip_prefix(['=', '+']) {
            _ if word == "|" => {
                feed.connected();
                continue;
            }
            _ if word == "?" => Told::Unusable,
            Some(ms) if word.starts_with('+') => {
                now += ms.parse::<u64>().unwrap() * 1_000_000;
                if feed.ahead_until().is_some_and(|at| now >= at) {
                    feed.never_came();
                    came.push('!');
                }
                continue;
            }
            Some(number) => Told::Last(number.parse().unwrap()),
            None => Told::Event(word.parse().unwrap()),
        };
        came.push(match feed.take(now, told) {
            Verdict::Take => 't',
            Verdict::TakeOver => 'o',
            Verdict::Pass => '.',
            Verdict::AskAgain => '!',
        });
    }
    format!("{came} {}", feed.last())
}

#[test_case("5 6 =6 7", "tt.t 7"; "in order")]
#[test_case("5 5 4 6", "t..t 6"; "events told twice are taken once")]
#[test_case("=6 5 6 =6 +300", ".tt. 6"; "a number ahead of its events waits for them")]
#[test_case("=6 +200 =6 +100", "..! 4"; "and they are asked for where they do not come")]
#[test_case("6", "! 4"; "a gap is asked for again")]
#[test_case("? | ? | ? | ? 6 7", "!!!.ot 7"; "a line that can't be used for good is passed over, with its number")]
#[test_case("6 | 6 | 6 | 6", "!!!o 6"; "a gap that stays is passed over")]
#[test_case("? | ? | 5 ? | ? | ? | ?", "!!t!!!. 5"; "what is taken in between begins the count anew")]
#[test_case("=9 +300 | =9 +300 | =9 +300 | =9 +300 5", ".!.!.!.t 5"; "a number without events is no reason to ask without end")]
fn each_line_is_taken_for_what_it_is(words: &str, came: &str) {
    assert_eq!(story(words), came);
}

#[test]
fn many_that_lose_a_feed_in_one_moment_ask_at_different_times_and_ever_less_often() {
    let tries = |seed: u64| {
        let mut feed = Feed::new(4, seed);
        (0..8)
            .map(|_| feed.ask_again() / 1_000_000)
            .collect::<Vec<_>>()
    };
    let all: Vec<Vec<u64>> = (0..300).map(tries).collect();
    for at in 0..10 {
        let there = all.iter().filter(|t| t[0] / 10 == at).count();
        assert!(
            (10..=60).contains(&there),
            "{there} first tries in the {at}th hundredth of a second"
        );
    }
    assert!(
        all.iter()
            .all(|t| t[1] >= 100 && t[3..].iter().all(|ms| (300..=600).contains(ms)))
    );
    let mean = all.iter().flat_map(|t| &t[3..]).sum::<u64>() as f64 / (300.0 * 5.0);
    assert!((420.0..480.0).contains(&mean), "{mean} ms");
}

#[test]
fn a_feed_that_tells_anything_is_asked_again_soon_once_it_is_lost() {
    let mut feed = Feed::new(4, 7);
    for _ in 0..6 {
        feed.ask_again();
    }
    feed.connected();
    feed.take(0, Told::Last(4));
    assert!(feed.ask_again() <= 100_000_000);
}
