//! Scenarios of a watch: what is served on each subscription, and what comes of it.

use ivypitch_discovery::{EndpointWatch, WatchDecision, WatchLine};
use ivypitch_types::{MILLISECOND, Nanos};
use test_case::test_case;

/// One word a line served: `5` event, `=5` last position, `?` unusable, `|` a new subscription, `+300` ms pass. Returns
/// what is decided of each: `t` accepted, `o` accepted over a gap, `.` ignored, `!` resubscribed; after `+` `!` where
/// announced events are missing for too long; then the last position.
fn decisions(lines: &str) -> String {
    let mut watch = EndpointWatch::new(4, 7);
    let mut now = 0;
    let mut decided = String::new();
    watch.on_subscribed();
    for word in lines.split(' ') {
        let line = match word.strip_prefix(['=', '+']) {
            _ if word == "|" => {
                watch.on_subscribed();
                continue;
            }
            _ if word == "?" => WatchLine::Unusable,
            Some(ms) if word.starts_with('+') => {
                now += ms.parse::<u64>().unwrap() * MILLISECOND;
                if watch.missing_events_deadline().is_some_and(|at| now >= at) {
                    watch.on_events_missing();
                    decided.push('!');
                }
                continue;
            }
            Some(position) => WatchLine::LastPosition(position.parse().unwrap()),
            None => WatchLine::Event(word.parse().unwrap()),
        };
        decided.push(match watch.on_line(now, line) {
            WatchDecision::Accept => 't',
            WatchDecision::AcceptOverGap => 'o',
            WatchDecision::Ignore => '.',
            WatchDecision::Resubscribe => '!',
        });
    }
    format!("{decided} {}", watch.last_position())
}

#[test_case("5 6 =6 7", "tt.t 7"; "events in order are accepted")]
#[test_case("5 5 4 6", "t..t 6"; "events served twice are accepted once")]
#[test_case("=6 5 6 =6 +300", ".tt. 6"; "an announced position waits for its events")]
#[test_case("=6 +200 =6 +100", "..! 4"; "and the watch is resubscribed where they do not arrive")]
#[test_case("6", "! 4"; "a gap is requested again")]
#[test_case("? | ? | ? | ? 6 7", "!!!.ot 7"; "a line that stays unusable is skipped with its position")]
#[test_case("6 | 6 | 6 | 6", "!!!o 6"; "a gap that stays is skipped")]
#[test_case("? | ? | 5 ? | ? | ? | ?", "!!t!!!. 5"; "an accepted event restarts the count of failures")]
#[test_case("=9 +300 | =9 +300 | =9 +300 | =9 +300 5", ".!.!.!.t 5"; "a position without events does not resubscribe for ever")]
fn a_line_is_decided_by_its_position(lines: &str, decided: &str) {
    assert_eq!(decisions(lines), decided);
}

#[test]
fn watches_lost_in_one_moment_are_resubscribed_at_different_times_and_ever_less_often() {
    let backoffs = |seed: u64| {
        let mut watch = EndpointWatch::new(4, seed);
        (0..8)
            .map(|_| watch.next_backoff() / MILLISECOND)
            .collect::<Vec<Nanos>>()
    };
    let all: Vec<Vec<Nanos>> = (0..300).map(backoffs).collect();
    for at in 0..10 {
        let there = all.iter().filter(|b| b[0] / 10 == at).count();
        assert!(
            (10..=60).contains(&there),
            "{there} first retries in the {at}th hundredth of a second"
        );
    }
    assert!(
        all.iter()
            .all(|b| b[1] >= 100 && b[3..].iter().all(|ms| (300..=600).contains(ms)))
    );
    let mean = all.iter().flat_map(|b| &b[3..]).sum::<u64>() as f64 / (300.0 * 5.0);
    assert!((420.0..480.0).contains(&mean), "{mean} ms");
}

#[test]
fn a_watch_that_was_served_is_resubscribed_soon_once_it_is_lost() {
    let mut watch = EndpointWatch::new(4, 7);
    for _ in 0..6 {
        watch.next_backoff();
    }
    watch.on_subscribed();
    watch.on_line(0, WatchLine::LastPosition(4));
    assert!(watch.next_backoff() <= 100 * MILLISECOND);
}
