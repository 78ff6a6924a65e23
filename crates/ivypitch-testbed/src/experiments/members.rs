//! Members in virtual time.

use crate::report::{Bound, Report};
use crate::virtual_time::membership_fleet::{self, TransitTime};

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
        let hour = membership_fleet::Fleet {
            members: 300,
            zones: 3,
            datagram_loss: 0.05,
            transit: TransitTime {
                min_ms: 0.2,
                max_ms: 3.0,
            },
            settle_seconds: 0,
            seconds: 3600,
            kill_interval_ms: None,
            partition_ms: None,
            config: ivypitch_membership::MembershipConfig::default(),
        };
        let told = membership_fleet::run(hour, seed);
        let what =
            "virtual time, 300 members, 5% of datagrams dropped, an hour: living members told lost";
        report
            .bounds
            .push(Bound::new(what, told.falsely_lost_members as f64, 0.0, 1.0));
    }
    for &(size, seconds) in sizes {
        let config = ivypitch_membership::MembershipConfig::default();
        let calm = membership_fleet::Fleet {
            members: size,
            zones: 3,
            datagram_loss: 0.05,
            transit: TransitTime {
                min_ms: 0.2,
                max_ms: 3.0,
            },
            settle_seconds: 0,
            seconds,
            kill_interval_ms: None,
            partition_ms: None,
            config,
        };
        let losses = membership_fleet::Fleet {
            kill_interval_ms: Some(2000),
            ..calm
        };
        let cut = membership_fleet::Fleet {
            partition_ms: Some(6000),
            seconds: 20,
            ..calm
        };
        let (calm, losses, cut) = std::thread::scope(|scope| {
            let calm = scope.spawn(|| membership_fleet::run(calm, seed));
            let cut = scope.spawn(|| membership_fleet::run(cut, seed));
            let losses = membership_fleet::run(losses, seed);
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
            losses.detection_p50_ms as f64,
            0.0,
            f64::MAX,
        );
        bound(
            "a loss is known, p99 ms",
            losses.detection_p99_ms as f64,
            0.0,
            1000.0,
        );
        bound(
            "a loss is known, at the latest ms",
            losses.max_detection_ms as f64,
            0.0,
            f64::MAX,
        );
        bound(
            "living members told lost, calm",
            calm.falsely_lost_members as f64,
            0.0,
            0.0,
        );
        bound(
            "living members told lost, beside losses",
            losses.falsely_lost_members as f64,
            0.0,
            0.0,
        );
        bound(
            "datagrams a member a second",
            calm.datagrams_per_member_second,
            0.0,
            f64::MAX,
        );
        bound(
            "bytes a member a second",
            calm.bytes_per_member_second,
            0.0,
            f64::MAX,
        );
        if size > 3 {
            bound(
                "cut-off members that doubt themselves, part",
                cut.suspecting_in_minority as f64 / (size / 3) as f64,
                0.9,
                f64::MAX,
            );
            bound(
                "others that doubt themselves",
                cut.suspecting_elsewhere as f64,
                0.0,
                0.0,
            );
        }
    }
    report
}
