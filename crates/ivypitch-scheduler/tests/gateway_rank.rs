//! The distribution of engines over the gateways' subsets. The tests count ranks only, so that
//! their results are the same on any machine.

use ivypitch_scheduler::gateway_rank;
use ivypitch_types::hash_to_unit_interval;
use test_case::test_case;

/// Returns the gateway's subset: the `count` engines that rank the gateway lowest.
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

fn engine_ids(engines: usize) -> Vec<u64> {
    (0..engines as u64)
        .map(|engine| engine * 7919 + 17)
        .collect()
}

/// Returns the least and the largest number of gateways that have an engine in their subset, both
/// divided by the mean, and the number of engines in no subset.
fn gateways_per_engine(gateways: usize, engines: usize, count: usize) -> (f64, f64, usize) {
    let all = engine_ids(engines);
    let mut counts = vec![0u32; engines];
    for member_index in 0..gateways {
        subset(&all, member_index, gateways, count)
            .iter()
            .for_each(|id| counts[((id - 17) / 7919) as usize] += 1);
    }
    let mean = (gateways * count) as f64 / engines as f64;
    let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    (
        f64::from(*min) / mean,
        f64::from(*max) / mean,
        counts.iter().filter(|&&count| count == 0).count(),
    )
}

#[test_case(1)]
#[test_case(2)]
#[test_case(30)]
#[test_case(273)]
#[test_case(3800)]
fn every_rank_at_an_engine_goes_to_one_gateway(gateways: usize) {
    for id in engine_ids(5) {
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
    let (min, max, in_none) = gateways_per_engine(gateways, engines, count);
    println!(
        "{gateways} gateways x {engines} engines, subsets of {count}: {min:.2} to {max:.2} of the mean, \
         {in_none} engines in no subset"
    );
    assert!(
        min >= low && max <= high && in_none == 0,
        "{min:.2} to {max:.2} of the mean, {in_none} engines in no subset"
    );
}

/// Takes two minutes without optimization: run by hand with `--ignored` on a release build.
#[test]
#[ignore = "167 million ranks: run by hand on a release build"]
fn each_engine_is_in_nearly_as_many_subsets_at_the_planned_size() {
    let (min, max, in_none) = gateways_per_engine(3800, 44_000, 82);
    println!(
        "3,800 gateways x 44,000 engines, subsets of 82: {min:.2} to {max:.2} of the mean, \
         {in_none} engines in no subset"
    );
    assert!(
        min >= 0.3 && max <= 2.0 && in_none == 0,
        "{min:.2} to {max:.2} of the mean, {in_none} engines in no subset"
    );
}

#[test]
fn one_engine_more_or_less_changes_one_engine_in_the_subsets_that_have_it() {
    let (gateways, count) = (273, 5);
    let (all, all_but_one) = (engine_ids(80), engine_ids(79));
    let mut changed_subsets = 0;
    for member_index in 0..gateways {
        let (with, without) = (
            subset(&all, member_index, gateways, count),
            subset(&all_but_one, member_index, gateways, count),
        );
        let removed = with.iter().filter(|id| !without.contains(id)).count();
        assert!(
            removed <= 1,
            "gateway {member_index}: {with:?}, {without:?}"
        );
        changed_subsets += removed;
    }
    // As many subsets change as contain the engine: 17 in the mean.
    assert!(
        (9..=26).contains(&changed_subsets),
        "{changed_subsets} subsets changed"
    );
}

#[test]
fn gateways_that_share_one_engine_share_few_others() {
    let (gateways, count) = (273, 5);
    let all: Vec<_> = (0..gateways)
        .map(|member_index| subset(&engine_ids(80), member_index, gateways, count))
        .collect();
    let mut equal_pairs = 0;
    for a in 0..gateways {
        equal_pairs += (0..a).filter(|&b| all[a] == all[b]).count();
    }
    // Disjoint groups of 17 gateways with the same subset would give 2,184 such pairs.
    assert!(
        equal_pairs < 50,
        "{equal_pairs} pairs of gateways with the same engines"
    );
}
