//! State machine of the membership view.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_wire::frame::{Condition, Digest, Member};
use rand::{Rng, RngExt, seq::SliceRandom};

use super::State;
use crate::subset;

/// Time in which a suspected daemon may refute.
pub(crate) const SUSPICION: Duration = Duration::from_secs(4);
/// Time for which a daemon that is gone counts as known. Longer than a partition of regions, after
/// which a minority must not take itself for the whole fleet.
pub(crate) const GONE_RETENTION: Duration = Duration::from_secs(2 * 3_600);
/// Time for which a planned stop is remembered, so that late digests do not revive the daemon.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// Time without any answer after which a daemon counts itself alone.
const ALONE_AFTER: Duration = Duration::from_secs(4);
/// Digests that carry a changed entry.
const REPEATS: u32 = 8;
/// Largest number of changed entries in a digest.
const MAX_CHANGES: usize = 24;
/// Daemons of each other zone that are probed.
const REPRESENTATIVES: usize = 3;
/// One of that many probes goes to another zone.
const OUTSIDE_SHARE: u32 = 4;
/// One of that many probes goes to a daemon that is gone, which heals partitions.
const GONE_SHARE: u32 = 8;

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    since: Instant,
    repeats: u32,
}

/// Membership view.
#[derive(Clone, Debug)]
pub(crate) struct View {
    me: Member,
    records: BTreeMap<String, Record>,
    seeds: Vec<SocketAddr>,
    turn: Vec<String>,
    answered: Option<Instant>,
}

/// Whom to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    /// Name, unknown for a seed.
    pub(crate) name: Option<String>,
    pub(crate) address: SocketAddr,
}

fn order(member: &Member) -> (u64, u64, Condition) {
    (member.incarnation, member.revision, member.condition)
}

