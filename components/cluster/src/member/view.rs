//! State machine of the membership view.

use std::{
    collections::{BTreeMap, BTreeSet},
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

/// Time in which a suspected daemon of the own zone may refute.
const SUSPICION: Duration = Duration::from_secs(4);
/// The same for other zones, where daemons learn of the outcome from those of the zone, which probe
/// the suspect themselves; it ends the suspicion if the whole zone is lost.
const FAR_SUSPICION: Duration = Duration::from_secs(12);
/// Probes of a suspect by each daemon of its zone; a single one may be lost as well.
const SUSPECT_PROBES: u32 = 3;
/// Time for which two views must differ before all entries are exchanged; until then the changes
/// are on their way.
const FULL_AFTER: Duration = Duration::from_secs(15);
/// Shortest time between two exchanges of all entries that this daemon starts.
const FULL_INTERVAL: Duration = Duration::from_secs(30);
/// Time for which a daemon that is gone counts as known. Longer than a partition of regions, after
/// which a minority must not take itself for the whole fleet.
pub const GONE_RETENTION: Duration = Duration::from_secs(2 * 3_600);
/// Time for which a planned stop is remembered, so that late digests do not revive the daemon.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// Time without any answer after which a daemon counts itself alone.
const ALONE_AFTER: Duration = Duration::from_secs(4);
/// Probes in a row that must have failed as well; one may have met a daemon that crashed.
const ALONE_FAILURES: u32 = 2;
/// Time for which a suspicion or death tells about the rest of the zone.
const ZONE_MEMORY: Duration = Duration::from_secs(30);
/// Suspicions and deaths by which a whole zone counts as not seen: at least so many, since one VM
/// runs two daemons, and at least that share of the zone, as a divisor.
const ZONE_FAILURES: usize = 3;
const ZONE_SHARE: usize = 4;
/// Digests that carry a changed entry.
const REPEATS: u32 = 8;
/// Largest number of changed entries in a digest.
const MAX_CHANGES: usize = 24;
/// Daemons in a row with the same view after which the view counts as settled.
const SETTLED_AGREEMENTS: u32 = 4;
/// Daemons of each other zone that are probed.
const REPRESENTATIVES: usize = 3;
/// Mean time between two probes, usually and while the configuration is not confirmed.
const INTERVAL: Duration = Duration::from_millis(1_000);
const ALERT_INTERVAL: Duration = Duration::from_millis(300);
/// Probes out of [`OUTSIDE_OF`] that go to other zones, usually and while the configuration is not
/// confirmed. Readiness then depends on the majority, so a partition must be noticed soon.
const OUTSIDE: u32 = 1;
const OUTSIDE_ALERT: u32 = 3;
const OUTSIDE_OF: u32 = 4;
/// One of that many probes goes to a daemon that is gone, which heals partitions.
const GONE_SHARE: u32 = 8;

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    since: Instant,
    /// Digests that are still to carry the entry.
    repeats: u32,
    /// Probes by this daemon since it is suspected.
    probes: u32,
}

/// Membership view.
#[derive(Clone, Debug)]
pub struct View {
    me: Member,
    records: BTreeMap<String, Record>,
    seeds: Vec<SocketAddr>,
    turn: Vec<String>,
    /// Daemons of a zone in doubt that are probed next.
    doubted: Vec<String>,
    answered: Option<Instant>,
    /// Failed probes of present daemons since the last answer.
    failures: u32,
    /// The configuration is not confirmed.
    alert: bool,
    hash: u64,
    /// Daemons heard from in a row whose view was the same.
    agreements: u32,
    /// Since when the view has differed from that of every daemon heard from.
    differs_since: Option<Instant>,
    full_at: Option<Instant>,
}

/// Daemons of one zone.
#[derive(Default)]
struct Silence {
    live: usize,
    /// Suspected or gone lately.
    silent: usize,
}

impl Silence {
    fn seen(&self) -> usize {
        let limit = ((self.live + self.silent) / ZONE_SHARE).max(ZONE_FAILURES);
        if self.silent >= limit { 0 } else { self.live }
    }
}

