//! The experiment `members`: failure detection of the membership protocol, in virtual time.

use crate::report::{Bound, Report};
use crate::virtual_time::membership_fleet::{self, TransitTime};

/// Measures failure detection under datagram loss at several sizes, then under a partition.
pub fn run(quick: bool, seed: u64) -> Report {
    let mut report = Report::new("members", seed);
    let sizes: &[(usize, u64)] = if quick {
        &[(3, 30), (30, 30), (100, 20)]
    } else {
        &[(3, 300), (30, 300), (300, 300)]
    };
    // At most one false detection per hour is allowed, so one hour of a large fleet is simulated.
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
        let verdict = membership_fleet::run(hour, seed);
        let name = "virtual time, 300 members, 5% of datagrams dropped, one hour: live members reported lost";
        report.bounds.push(Bound::new(
            name,
            verdict.falsely_lost_members as f64,
            0.0,
            1.0,
        ));
    }
    for &(size, seconds) in sizes {
        let config = ivypitch_membership::MembershipConfig::default();
        let without_losses = membership_fleet::Fleet {
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
        let with_losses = membership_fleet::Fleet {
            kill_interval_ms: Some(2000),
            ..without_losses
        };
        let partitioned = membership_fleet::Fleet {
            partition_ms: Some(6000),
            seconds: 20,
            ..without_losses
        };
        let (without_losses, with_losses, partitioned) = std::thread::scope(|scope| {
            let without_losses = scope.spawn(|| membership_fleet::run(without_losses, seed));
            let partitioned = scope.spawn(|| membership_fleet::run(partitioned, seed));
            let with_losses = membership_fleet::run(with_losses, seed);
            (
                without_losses.join().unwrap_or_default(),
                with_losses,
                partitioned.join().unwrap_or_default(),
            )
        });
        let scenario =
            format!("virtual time, {size} members, 5% of datagrams dropped, {seconds} s");
        let mut add_bound = |name: &str, value, min, max| {
            report
                .bounds
                .push(Bound::new(&format!("{scenario}: {name}"), value, min, max))
        };
        add_bound(
            "until all members know all, ms",
            without_losses.joined_ms as f64,
            0.0,
            10_000.0,
        );
        add_bound("kills", with_losses.kills as f64, 1.0, f64::MAX);
        add_bound(
            "detection of a loss, median ms",
            with_losses.detection_p50_ms as f64,
            0.0,
            f64::MAX,
        );
        add_bound(
            "detection of a loss, p99 ms",
            with_losses.detection_p99_ms as f64,
            0.0,
            1000.0,
        );
        add_bound(
            "detection of a loss, maximum ms",
            with_losses.max_detection_ms as f64,
            0.0,
            f64::MAX,
        );
        add_bound(
            "live members reported lost, no losses",
            without_losses.falsely_lost_members as f64,
            0.0,
            0.0,
        );
        add_bound(
            "live members reported lost, during losses",
            with_losses.falsely_lost_members as f64,
            0.0,
            0.0,
        );
        add_bound(
            "datagrams per member and second",
            without_losses.datagrams_per_member_second,
            0.0,
            f64::MAX,
        );
        add_bound(
            "bytes per member and second",
            without_losses.bytes_per_member_second,
            0.0,
            f64::MAX,
        );
        if size > 3 {
            add_bound(
                "partitioned members that suspect a partition, fraction",
                partitioned.suspecting_in_minority as f64 / (size / 3) as f64,
                0.9,
                f64::MAX,
            );
            add_bound(
                "other members that suspect a partition",
                partitioned.suspecting_elsewhere as f64,
                0.0,
                0.0,
            );
        }
    }
    report
}
