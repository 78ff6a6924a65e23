//! What all words on an engine say together. Outcomes of all members are laid together, of each only a few, so that none
//! can have an engine left out for all, nor keep a bad one in; a member that finds fault with most engines is taken for
//! ill itself; and no more than a part of the engines is left out, the worst first.

use std::hash::Hasher;

use ivypitch_types::{Nanos, SECOND};
use siphasher::sip::SipHasher13;

use crate::sights::{Sight, Table};

/// The newest words, one of each member, are laid together: as an engine is judged by the last few outcomes alone, it
/// is by the last few members that met it together.
const LAST_FEW: usize = 8;
/// Of one member so many outcomes count.
const OF_A_MEMBER: f64 = 2.0;
/// An engine is left out once so many failures were seen by so many members (by most, where there are few), and fewer
/// than this part went well.
const FEWEST_FAILURES: f64 = 3.0;
const FEWEST_MEMBERS: usize = 3;
const FEWEST_SUCCESSES: f64 = 0.375;
/// It is well once so many members met it lately and this part went well.
const WELL_BY: usize = 2;
/// It is back with this part, or as nobody has said anything bad of it for the life of a word.
const BACK_FROM: f64 = 0.6;
/// What nobody can reach counts as failing only where members of most zones that say anything say so.
const ZONES_UNREACHED: f64 = 0.5;
/// A member that finds fault with more than this part of the engines of which it speaks, and with so many times the
/// part that others do, is ill or badly connected.
const ILL_FROM: f64 = 0.5;
const ILL_TIMES: f64 = 2.0;
const LEAST_ENGINES_TO_BE_ILL: usize = 3;
/// No more than this part of the engines is left out.
pub const MOST_OUT: f64 = 0.34;
/// A suspected engine is tried by about so many members in each of these spans.
const TRIERS: f64 = 3.0;
const TRIAL_SPAN: Nanos = SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub engine: u64,
    pub is_out: bool,
    /// Failures and outcomes laid together, and members that speak of it.
    pub failures: f64,
    pub outcomes: f64,
    pub members: usize,
    /// Members of most zones can't reach it.
    pub unreached: bool,
    /// Some members met it lately and it went well.
    pub is_well: bool,
}

/// Keeps which engines are out, since who is back needs more than who was never out.
#[derive(Default)]
pub struct Verdicts {
    out: Vec<u64>,
}

impl Verdicts {
    pub fn out(&self) -> &[u64] {
        &self.out
    }

    /// `zones`: of each member, by place. `listed`: engines that are ready.
    pub fn judge(
        &mut self,
        now: Nanos,
        table: &Table,
        zones: &[u16],
        listed: &[u64],
    ) -> Vec<Verdict> {
        let ill = ill(now, table, zones.len());
        let mut all: Vec<Verdict> = listed
            .iter()
            .map(|&engine| self.one(now, table, zones, &ill, engine))
            .collect();
        let most = (listed.len() as f64 * MOST_OUT).floor() as usize;
        let worst = |v: &Verdict| v.failures / v.outcomes.max(1.0);
        let mut out: Vec<usize> = (0..all.len()).filter(|&i| all[i].is_out).collect();
        out.sort_by(|&a, &b| {
            worst(&all[b])
                .total_cmp(&worst(&all[a]))
                .then(all[a].engine.cmp(&all[b].engine))
        });
        for &i in out.iter().skip(most) {
            all[i].is_out = false;
        }
        self.out = all.iter().filter(|v| v.is_out).map(|v| v.engine).collect();
        all
    }