/// Whom to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unknown for a seed.
    pub name: Option<String>,
    /// Peer port.
    pub address: SocketAddr,
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
    /// View of the daemon with the entry `me`, which knows only `seeds`.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        let mut view = Self {
            me,
            failures: 0,
            alert: false,
            hash: 0,
            records: BTreeMap::new(),
            seeds,
            turn: Vec::new(),
            doubted: Vec::new(),
            answered: None,
            agreements: 0,
            differs_since: None,
            full_at: None,
        };
        view.rehash();
        view
    }

    /// Own entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Sets the configuration version in force. It travels with the entry but is no change of it:
    /// a change would make every daemon pass on an entry of every other for each version.
    pub fn set_config_version(&mut self, version: u64) {
        self.me.config_version = version;
    }

    /// Sets whether a planned stop is under way.
    pub fn set_draining(&mut self, draining: bool) {
        self.me.revision += u64::from(self.me.draining != draining);
        self.me.draining = draining;
        self.rehash();
    }

    /// Sets whether the configuration lacks a recent confirmation.
    pub fn set_alert(&mut self, alert: bool) {
        self.alert = alert;
    }

    /// Mean time between two probes.
    #[must_use]
    pub fn interval(&self) -> Duration {
        if self.alert { ALERT_INTERVAL } else { INTERVAL }
    }

    /// Marks the own entry as stopped as planned.
    pub fn leave(&mut self) {
        self.me.revision += 1;
        self.me.condition = Condition::Left;
        self.me.draining = true;
        self.rehash();
    }

    /// Notes the view hash of a daemon heard from; all entries were exchanged if `full`.
    pub fn compare(&mut self, now: Instant, theirs: u64, full: bool) {
        let same = theirs == self.hash();
        self.agreements = if same { self.agreements.saturating_add(1) } else { 0 };
        if full || same {
            self.differs_since = None;
        } else if self.differs_since.is_none() {
            self.differs_since = Some(now);
        }
    }

    /// Whether the view has stopped changing: several daemons in a row had the same, or there is
    /// nobody to hear from.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let alone = self.records.is_empty() && self.unknown_seeds().next().is_none();
        alone || self.agreements >= SETTLED_AGREEMENTS
    }

    /// Whether the next probe of `target` is to exchange all entries.
    fn wants_full(&self, now: Instant, target: &Target) -> bool {
        let differs = self.differs_since.is_some_and(|since| now.since(since) >= FULL_AFTER);
        let rested = self.full_at.is_none_or(|at| now.since(at) >= FULL_INTERVAL);
        target.name.is_none() || self.records.is_empty() || (differs && rested)
    }

    /// Digest to probe `target` with.
    pub fn probe(&mut self, now: Instant, target: &Target) -> Digest {
        let full = self.wants_full(now, target);
        if full {
            self.full_at = Some(now);
            self.differs_since = None;
        }
        self.digest(target.name.as_deref(), full)
    }

    /// Takes over newer entries; returns the names whose condition or incarnation changed.
    pub fn merge(&mut self, now: Instant, members: Vec<Member>) -> Vec<Member> {
        let (mut changed, mut news) = (Vec::new(), false);
        for member in members {
            if member.name == self.me.name {
                news |= self.refute(&member);
                continue;
            }
            let known = self.records.get_mut(&member.name);
            if let Some(known) = known {
                let version = known.member.config_version.max(member.config_version);
                known.member.config_version = version;
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
            let record = Record { member, since, repeats: REPEATS, probes: 0 };
            self.records.insert(name, record);
            news = true;
        }
        if news {
            self.rehash();
        }
        changed
    }

    fn refute(&mut self, rumour: &Member) -> bool {
        let same = rumour.incarnation == self.me.incarnation;
        let newer = same && rumour.revision >= self.me.revision;
        let wrong = newer && rumour.condition > self.me.condition;
        if wrong {
            self.me.revision = rumour.revision + 1;
        }
        wrong
    }

    /// The daemon answered a probe.
    pub fn answered(&mut self, now: Instant) {
        self.answered = Some(now);
        self.failures = 0;
    }

    /// The daemon did not answer a probe; returns it if it is suspected from now on.
    pub fn failed(&mut self, now: Instant, name: &str) -> Option<Member> {
        let record = self.records.get_mut(name)?;
        if record.member.condition <= Condition::Suspect {
            self.failures = self.failures.saturating_add(1);
        }
        if record.member.condition != Condition::Live {
            return None;
        }
        record.member.condition = Condition::Suspect;
        record.since = now;
        record.repeats = REPEATS;
        record.probes = 1;
        let member = record.member.clone();
        self.doubt(&member);
        self.rehash();
        Some(member)
    }

    /// Has further daemons of the zone of `member` probed next, which soon shows whether the zone
    /// is cut off.
    fn doubt(&mut self, member: &Member) {
        if member.zone == self.me.zone || !self.doubted.is_empty() {
            return;
        }
        let others = self.representatives(&member.zone).into_iter();
        let others = others.filter(|other| other.condition == Condition::Live);
        self.doubted = others.map(|other| other.name.clone()).collect();
    }

    /// Daemons of another zone that this one probes.
    fn representatives(&self, zone: &str) -> Vec<&Member> {
        let present = self.records.values().map(|record| &record.member);
        let present = present.filter(|member| member.condition <= Condition::Suspect);
        let mut ranked: Vec<_> = present
            .filter(|member| member.zone == zone)
            .map(|member| (subset::score(&self.me.name, &member.name), member))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(REPRESENTATIVES).map(|(_, member)| member).collect()
    }

    /// Ends suspicions and forgets old entries; returns daemons that count as gone from now on.
    pub fn expire(&mut self, now: Instant) -> Vec<Member> {
        let mut gone = Vec::new();
        for record in self.records.values_mut() {
            let near = record.member.zone == self.me.zone;
            let limit = if near { SUSPICION } else { FAR_SUSPICION };
            let late = now.since(record.since) >= limit;
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
        if !gone.is_empty() {
            self.rehash();
        }
        gone
    }

    /// Hash over all entries, equal for equal views.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    fn rehash(&mut self) {
        let present =
            self.records.values().filter(|record| record.member.condition <= Condition::Suspect);
        self.hash = present
            .map(|record| fingerprint(&record.member))
            .fold(fingerprint(&self.me), u64::wrapping_add);
    }

    /// Digest for `target`, which gets to see what is believed about itself.
    pub fn digest(&mut self, target: Option<&str>, full: bool) -> Digest {
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
    pub fn target(&mut self, rng: &mut impl Rng) -> Option<Target> {
        if let Some(target) = self.suspect_target().or_else(|| self.doubted_target()) {
            return Some(target);
        }
        if rng.random_ratio(1, GONE_SHARE)
            && let Some(target) = self.lost_target(rng)
        {
            return Some(target);
        }
        if rng.random_ratio(if self.alert { OUTSIDE_ALERT } else { OUTSIDE }, OUTSIDE_OF)
            && let Some(target) = self.outside_target(rng)
        {
            return Some(target);
        }
        self.zone_target(rng).or_else(|| self.outside_target(rng)).or_else(|| self.lost_target(rng))
    }

    /// A suspected daemon of the own zone, which tells it of the suspicion and tells this
    /// daemon whether it answers.
    fn suspect_target(&mut self) -> Option<Target> {
        let zone = &self.me.zone;
        let record = self.records.values_mut().find(|record| {
            let near = record.member.zone == *zone;
            near && record.member.condition == Condition::Suspect && record.probes < SUSPECT_PROBES
        })?;
        record.probes += 1;
        Some(Target { name: Some(record.member.name.clone()), address: record.member.address })
    }

    fn doubted_target(&mut self) -> Option<Target> {
        let name = self.doubted.pop()?;
        self.target_of(&name)
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
        let present = self.records.values().map(|record| &record.member);
        let present = present.filter(|member| member.condition <= Condition::Suspect);
        let zones = present.map(|member| member.zone.as_str());
        let zones: BTreeSet<_> = zones.filter(|zone| *zone != self.me.zone).collect();
        let zone = zones.iter().nth(pick(zones.len(), rng)?)?;
        let representatives = self.representatives(zone);
        let member = representatives.get(pick(representatives.len(), rng)?)?;
        Some(Target { name: Some(member.name.clone()), address: member.address })
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
    ///
    /// A suspected daemon is not seen, nor is one in a zone of which many went silent lately: the
    /// rest of a zone that is cut off would otherwise count until each of them was probed.
    #[must_use]
    pub fn majority(&self, now: Instant) -> (usize, usize) {
        let mut zones: BTreeMap<&str, Silence> = BTreeMap::new();
        let mut known = 1;
        for record in self.records.values() {
            let zone = zones.entry(&record.member.zone).or_default();
            match record.member.condition {
                Condition::Left => continue,
                Condition::Live => zone.live += 1,
                Condition::Suspect | Condition::Gone => {
                    zone.silent += usize::from(now.since(record.since) < ZONE_MEMORY);
                }
            }
            known += 1;
        }
        let alone = self.failures >= ALONE_FAILURES
            && self.answered.is_none_or(|at| now.since(at) >= ALONE_AFTER);
        let seen: usize = zones.values().map(Silence::seen).sum();
        (if alone { 1 } else { 1 + seen }, known)
    }

    /// All daemons known, this one first.
    #[must_use]
    pub fn states(&self) -> Arc<[State]> {
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