fn fingerprint(member: &Member) -> u64 {
    struct Fold(u64);
    impl Hasher for Fold {
        fn finish(&self) -> u64 {
            self.0
        }
        fn write(&mut self, bytes: &[u8]) {
            for byte in bytes {
                self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
    }
    let mut hasher = Fold(subset::score("member", &member.name));
    member.incarnation.hash(&mut hasher);
    member.revision.hash(&mut hasher);
    hasher.write_u8(member.condition as u8);
    hasher.finish()
}

impl View {
    pub(crate) fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        Self { me, records: BTreeMap::new(), seeds, turn: Vec::new(), answered: None }
    }

    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// Changes the own entry and spreads it.
    pub(crate) fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me != before {
            self.me.revision += 1;
        }
    }

    /// Takes over newer entries; returns the names whose condition or incarnation changed.
    pub(crate) fn merge(&mut self, now: Instant, members: Vec<Member>) -> Vec<Member> {
        let mut changed = Vec::new();
        for member in members {
            if member.name == self.me.name {
                self.refute(&member);
                continue;
            }
            let known = self.records.get(&member.name);
            if known.is_some_and(|known| order(&known.member) >= order(&member)) {
                continue;
            }
            // A stop or death of a daemon never heard of needs no record.
            if known.is_none() && member.condition >= Condition::Gone {
                continue;
            }
            let kept = known.is_some_and(|known| {
                known.member.condition == member.condition
                    && known.member.incarnation == member.incarnation
            });
            if !kept {
                changed.push(member.clone());
            }
            let since = known.filter(|_| kept).map_or(now, |known| known.since);
            let name = member.name.clone();
            self.records.insert(name, Record { member, since, repeats: REPEATS });
        }
        changed
    }

    fn refute(&mut self, rumour: &Member) {
        let same = rumour.incarnation == self.me.incarnation;
        if same && rumour.condition > self.me.condition && rumour.revision >= self.me.revision {
            self.me.revision = rumour.revision + 1;
        }
    }

    /// The daemon answered a probe.
    pub(crate) fn answered(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// The daemon did not answer a probe; returns it if it is suspected from now on.
    pub(crate) fn failed(&mut self, now: Instant, name: &str) -> Option<Member> {
        let record = self.records.get_mut(name)?;
        if record.member.condition != Condition::Live {
            return None;
        }
        record.member.condition = Condition::Suspect;
        record.since = now;
        record.repeats = REPEATS;
        Some(record.member.clone())
    }

    /// Ends suspicions and forgets old entries; returns daemons that count as gone from now on.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Member> {
        let mut gone = Vec::new();
        for record in self.records.values_mut() {
            let late = now.since(record.since) >= SUSPICION;
            if record.member.condition == Condition::Suspect && late {
                record.member.condition = Condition::Gone;
                record.since = now;
                record.repeats = REPEATS;
                gone.push(record.member.clone());
            }
        }
        self.records.retain(|_, record| match record.member.condition {
            Condition::Live | Condition::Suspect => true,
            Condition::Gone => now.since(record.since) < GONE_RETENTION,
            Condition::Left => now.since(record.since) < LEFT_RETENTION,
        });
        gone
    }

    /// Hash over all entries, equal for equal views.
    pub(crate) fn hash(&self) -> u64 {
        let present =
            self.records.values().filter(|record| record.member.condition <= Condition::Suspect);
        present
            .map(|record| fingerprint(&record.member))
            .fold(fingerprint(&self.me), u64::wrapping_add)
    }

    /// Digest for `target`, which gets to see what is believed about itself.
    pub(crate) fn digest(&mut self, target: Option<&str>, full: bool) -> Digest {
        let mut members = vec![self.me.clone()];
        if full {
            members.extend(self.records.values().map(|record| record.member.clone()));
        } else {
            if let Some(record) = target.and_then(|name| self.records.get(name)) {
                members.push(record.member.clone());
            }
            self.push_changes(&mut members, target);
        }
        Digest { members, full, view: self.hash(), confirmed_age_ms: None }
    }

    fn push_changes(&mut self, members: &mut Vec<Member>, target: Option<&str>) {
        let mut fresh: Vec<_> =
            self.records.values_mut().filter(|record| record.repeats > 0).collect();
        fresh.sort_unstable_by_key(|record| std::cmp::Reverse(record.repeats));
        for record in fresh.into_iter().take(MAX_CHANGES) {
            record.repeats -= 1;
            if target != Some(record.member.name.as_str()) {
                members.push(record.member.clone());
            }
        }
    }

    /// Next daemon to probe.
    pub(crate) fn target(&mut self, rng: &mut impl Rng) -> Option<Target> {
        if rng.random_ratio(1, GONE_SHARE)
            && let Some(target) = self.lost_target(rng)
        {
            return Some(target);
        }
        if rng.random_ratio(1, OUTSIDE_SHARE)
            && let Some(target) = self.outside_target(rng)
        {
            return Some(target);
        }
        self.zone_target(rng).or_else(|| self.outside_target(rng)).or_else(|| self.lost_target(rng))
    }

    fn target_of(&self, name: &str) -> Option<Target> {
        let record = self.records.get(name)?;
        let present = record.member.condition <= Condition::Suspect;
        present.then(|| Target { name: Some(name.to_owned()), address: record.member.address })
    }

    fn zone_target(&mut self, rng: &mut impl Rng) -> Option<Target> {
        while let Some(name) = self.turn.pop() {
            if let Some(target) = self.target_of(&name) {
                return Some(target);
            }
        }
        let zone = &self.me.zone;
        let near = self.records.values().filter(|record| record.member.zone == *zone);
        self.turn = near.map(|record| record.member.name.clone()).collect();
        self.turn.shuffle(rng);
        let position = self.turn.iter().rposition(|name| self.target_of(name).is_some())?;
        self.turn.truncate(position + 1);
        let name = self.turn.pop()?;
        self.target_of(&name)
    }

    fn outside_target(&self, rng: &mut impl Rng) -> Option<Target> {
        let mut zones: BTreeMap<&str, Vec<(u64, &Member)>> = BTreeMap::new();
        for record in self.records.values() {
            let member = &record.member;
            if member.zone != self.me.zone && member.condition <= Condition::Suspect {
                let score = subset::score(&self.me.name, &member.name);
                zones.entry(&member.zone).or_default().push((score, member));
            }
        }
        let zone = zones.into_values().nth(pick(self.zones_outside(), rng)?)?;
        let mut ranked = zone;
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.truncate(REPRESENTATIVES);
        let (_, member) = ranked.get(pick(ranked.len(), rng)?)?;
        Some(Target { name: Some(member.name.clone()), address: member.address })
    }

    fn zones_outside(&self) -> usize {
        let mut zones: Vec<_> = self
            .records
            .values()
            .filter(|record| record.member.condition <= Condition::Suspect)
            .map(|record| record.member.zone.as_str())
            .filter(|zone| *zone != self.me.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// A seed that is not known yet, or a daemon that is gone.
    fn lost_target(&self, rng: &mut impl Rng) -> Option<Target> {
        let mut lost: Vec<_> = self.unknown_seeds().collect();
        let gone = self.records.values().map(|record| &record.member);
        let gone = gone.filter(|member| member.condition == Condition::Gone);
        lost.extend(
            gone.map(|member| Target { name: Some(member.name.clone()), address: member.address }),
        );
        let index = pick(lost.len(), rng)?;
        Some(lost.swap_remove(index))
    }

    fn unknown_seeds(&self) -> impl Iterator<Item = Target> {
        let known = |seed: &SocketAddr| {
            let mut present = self.records.values().map(|record| &record.member);
            *seed == self.me.address || present.any(|member| member.address == *seed)
        };
        let seeds = self.seeds.iter().copied().filter(move |seed| !known(seed));
        seeds.map(|address| Target { name: None, address })
    }

    /// Daemons seen as live and daemons known, both with this one.
    pub(crate) fn majority(&self, now: Instant) -> (usize, usize) {
        let known =
            self.records.values().filter(|record| record.member.condition != Condition::Left);
        let known = 1 + known.count();
        let alone = self.answered.is_none_or(|at| now.since(at) >= ALONE_AFTER);
        let live =
            self.records.values().filter(|record| record.member.condition == Condition::Live);
        (if alone { 1 } else { 1 + live.count() }, known)
    }

    /// All daemons known, this one first.
    pub(crate) fn states(&self) -> Arc<[State]> {
        let others = self.records.values().map(|record| &record.member);
        let others = others.filter(|member| member.condition != Condition::Left);
        std::iter::once(&self.me).chain(others).map(state).collect()
    }
}

fn state(member: &Member) -> State {
    State {
        name: member.name.clone(),
        role: member.role,
        zone: member.zone.clone(),
        address: member.address,
        incarnation: member.incarnation,
        draining: member.draining,
        config_version: member.config_version,
        live: member.condition <= Condition::Suspect,
    }
}

fn pick(count: usize, rng: &mut impl Rng) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}
