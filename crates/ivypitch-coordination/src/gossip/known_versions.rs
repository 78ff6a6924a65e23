//! Versions of the known observations of each member, which anti-entropy compares.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ivypitch_types::{MemberId, ProcessId};
use siphasher::sip::SipHasher13;

use crate::message::KnownVersion;

/// Number of buckets that a digest divides the members into.
pub(super) const BUCKET_COUNT: usize = 16;

fn bucket_of(member: MemberId) -> usize {
    member.as_usize() % BUCKET_COUNT
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

    /// Records a received observation. A missing earlier observation leaves a gap, which
    /// anti-entropy repairs.
    pub(super) fn record(&mut self, observer: ProcessId, version: u32) {
        let initial = KnownVersion {
            observer,
            version: 0,
        };
        let known = self.by_member.entry(observer.member).or_insert(initial);
        if known.observer != observer {
            *known = initial;
        }
        if version == known.version + 1 {
            known.version = version;
        }
    }

    /// Records that all observations up to these versions have arrived or are superseded.
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

    /// Returns a hash of the versions in each bucket, independent of their order.
    pub(super) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0u32; BUCKET_COUNT];
        for (&member, known) in &self.by_member {
            let mut hasher = SipHasher13::new();
            hasher.write_u16(member.0);
            hasher.write_u64(known.observer.incarnation.0);
            hasher.write_u32(known.version);
            buckets[bucket_of(member)] ^= hasher.finish() as u32;
        }
        buckets
    }

    /// Returns the versions in the buckets whose hashes differ from those of a peer. `None`: all
    /// hashes are equal.
    pub(super) fn versions_in_differing_buckets(
        &self,
        peer_digest: &[u32],
    ) -> Option<Vec<KnownVersion>> {
        let own_digest = self.digest();
        if peer_digest == own_digest {
            return None;
        }
        let differs = |known: &&KnownVersion| {
            let bucket = bucket_of(known.observer.member);
            peer_digest.get(bucket) != own_digest.get(bucket)
        };
        Some(self.by_member.values().filter(differs).copied().collect())
    }

    /// Returns the observers of which a peer has an older version, with the peer's versions.
    pub(super) fn peer_versions_behind(&self, peer_versions: &[KnownVersion]) -> Vec<KnownVersion> {
        let mut behind = Vec::new();
        for known in self.by_member.values() {
            let member = known.observer.member;
            let Some(other) = peer_versions
                .iter()
                .find(|other| other.observer.member == member)
            else {
                continue;
            };
            let is_same_process = other.observer == known.observer;
            let version = if is_same_process { other.version } else { 0 };
            if version < known.version {
                behind.push(KnownVersion {
                    observer: known.observer,
                    version,
                });
            }
        }
        behind
    }

    /// Whether a peer has a newer version of any observer.
    pub(super) fn is_behind(&self, peer_versions: &[KnownVersion]) -> bool {
        peer_versions.iter().any(|other| {
            let Some(own) = self.by_member.get(&other.observer.member) else {
                return true;
            };
            other.observer.incarnation > own.observer.incarnation
                || (other.observer == own.observer && other.version > own.version)
        })
    }

    /// Returns this member's versions of the observers in a peer's versions.
    pub(super) fn own_versions_of_same_observers(
        &self,
        peer_versions: &[KnownVersion],
    ) -> Vec<KnownVersion> {
        let own_version = |observer: ProcessId| {
            self.by_member
                .get(&observer.member)
                .filter(|own| own.observer == observer)
                .map_or(0, |own| own.version)
        };
        peer_versions
            .iter()
            .map(|other| KnownVersion {
                observer: other.observer,
                version: own_version(other.observer),
            })
            .collect()
    }
}
