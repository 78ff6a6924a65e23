//! Members in virtual time.

use crate::report::{Bound, Report};
use crate::virtual_time::members_fleet;

/// Losses among many members with datagrams dropped; then a cut.
pub fn play(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("members", seed);
    let sizes: &[(usize, u64)] = if quick {
        &[(3, 30), (30, 30), (100, 20)]
    } else {
        &[(3, 300), (30, 300), (300, 300)]
    };
    // A living member is lost no more than once an hour: an hour of a large fleet is played.
    if !quick {
        let hour = members_fleet::Fleet {
            members: 300,
            zones: 3,
            drop: 0.05,
            way: (0.2, 3.0),
            settles: 0,
            seconds: 3600,
            kill_each: 0,
            cut: 0,
            config: ivypitch_membership::MembershipConfig::default(),
        };
        let told = members_fleet::play(hour, seed);
        let what =
            "virtual time, 300 members, 5% of datagrams dropped, an hour: living members told lost";
        report
            .bounds
            .push(Bound::new(what, told.false_lost as f64, 0.0, 1.0));
    }
    for &(size, seconds) in sizes {
        let config = ivypitch_membership::MembershipConfig::default();
        let calm = members_fleet::Fleet {
            members: size,
            zones: 3,
            drop: 0.05,
            way: (0.2, 3.0),
            settles: 0,
            seconds,
            kill_each: 0,
            cut: 0,
            config,
        };
        let losses = members_fleet::Fleet {
            kill_each: 2000,
            ..calm
        };
        let cut = members_fleet::Fleet {
            cut: 6000,
            seconds: 20,
            ..calm
        };
        let (calm, losses, cut) = std::thread::scope(|scope| {
            let calm = scope.spawn(|| members_fleet::play(calm, seed));
            let cut = scope.spawn(|| members_fleet::play(cut, seed));
            let losses = members_fleet::play(losses, seed);
            (
                calm.join().unwrap_or_default(),
                losses,
                cut.join().unwrap_or_default(),
            )
        });
        let place = format!("virtual time, {size} members, 5% of datagrams dropped, {seconds} s");
        let mut bound = |what: &str, is, least, most| {
            report
                .bounds
                .push(Bound::new(&format!("{place}: {what}"), is, least, most))
        };
        bound(
            "until all hear all, ms",
            calm.joined_ms as f64,
            0.0,
            10_000.0,
        );
        bound("kills", losses.kills as f64, 1.0, f64::MAX);
        bound(
            "a loss is known, median ms",
            losses.p50_ms as f64,
            0.0,
            f64::MAX,
        );
        bound("a loss is known, p99 ms", losses.p99_ms as f64, 0.0, 1000.0);
        bound(
            "a loss is known, at the latest ms",
            losses.most_ms as f64,
            0.0,
            f64::MAX,
        );
        bound(
            "living members told lost, calm",
            calm.false_lost as f64,
            0.0,
            0.0,
        );
        bound(
            "living members told lost, beside losses",
            losses.false_lost as f64,
            0.0,
            0.0,
        );
        bound(
            "datagrams a member a second",
            calm.datagrams_a_member_s,
            0.0,
            f64::MAX,
        );
        bound(
            "bytes a member a second",
            calm.bytes_a_member_s,
            0.0,
            f64::MAX,
        );
        if size > 3 {
            bound(
                "cut-off members that doubt themselves, part",
                cut.doubted as f64 / (size / 3) as f64,
                0.9,
                f64::MAX,
            );
            bound(
                "others that doubt themselves",
                cut.doubted_elsewhere as f64,
                0.0,
                0.0,
            );
        }
    }
    report
}
