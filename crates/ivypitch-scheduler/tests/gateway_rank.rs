//! Which gateways have which engines in their subsets: by counts of ranks alone, the same on any machine.

use ivypitch_scheduler::gateway_rank;
use ivypitch_types::hash_to_unit_interval;
use test_case::test_case;

/// The engines that rank the gateway lowest, so many of them: its subset.
fn subset(engines: &[u64], member_index: usize, gateways: usize, count: usize) -> Vec<u64> {
    let key = |id: &u64| {
        (
            gateway_rank(*id, member_index, gateways),
            (hash_to_unit_interval(id) * 1e9) as u64,
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

/// The least and the most gateways that have an engine in their subset, over the mean; engines in no subset.
fn gateways_per_engine(gateways: usize, engines: usize, count: usize) -> (f64, f64, usize) {
    let all = ids(engines);
    let mut counts = vec![0u32; engines];
    for member_index in 0..gateways {
        subset(&all, member_index, gateways, count)
            .iter()
            .for_each(|id| counts[((id - 17) / 7919) as usize] += 1);
    }
    let mean = (gateways * count) as f64 / engines as f64;
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    (
        f64::from(*least) / mean,
        f64::from(*most) / mean,
        counts.iter().filter(|&&n| n == 0).count(),
    )
}

#[test_case(1)]
#[test_case(2)]
#[test_case(30)]
#[test_case(273)]
#[test_case(3800)]
fn every_rank_at_an_engine_goes_to_one_gateway(gateways: usize) {
    for id in ids(5) {
        let mut ranks: Vec<usize> = (0..gateways)
            .map(|member_index| gateway_rank(id, member_index, gateways))
            .collect();
        ranks.sort_unstable();
        assert!(
            ranks.iter().enumerate().all(|(i, rank)| i == *rank),
            "{gateways} gateways, engine {id}"
        );
    }
}

#[test_case(273, 80, 5, 0.5, 1.5)]
#[test_case(303, 61, 5, 0.5, 1.5)]
#[test_case(380, 4400, 82, 0.4, 1.7)]
fn each_engine_is_in_nearly_as_many_subsets(
    gateways: usize,
    engines: usize,
    count: usize,
    low: f64,
    high: f64,
) {
    let (least, most, in_none) = gateways_per_engine(gateways, engines, count);
    println!(
        "{gateways} x {engines}, subsets of {count}: {least:.2} to {most:.2} of the mean, {in_none} in none"
    );
    assert!(
        least >= low && most <= high && in_none == 0,
        "{least:.2} to {most:.2}, {in_none} in none"
    );
}

/// Two minutes unoptimized: by hand, with `--ignored` on a release build.
#[test]
#[ignore = "167 million ranks: run by hand on a release build"]
fn each_engine_is_in_nearly_as_many_subsets_at_the_planned_size() {
    let (least, most, in_none) = gateways_per_engine(3800, 44_000, 82);
    println!(
        "3,800 x 44,000, subsets of 82: {least:.2} to {most:.2} of the mean, {in_none} in none"
    );
    assert!(
        least >= 0.3 && most <= 2.0 && in_none == 0,
        "{least:.2} to {most:.2}, {in_none} in none"
    );
}

#[test]
fn one_engine_more_or_less_changes_one_engine_in_the_subsets_that_have_it() {
    let (gateways, count) = (273, 5);
    let (all, less) = (ids(80), ids(79));
    let mut moved = 0;
    for member_index in 0..gateways {
        let (with, without) = (
            subset(&all, member_index, gateways, count),
            subset(&less, member_index, gateways, count),
        );
        let gone = with.iter().filter(|id| !without.contains(id)).count();
        assert!(gone <= 1, "gateway {member_index}: {with:?}, {without:?}");
        moved += gone;
    }
    // As many as have an engine in their subset: 17 in the mean.
    assert!((9..=26).contains(&moved), "{moved} subsets changed");
}

#[test]
fn gateways_that_share_one_engine_share_few_others() {
    let (gateways, count) = (273, 5);
    let all: Vec<_> = (0..gateways)
        .map(|member_index| subset(&ids(80), member_index, gateways, count))
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
