//! Repair of gaps: the observations that another member lacks.

use ivypitch_types::Nanos;

use super::known_versions::KnownVersions;
use crate::gossip::age_ms;
use crate::message::{KnownVersion, ObservationUpdate};
use crate::observations::{OBSERVATION_TTL, ObservationTable};

/// Maximum number of members whose observations one datagram repairs, which bounds its size.
const MAX_REPAIRED_MEMBERS: usize = 16;
/// Maximum number of updates in one datagram, which bounds its size.
const MAX_REPAIRED_UPDATES: usize = 40;

/// Content of a datagram that repairs gaps.
pub(super) struct Repair {
    pub(super) updates: Vec<ObservationUpdate>,
    /// Versions of the members whose missing observations are all among the updates. The other
    /// members are repaired after a later digest.
    pub(super) complete_up_to: Vec<KnownVersion>,
}

/// Collects the observations after the versions in `versions_behind`, as many as fit into one
/// datagram.
pub(super) fn build_repair(
    now: Nanos,
    versions_behind: &[KnownVersion],
    table: &ObservationTable,
    versions: &KnownVersions,
) -> Repair {
    let mut updates = Vec::new();
    let mut complete_up_to = Vec::new();
    for known in versions_behind.iter().take(MAX_REPAIRED_MEMBERS) {
        let updates_before = updates.len();
        push_updates_after(now, *known, table, &mut updates);
        if updates.len() > MAX_REPAIRED_UPDATES {
            let is_first = updates_before == 0;
            updates.truncate(if is_first {
                MAX_REPAIRED_UPDATES
            } else {
                updates_before
            });
            break;
        }
        complete_up_to.extend(versions.get(known.observer.member));
    }
    Repair {
        updates,
        complete_up_to,
    }
}

fn push_updates_after(
    now: Nanos,
    known: KnownVersion,
    table: &ObservationTable,
    updates: &mut Vec<ObservationUpdate>,
) {
    for &engine in table.engines() {
        let Some(stored) = table.get(engine, known.observer.member) else {
            continue;
        };
        if stored.version > known.version && now < stored.observed_at + OBSERVATION_TTL {
            updates.push(ObservationUpdate {
                observer: known.observer,
                engine,
                version: stored.version,
                age_ms: age_ms(now, stored.observed_at),
                observation: stored.observation,
            });
        }
    }
}
