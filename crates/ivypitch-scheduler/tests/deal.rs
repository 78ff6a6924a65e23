//! How engines are dealt to gateways: by counts of places alone, the same on any machine.

use ivypitch_scheduler::gateway_rank;
use ivypitch_types::unit_hash;
use test_case::test_case;

/// The engines with the lowest places at a gateway, so many of them.
fn kept(engines: &[u64], me: usize, gateways: usize, count: usize) -> Vec<u64> {
    let key = |id: &u64| {
        (
            gateway_rank(*id, me, gateways),
            (unit_hash(id) * 1e9) as u64,
            *id,
        )
    };
    let mut keys: Vec<_> = engines.iter().map(key).collect();
    keys.select_nth_unstable(count - 1);
    let mut ids: Vec<u64> = keys[..count].iter().map(|key| key.2).collect();
    ids.sort_unstable();
    ids
}

fn ids(engines: usize) -> Vec<u64> {
    (0..engines as u64).map(|e| e * 7919 + 17).collect()
}

/// The least and the most gateways that hold an engine, over the mean; engines that nobody holds.
fn holders(gateways: usize, engines: usize, count: usize) -> (f64, f64, usize) {
    let all = ids(engines);
    let mut held = vec![0u32; engines];
    for me in 0..gateways {
        kept(&all, me, gateways, count)
            .iter()
            .for_each(|id| held[((id - 17) / 7919) as usize] += 1);
    }
    let mean = (gateways * count) as f64 / engines as f64;
    let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
    (
        f64::from(*least) / mean,
        f64::from(*most) / mean,
        held.iter().filter(|&&n| n == 0).count(),
    )
}

#[test_case(1)]
#[test_case(2)]
#[test_case(30)]
#[test_case(273)]
#[test_case(3800)]
fn every_place_at_an_engine_goes_to_one_gateway(gateways: usize) {
    for id in ids(5) {
        let mut places: Vec<usize> = (0..gateways)
            .map(|me| gateway_rank(id, me, gateways))
            .collect();
        places.sort_unstable();
        assert!(
            places.iter().enumerate().all(|(i, place)| i == *place),
            "{gateways} gateways, engine {id}"
        );
    }
}

#[test_case(273, 80, 5, 0.5, 1.5)]
#[test_case(303, 61, 5, 0.5, 1.5)]
#[test_case(380, 4400, 82, 0.4, 1.7)]
fn engines_are_held_by_nearly_as_many(
    gateways: usize,
    engines: usize,
    count: usize,
    low: f64,
    high: f64,
) {
    let (least, most, nobody) = holders(gateways, engines, count);
    println!(
        "{gateways} x {engines}, {count} kept: {least:.2} to {most:.2} of the mean, {nobody} by nobody"
    );
    assert!(
        least >= low && most <= high && nobody == 0,
        "{least:.2} to {most:.2}, {nobody} by nobody"
    );
}

/// Two minutes unoptimized: by hand, with `--ignored` on a release build.
#[test]
#[ignore = "167 million places: run by hand on a release build"]
fn engines_are_held_by_nearly_as_many_at_the_size_to_plan_with() {
    let (least, most, nobody) = holders(3800, 44_000, 82);
    println!("3,800 x 44,000, 82 kept: {least:.2} to {most:.2} of the mean, {nobody} by nobody");
    assert!(
        least >= 0.3 && most <= 2.0 && nobody == 0,
        "{least:.2} to {most:.2}, {nobody} by nobody"
    );
}

#[test]
fn one_engine_more_or_less_moves_one_place_at_the_gateways_that_hold_it() {
    let (gateways, count) = (273, 5);
    let (all, less) = (ids(80), ids(79));
    let mut moved = 0;
    for me in 0..gateways {
        let (with, without) = (
            kept(&all, me, gateways, count),
            kept(&less, me, gateways, count),
        );
        let gone = with.iter().filter(|id| !without.contains(id)).count();
        assert!(gone <= 1, "gateway {me}: {with:?}, {without:?}");
        moved += gone;
    }
    // As many as hold an engine: 17 in the mean.
    assert!((9..=26).contains(&moved), "{moved} gateways moved a place");
}

#[test]
fn gateways_that_share_one_engine_share_few_others() {
    let (gateways, count) = (273, 5);
    let all: Vec<_> = (0..gateways)
        .map(|me| kept(&ids(80), me, gateways, count))
        .collect();
    let mut alike = 0;
    for a in 0..gateways {
        alike += (0..a).filter(|&b| all[a] == all[b]).count();
    }
    // Closed cells of 17 gateways would make 2,184 such pairs.
    assert!(
        alike < 50,
        "{alike} pairs of gateways with the same engines"
    );
}
