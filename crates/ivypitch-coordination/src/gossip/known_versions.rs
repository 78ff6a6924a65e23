//! Which observations of each member are known: what anti-entropy compares.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ivypitch_types::{MemberId, ProcessId};
use siphasher::sip::SipHasher13;

use crate::message::KnownVersion;

/// Parts that the members are divided into in a digest.
pub(super) const BUCKETS: usize = 16;

fn bucket(member: MemberId) -> usize {
    member.as_usize() % BUCKETS
}

/// For each member, the version up to which its observations are known without a gap.
#[derive(Default)]
pub(super) struct KnownVersions {
    by_member: BTreeMap<MemberId, KnownVersion>,
}

impl KnownVersions {
    pub(super) fn get(&self, member: MemberId) -> Option<KnownVersion> {
        self.by_member.get(&member).copied()
    }

    /// An observation arrived. One that is missing before it leaves a gap, which anti-entropy repairs.
    pub(super) fn record(&mut self, observer: ProcessId, version: u32) {
        let nothing = KnownVersion {
            observer,
            version: 0,
        };
        let known = self.by_member.entry(observer.member).or_insert(nothing);
        if known.observer != observer {
            *known = nothing;
        }
        if version == known.version + 1 {
            known.version = version;
        }
    }

    /// Everything up to these versions has arrived or is superseded.
    pub(super) fn on_repaired(&mut self, complete_up_to: &[KnownVersion]) {
        for complete in complete_up_to {
            let known = self
                .by_member
                .entry(complete.observer.member)
                .or_insert(*complete);
            if known.observer == complete.observer {
                known.version = known.version.max(complete.version);
            } else if known.observer.incarnation < complete.observer.incarnation {
                *known = *complete;
            }
        }
    }

    /// A hash of the versions in each bucket, independent of their order.
    pub(super) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0u32; BUCKETS];
        for (&member, known) in &self.by_member {
            let mut hasher = SipHasher13::new();
            hasher.write_u16(member.0);
            hasher.write_u64(known.observer.incarnation.0);
            hasher.write_u32(known.version);
            buckets[bucket(member)] ^= hasher.finish() as u32;
        }
        buckets
    }

    /// The versions in the buckets whose hashes differ from these; `None`: all are equal.
    pub(super) fn differing(&self, theirs: &[u32]) -> Option<Vec<KnownVersion>> {
        let own = self.digest();
        if theirs == own {
            return None;
        }
        let differs = |known: &&KnownVersion| {
            let bucket = bucket(known.observer.member);
            theirs.get(bucket) != own.get(bucket)
        };
        Some(self.by_member.values().filter(differs).copied().collect())
    }

    /// The observers of which another member knows less, with the versions that it knows.
    pub(super) fn newer_than(&self, theirs: &[KnownVersion]) -> Vec<KnownVersion> {
        let mut newer = Vec::new();
        for known in self.by_member.values() {
            let member = known.observer.member;
            let Some(other) = theirs.iter().find(|other| other.observer.member == member) else {
                continue;
            };
            let is_same_process = other.observer == known.observer;
            let version = if is_same_process { other.version } else { 0 };
            if version < known.version {
                newer.push(KnownVersion {
                    observer: known.observer,
                    version,
                });
            }
        }
        newer
    }

    /// Whether another member knows more of any observer.
    pub(super) fn is_behind(&self, theirs: &[KnownVersion]) -> bool {
        theirs.iter().any(|other| {
            let Some(own) = self.by_member.get(&other.observer.member) else {
                return true;
            };
            other.observer.incarnation > own.observer.incarnation
                || (other.observer == own.observer && other.version > own.version)
        })
    }

    /// What is known of these same observers.
    pub(super) fn of_same_observers(&self, theirs: &[KnownVersion]) -> Vec<KnownVersion> {
        let own_version = |observer: ProcessId| {
            self.by_member
                .get(&observer.member)
                .filter(|own| own.observer == observer)
                .map_or(0, |own| own.version)
        };
        theirs
            .iter()
            .map(|other| KnownVersion {
                observer: other.observer,
                version: own_version(other.observer),
            })
            .collect()
    }
}
