//! A few members by hand: who is up, who is lost, who is another, who is no member of this list.

use ivypitch_membership::{Doubt, Members, News, Roster, Seat, Terms};
use ivypitch_types::{MILLISECOND, Nanos, SECOND};

fn roster(names: &[&str]) -> Roster {
    let seat = |(i, name): (usize, &&str)| Seat {
        name: (*name).to_owned(),
        zone: i as u16 % 2,
        address: ([127, 0, 0, 1], 1 + i as u16).into(),
    };
    Roster {
        seats: names.iter().enumerate().map(seat).collect(),
        zones: vec!["a".into(), "b".into()],
    }
}

struct Net {
    now: Nanos,
    /// By place; `None`: no process.
    members: Vec<Option<Members>>,
    news: Vec<(usize, News)>,
}

impl Net {
    fn new(names: &[&str]) -> Net {
        let one = |i: usize| {
            Some(Members::new(
                roster(names),
                i as u16,
                1,
                1,
                Terms::default(),
                9,
                0,
            ))
        };
        Net {
            now: 0,
            members: (0..names.len()).map(one).collect(),
            news: Vec::new(),
        }
    }

    /// Each datagram arrives within the millisecond.
    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while self.now < until {
            self.now += MILLISECOND;
            for i in 0..self.members.len() {
                let Some(members) = self.members[i].as_mut() else {
                    continue;
                };
                if members.next_wake() <= self.now {
                    members.woken(self.now);
                }
                while let Some((to, data)) = self.members[i].as_mut().and_then(Members::next_send) {
                    if let Some(to) = self
                        .members
                        .get_mut(usize::from(to))
                        .and_then(Option::as_mut)
                    {
                        to.datagram(self.now, &data);
                    }
                }
                while let Some(news) = self.members[i].as_mut().and_then(Members::next_news) {
                    self.news.push((i, news));
                }
            }
        }
    }

    fn told(&self, by: usize, news: News) -> bool {
        self.news.contains(&(by, news))
    }
}

#[test]
fn all_find_each_other_and_a_loss_is_known_within_a_second() {
    let mut net = Net::new(&["a", "b", "c", "d"]);
    net.run(SECOND);
    assert!(
        net.members
            .iter()
            .flatten()
            .all(|m| m.hearing().all_heard() == 4)
    );
    net.members[2] = None;
    net.run(SECOND);
    for by in [0, 1, 3] {
        assert!(
            net.told(
                by,
                News::Down {
                    place: 2,
                    birth: 1,
                    left: false
                }
            ),
            "{by}: {:?}",
            net.news
        );
    }
    assert!(
        net.members[0]
            .as_ref()
            .is_some_and(|m| m.hearing().is_majority())
    );
}

#[test]
fn a_restart_under_the_old_name_is_a_loss_and_a_new_member_at_once() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(SECOND);
    net.members[1] = Some(Members::new(
        roster(&["a", "b", "c"]),
        1,
        2,
        1,
        Terms::default(),
        4,
        net.now,
    ));
    net.run(SECOND / 2);
    for by in [0, 2] {
        let down = net.news.iter().position(|n| {
            *n == (
                by,
                News::Down {
                    place: 1,
                    birth: 1,
                    left: false,
                },
            )
        });
        let up = net
            .news
            .iter()
            .position(|n| *n == (by, News::Up { place: 1, birth: 2 }));
        assert!(down.is_some() && down < up, "{by}: {:?}", net.news);
    }
}

#[test]
fn one_that_hears_nobody_doubts_itself() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(SECOND);
    (net.members[1], net.members[2]) = (None, None);
    net.run(SECOND);
    let doubts = net
        .news
        .iter()
        .any(|(by, news)| *by == 0 && matches!(news, News::Doubts(d) if *d != Doubt::None));
    assert!(doubts, "{:?}", net.news);
    assert!(
        !net.members[0]
            .as_ref()
            .is_some_and(|m| m.hearing().is_majority())
    );
}

#[test]
fn a_member_of_another_list_or_version_is_told_of_once_and_not_heard() {
    let mut net = Net::new(&["a", "b"]);
    net.members[1] = Some(Members::new(
        roster(&["a", "x"]),
        1,
        1,
        1,
        Terms::default(),
        4,
        0,
    ));
    net.run(2 * SECOND);
    let strangers = net
        .news
        .iter()
        .filter(|(by, n)| *by == 0 && matches!(n, News::Stranger { place: 1, .. }));
    assert_eq!(strangers.count(), 1);
    assert!(!net.members[0].as_ref().is_some_and(|m| m.is_heard(1)));
    // Noise changes nothing.
    for noise in [&b""[..], &[0xff; 40], &[0; 1500]] {
        net.members[0].as_mut().unwrap().datagram(net.now, noise);
    }
}

/// Each hears each other, however they start: at once, or one by one while others send to seats that are still empty.
#[test]
fn a_large_fleet_that_starts_one_by_one_is_whole_soon() {
    let names: Vec<String> = (0..30).map(|i| format!("n{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for gap in [0, 8, 40, 400] {
        let mut net = Net::new(&names);
        net.members.iter_mut().for_each(|member| *member = None);
        for i in 0..names.len() {
            let birth = 1_796_171_261_574 + net.now / MILLISECOND;
            let member = Members::new(
                roster(&names),
                i as u16,
                birth,
                1,
                Terms::default(),
                9 + i as u64,
                net.now,
            );
            net.members[i] = Some(member);
            net.run(gap * MILLISECOND);
        }
        net.run(8 * SECOND);
        let heard: Vec<u16> = net
            .members
            .iter()
            .flatten()
            .map(|m| m.hearing().all_heard())
            .collect();
        assert!(
            heard.iter().all(|&n| n == 30),
            "started each {gap} ms: {heard:?}"
        );
    }
}