    fn one(&self, now: Nanos, table: &Table, zones: &[u16], ill: &[bool], engine: u64) -> Verdict {
        let (mut failures, mut outcomes, mut members, mut accusers, mut defenders) =
            (0.0, 0.0, 0, 0, 0);
        let is_ill = |member: u16| ill.get(usize::from(member)) == Some(&true);
        let mut words: Vec<(u16, Sight, f64)> = table
            .fresh(engine, now)
            .filter(|&(member, ..)| !is_ill(member))
            .collect();
        words.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
        // By zone: weight of members that can't reach it, and of all that speak.
        let mut ways: Vec<(u16, f64, f64)> = Vec::new();
        let met = |sight: &Sight| f64::from(sight.successes) + f64::from(sight.failures);
        let mut laid = 0;
        for (member, sight, weight) in words {
            let at = usize::from(member);
            let told = met(&sight);
            members += 1;
            if told > 0.0 && laid < LAST_FEW {
                laid += 1;
                let counts = told.min(OF_A_MEMBER) * weight;
                failures += counts * f64::from(sight.failures) / told;
                outcomes += counts;
                accusers += usize::from(sight.failures > sight.successes);
                defenders += usize::from(sight.successes > sight.failures);
            }
            let zone = zones.get(at).copied().unwrap_or(u16::MAX);
            let way = match ways.iter_mut().find(|way| way.0 == zone) {
                Some(way) => way,
                None => {
                    ways.push((zone, 0.0, 0.0));
                    ways.last_mut().unwrap_or_else(|| unreachable!())
                }
            };
            way.1 += if sight.unreached > 0 && told == 0.0 {
                weight
            } else {
                0.0
            };
            way.2 += weight;
        }
        let dark = ways.iter().filter(|way| way.1 > 0.5 * way.2).count();
        // All of one zone alone may be that zone's own way.
        let unreached = dark as f64 > ZONES_UNREACHED * ways.len() as f64
            && (dark > 1
                || zones
                    .iter()
                    .all(|&zone| Some(zone) == zones.first().copied()))
            && members >= FEWEST_MEMBERS.min(zones.len() / 2 + 1);
        let fewest = FEWEST_MEMBERS.min(zones.len() / 2 + 1);
        let good = 1.0 - failures / outcomes.max(1e-9);
        let was_out = self.out.contains(&engine);
        let is_out = unreached
            || match was_out {
                true => failures > 0.0 && good < BACK_FROM,
                false => {
                    failures >= FEWEST_FAILURES && accusers >= fewest && good < FEWEST_SUCCESSES
                }
            };
        let is_well = !is_out && defenders >= WELL_BY && good >= BACK_FROM;
        Verdict {
            engine,
            is_out,
            failures,
            outcomes,
            members,
            unreached,
            is_well,
        }
    }
}

/// Members whose word on engines is not taken now, by place.
fn ill(now: Nanos, table: &Table, members: usize) -> Vec<bool> {
    // Of each member: engines that it speaks of, and those with which it finds fault.
    let mut said = vec![(0usize, 0usize); members];
    for &engine in table.engines() {
        for (member, sight, _) in table.fresh(engine, now) {
            if let Some((all, bad)) = said.get_mut(usize::from(member)) {
                *all += 1;
                *bad += usize::from(sight.failures + sight.unreached > sight.successes);
            }
        }
    }
    let (all, bad) = said
        .iter()
        .fold((0, 0), |(a, b), &(all, bad)| (a + all, b + bad));
    let judge = |&(own, own_bad): &(usize, usize)| {
        let others = (bad - own_bad) as f64 / ((all - own).max(1)) as f64;
        let part = own_bad as f64 / own.max(1) as f64;
        own >= LEAST_ENGINES_TO_BE_ILL && part > ILL_FROM && part > ILL_TIMES * others
    };
    said.iter().map(judge).collect()
}

/// This member is one of the few that try a suspected engine in this span; which ones changes with each.
pub fn tries(now: Nanos, engine: u64, place: u16, heard: usize, seed: u64) -> bool {
    let mut hasher = SipHasher13::new_with_keys(engine, seed);
    hasher.write_u16(place);
    hasher.write_u64(now / TRIAL_SPAN);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 <= TRIERS / heard.max(1) as f64
}
