//! Scenarios of the endpoint watch: the lines of each subscription and the decision on each line.

use ivypitch_discovery::{EndpointWatch, WatchDecision, WatchLine};
use ivypitch_types::{MILLISECOND, Nanos};
use test_case::test_case;

/// Each word is one line received: `5` event, `=5` last position, `?` unusable; `|` is a new
/// subscription and `+300` lets 300 ms pass. Returns the decision on each line: `t` accepted, `o`
/// accepted over a gap, `.` ignored, `!` resubscribed (after `+`: announced events are overdue);
/// then the last position.
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
                if watch
                    .missing_events_deadline()
                    .is_some_and(|deadline| now >= deadline)
                {
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
#[test_case("5 5 4 6", "t..t 6"; "events received twice are accepted once")]
#[test_case("=6 5 6 =6 +300", ".tt. 6"; "an announced position waits for its events")]
#[test_case("=6 +200 =6 +100", "..! 4"; "announced events that do not arrive resubscribe the watch")]
#[test_case("6", "! 4"; "a gap is requested again")]
#[test_case("? | ? | ? | ? 6 7", "!!!.ot 7"; "a line that stays unusable is skipped with its position")]
#[test_case("6 | 6 | 6 | 6", "!!!o 6"; "a gap that stays is skipped")]
#[test_case("? | ? | 5 ? | ? | ? | ?", "!!t!!!. 5"; "an accepted event restarts the count of failures")]
#[test_case("=9 +300 | =9 +300 | =9 +300 | =9 +300 5", ".!.!.!.t 5"; "a position without events does not resubscribe forever")]
fn a_line_is_decided_by_its_position(lines: &str, decided: &str) {
    assert_eq!(decisions(lines), decided);
}

#[test]
fn watches_lost_simultaneously_are_resubscribed_with_jitter_and_growing_backoff() {
    let backoffs_of = |seed: u64| {
        let mut watch = EndpointWatch::new(4, seed);
        (0..8)
            .map(|_| watch.next_backoff() / MILLISECOND)
            .collect::<Vec<Nanos>>()
    };
    let backoffs_by_seed: Vec<Vec<Nanos>> = (0..300).map(backoffs_of).collect();
    for interval in 0..10 {
        let count = backoffs_by_seed
            .iter()
            .filter(|backoffs| backoffs[0] / 10 == interval)
            .count();
        assert!(
            (10..=60).contains(&count),
            "{count} first retries in 10 ms interval {interval}"
        );
    }
    assert!(
        backoffs_by_seed.iter().all(|backoffs| backoffs[1] >= 100
            && backoffs[3..].iter().all(|ms| (300..=600).contains(ms)))
    );
    let mean = backoffs_by_seed
        .iter()
        .flat_map(|backoffs| &backoffs[3..])
        .sum::<u64>() as f64
        / (300.0 * 5.0);
    assert!((420.0..480.0).contains(&mean), "{mean} ms");
}

#[test]
fn a_valid_line_resets_the_backoff() {
    let mut watch = EndpointWatch::new(4, 7);
    for _ in 0..6 {
        watch.next_backoff();
    }
    watch.on_subscribed();
    watch.on_line(0, WatchLine::LastPosition(4));
    assert!(watch.next_backoff() <= 100 * MILLISECOND);
}
