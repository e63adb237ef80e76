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

/// Time in which a suspected daemon of the own zone can refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Suspicion timeout for daemons of other zones. Their own zone probes them and spreads the result
/// earlier, so this one expires only if the entire zone is lost.
const REMOTE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(12);
/// Probes of a suspect by each daemon of its zone, since single probes get lost.
const MAX_SUSPECT_PROBES: u32 = 3;
/// How long two views must differ before a full exchange; gossip removes shorter differences.
const FULL_EXCHANGE_DELAY: Duration = Duration::from_secs(15);
/// Shortest time between two full exchanges that this daemon starts.
const FULL_EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);
/// How long a daemon that is gone counts as known. Must exceed a partition between regions,
/// or the minority would come to count itself as the entire fleet.
pub const GONE_RETENTION: Duration = Duration::from_secs(2 * 3_600);
/// How long a graceful shutdown is remembered, so that late digests do not revive the daemon.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// Time without any answer after which a daemon considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Consecutive failed probes that isolation also requires; a single target may have crashed.
const MIN_ISOLATION_FAILURES: u32 = 2;
/// How long a suspicion or failure counts against the rest of the zone.
const ZONE_FAILURE_WINDOW: Duration = Duration::from_secs(30);
/// Smallest number of recent failures at which a zone counts as unreachable; one VM runs two
/// daemons, so two failures may be one VM.
const MIN_ZONE_FAILURES: usize = 3;
/// Smallest share of a zone that must have failed recently, as a divisor.
const ZONE_FAILURE_DIVISOR: usize = 4;
/// Digests in which a changed entry is sent.
const SENDS_PER_CHANGE: u32 = 8;
/// Largest number of changed entries in a digest.
const MAX_CHANGES_PER_DIGEST: usize = 24;
/// Consecutive peers with an equal view after which the view counts as converged.
const CONVERGED_AGREEMENTS: u32 = 4;
/// Daemons of each remote zone that this daemon probes.
const PROBED_PER_REMOTE_ZONE: usize = 3;
/// Mean time between two probes while the configuration is confirmed.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Mean time between two probes while the configuration is unconfirmed.
const UNCONFIRMED_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Probes out of [`REMOTE_PROBES_OUT_OF`] that go to remote zones while the configuration is
/// confirmed.
const REMOTE_PROBES: u32 = 1;
/// Probes out of [`REMOTE_PROBES_OUT_OF`] that go to remote zones while the configuration is
/// unconfirmed; readiness then depends on the majority, so a partition must be detected soon.
const UNCONFIRMED_REMOTE_PROBES: u32 = 3;
/// Denominator of the shares of probes to remote zones.
const REMOTE_PROBES_OUT_OF: u32 = 4;
/// One in this many probes goes to a daemon that is gone or an unknown seed, to heal partitions.
const GONE_PROBE_DIVISOR: u32 = 8;

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    since: Instant,
    /// Digests that still have to include the entry.
    pending_sends: u32,
    /// Probes sent by this daemon since the suspicion began.
    probes: u32,
}

/// Membership view.
#[derive(Clone, Debug)]
pub struct View {
    local: Member,
    records: BTreeMap<String, Record>,
    seeds: Vec<SocketAddr>,
    zone_round: Vec<String>,
    /// Daemons of a possibly unreachable zone, probed next.
    zone_checks: Vec<String>,
    last_answer: Option<Instant>,
    /// Failed probes of live or suspected daemons since the last answer.
    failed_probes: u32,
    /// The configuration lacks a recent confirmation.
    unconfirmed: bool,
    hash: u64,
    /// Consecutive peers whose view was equal.
    agreements: u32,
    /// Time since which the views of all peers that exchanged digests have differed from this one.
    differs_since: Option<Instant>,
    full_exchange_at: Option<Instant>,
}

/// Daemons of one zone by recent condition.
#[derive(Default)]
struct ZoneHealth {
    live: usize,
    /// Suspected or gone within the failure window.
    failing: usize,
}

impl ZoneHealth {
    fn reachable(&self) -> usize {
        let limit = ((self.live + self.failing) / ZONE_FAILURE_DIVISOR).max(MIN_ZONE_FAILURES);
        if self.failing >= limit { 0 } else { self.live }
    }
}

/// Daemon to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unknown for a seed.
    pub name: Option<String>,
    /// Peer port.
    pub address: SocketAddr,
}

fn precedence(member: &Member) -> (u64, u64, Condition) {
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
    /// View of the daemon with the entry `local`, which knows only `seeds`.
    #[must_use]
    pub fn new(local: Member, seeds: Vec<SocketAddr>) -> Self {
        let mut view = Self {
            local,
            failed_probes: 0,
            unconfirmed: false,
            hash: 0,
            records: BTreeMap::new(),
            seeds,
            zone_round: Vec::new(),
            zone_checks: Vec::new(),
            last_answer: None,
            agreements: 0,
            differs_since: None,
            full_exchange_at: None,
        };
        view.rehash();
        view
    }

    /// Entry of this daemon.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Sets the active configuration version. It is sent with the entry but does not raise the
    /// revision, since every daemon would then gossip every entry after each new version.
    pub fn set_config_version(&mut self, version: u64) {
        self.local.config_version = version;
    }

    /// Sets whether a graceful shutdown is in progress.
    pub fn set_draining(&mut self, draining: bool) {
        self.local.revision += u64::from(self.local.draining != draining);
        self.local.draining = draining;
        self.rehash();
    }

    /// Sets whether the configuration lacks a recent confirmation.
    pub fn set_unconfirmed(&mut self, unconfirmed: bool) {
        self.unconfirmed = unconfirmed;
    }

    /// Mean time between two probes.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        if self.unconfirmed { UNCONFIRMED_PROBE_INTERVAL } else { PROBE_INTERVAL }
    }

    /// Marks the own entry as left after a graceful shutdown.
    pub fn leave(&mut self) {
        self.local.revision += 1;
        self.local.condition = Condition::Left;
        self.local.draining = true;
        self.rehash();
    }

    /// Compares the view hash of a peer; `full` says that all entries were exchanged.
    pub fn compare_hash(&mut self, now: Instant, peer_hash: u64, full: bool) {
        let same = peer_hash == self.hash();
        self.agreements = if same { self.agreements.saturating_add(1) } else { 0 };
        if full || same {
            self.differs_since = None;
        } else if self.differs_since.is_none() {
            self.differs_since = Some(now);
        }
    }

    /// Whether the view has converged: several consecutive peers had an equal view, or no peer is
    /// known.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let no_peers = self.records.is_empty() && self.unknown_seeds().next().is_none();
        no_peers || self.agreements >= CONVERGED_AGREEMENTS
    }

    /// Whether the next probe of `target` should exchange all entries.
    fn needs_full_exchange(&self, now: Instant, target: &Target) -> bool {
        let differs_long =
            self.differs_since.is_some_and(|since| now.since(since) >= FULL_EXCHANGE_DELAY);
        let interval_passed =
            self.full_exchange_at.is_none_or(|at| now.since(at) >= FULL_EXCHANGE_INTERVAL);
        target.name.is_none() || self.records.is_empty() || (differs_long && interval_passed)
    }

    /// Digest with which to probe `target`.
    pub fn probe_digest(&mut self, now: Instant, target: &Target) -> Digest {
        let full = self.needs_full_exchange(now, target);
        if full {
            self.full_exchange_at = Some(now);
            self.differs_since = None;
        }
        self.digest(target.name.as_deref(), full)
    }

    /// Applies newer entries; returns those whose condition or incarnation changed.
    pub fn merge(&mut self, now: Instant, members: Vec<Member>) -> Vec<Member> {
        let (mut changed, mut modified) = (Vec::new(), false);
        for member in members {
            if member.name == self.local.name {
                modified |= self.refute(&member);
                continue;
            }
            let known = self.records.get_mut(&member.name);
            if let Some(known) = known {
                let version = known.member.config_version.max(member.config_version);
                known.member.config_version = version;
            }
            let known = self.records.get(&member.name);
            if known.is_some_and(|known| precedence(&known.member) >= precedence(&member)) {
                continue;
            }
            // No record is needed for a daemon that is already gone when first reported.
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
            let record = Record { member, since, pending_sends: SENDS_PER_CHANGE, probes: 0 };
            self.records.insert(name, record);
            modified = true;
        }
        if modified {
            self.rehash();
        }
        changed
    }

    fn refute(&mut self, claim: &Member) -> bool {
        let same = claim.incarnation == self.local.incarnation;
        let newer = same && claim.revision >= self.local.revision;
        let wrong = newer && claim.condition > self.local.condition;
        if wrong {
            self.local.revision = claim.revision + 1;
        }
        wrong
    }

    /// Records that a daemon answered a probe.
    pub fn on_probe_answered(&mut self, now: Instant) {
        self.last_answer = Some(now);
        self.failed_probes = 0;
    }

    /// Records that a daemon did not answer a probe; returns its entry if it becomes suspected.
    pub fn on_probe_failed(&mut self, now: Instant, name: &str) -> Option<Member> {
        let record = self.records.get_mut(name)?;
        if record.member.condition <= Condition::Suspect {
            self.failed_probes = self.failed_probes.saturating_add(1);
        }
        if record.member.condition != Condition::Live {
            return None;
        }
        record.member.condition = Condition::Suspect;
        record.since = now;
        record.pending_sends = SENDS_PER_CHANGE;
        record.probes = 1;
        let member = record.member.clone();
        self.check_zone(&member);
        self.rehash();
        Some(member)
    }

    /// Schedules probes of other daemons in the remote zone of `member`, to detect an unreachable
    /// zone soon.
    fn check_zone(&mut self, member: &Member) {
        if member.zone == self.local.zone || !self.zone_checks.is_empty() {
            return;
        }
        let others = self.remote_targets(&member.zone).into_iter();
        let others = others.filter(|other| other.condition == Condition::Live);
        self.zone_checks = others.map(|other| other.name.clone()).collect();
    }

    /// Daemons of a remote zone that this daemon probes.
    fn remote_targets(&self, zone: &str) -> Vec<&Member> {
        let active = self.records.values().map(|record| &record.member);
        let active = active.filter(|member| member.condition <= Condition::Suspect);
        let mut ranked: Vec<_> = active
            .filter(|member| member.zone == zone)
            .map(|member| (subset::score(&self.local.name, &member.name), member))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(PROBED_PER_REMOTE_ZONE).map(|(_, member)| member).collect()
    }

    /// Expires suspicions and old entries; returns the daemons that become gone.
    pub fn expire(&mut self, now: Instant) -> Vec<Member> {
        let mut gone = Vec::new();
        for record in self.records.values_mut() {
            let in_own_zone = record.member.zone == self.local.zone;
            let limit = if in_own_zone { SUSPICION_TIMEOUT } else { REMOTE_SUSPICION_TIMEOUT };
            let late = now.since(record.since) >= limit;
            if record.member.condition == Condition::Suspect && late {
                record.member.condition = Condition::Gone;
                record.since = now;
                record.pending_sends = SENDS_PER_CHANGE;
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

    /// Hash over all live and suspected entries, equal for equal views.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    fn rehash(&mut self) {
        let active =
            self.records.values().filter(|record| record.member.condition <= Condition::Suspect);
        self.hash = active
            .map(|record| fingerprint(&record.member))
            .fold(fingerprint(&self.local), u64::wrapping_add);
    }

    /// Digest for `target`; it includes the entry about `target`, so that `target` can refute it.
    pub fn digest(&mut self, target: Option<&str>, full: bool) -> Digest {
        let mut members = vec![self.local.clone()];
        if full {
            members.extend(self.records.values().map(|record| record.member.clone()));
        } else {
            if let Some(record) = target.and_then(|name| self.records.get(name)) {
                members.push(record.member.clone());
            }
            self.append_changes(&mut members, target);
        }
        Digest { members, full, view: self.hash(), confirmed_age_ms: None }
    }

    fn append_changes(&mut self, members: &mut Vec<Member>, target: Option<&str>) {
        let mut changed: Vec<_> =
            self.records.values_mut().filter(|record| record.pending_sends > 0).collect();
        changed.sort_unstable_by_key(|record| std::cmp::Reverse(record.pending_sends));
        for record in changed.into_iter().take(MAX_CHANGES_PER_DIGEST) {
            record.pending_sends -= 1;
            if target != Some(record.member.name.as_str()) {
                members.push(record.member.clone());
            }
        }
    }

    /// Next daemon to probe.
    pub fn next_target(&mut self, rng: &mut impl Rng) -> Option<Target> {
        if let Some(target) = self.suspect_target().or_else(|| self.zone_check_target()) {
            return Some(target);
        }
        if rng.random_ratio(1, GONE_PROBE_DIVISOR)
            && let Some(target) = self.reconnect_target(rng)
        {
            return Some(target);
        }
        if rng.random_ratio(
            if self.unconfirmed { UNCONFIRMED_REMOTE_PROBES } else { REMOTE_PROBES },
            REMOTE_PROBES_OUT_OF,
        ) && let Some(target) = self.remote_target(rng)
        {
            return Some(target);
        }
        self.own_zone_target(rng)
            .or_else(|| self.remote_target(rng))
            .or_else(|| self.reconnect_target(rng))
    }

    /// A suspected daemon of the own zone; the probe informs it of the suspicion and checks whether
    /// it answers.
    fn suspect_target(&mut self) -> Option<Target> {
        let zone = &self.local.zone;
        let record = self.records.values_mut().find(|record| {
            let in_own_zone = record.member.zone == *zone;
            in_own_zone
                && record.member.condition == Condition::Suspect
                && record.probes < MAX_SUSPECT_PROBES
        })?;
        record.probes += 1;
        Some(Target { name: Some(record.member.name.clone()), address: record.member.address })
    }

    fn zone_check_target(&mut self) -> Option<Target> {
        let name = self.zone_checks.pop()?;
        self.target_of(&name)
    }

    fn target_of(&self, name: &str) -> Option<Target> {
        let record = self.records.get(name)?;
        let active = record.member.condition <= Condition::Suspect;
        active.then(|| Target { name: Some(name.to_owned()), address: record.member.address })
    }

    fn own_zone_target(&mut self, rng: &mut impl Rng) -> Option<Target> {
        while let Some(name) = self.zone_round.pop() {
            if let Some(target) = self.target_of(&name) {
                return Some(target);
            }
        }
        let zone = &self.local.zone;
        let in_own_zone = self.records.values().filter(|record| record.member.zone == *zone);
        self.zone_round = in_own_zone.map(|record| record.member.name.clone()).collect();
        self.zone_round.shuffle(rng);
        let position = self.zone_round.iter().rposition(|name| self.target_of(name).is_some())?;
        self.zone_round.truncate(position + 1);
        let name = self.zone_round.pop()?;
        self.target_of(&name)
    }

    fn remote_target(&self, rng: &mut impl Rng) -> Option<Target> {
        let active = self.records.values().map(|record| &record.member);
        let active = active.filter(|member| member.condition <= Condition::Suspect);
        let zones = active.map(|member| member.zone.as_str());
        let zones: BTreeSet<_> = zones.filter(|zone| *zone != self.local.zone).collect();
        let zone = zones.iter().nth(random_index(zones.len(), rng)?)?;
        let remote_targets = self.remote_targets(zone);
        let member = remote_targets.get(random_index(remote_targets.len(), rng)?)?;
        Some(Target { name: Some(member.name.clone()), address: member.address })
    }

    /// An unknown seed or a daemon that is gone.
    fn reconnect_target(&self, rng: &mut impl Rng) -> Option<Target> {
        let mut candidates: Vec<_> = self.unknown_seeds().collect();
        let gone = self.records.values().map(|record| &record.member);
        let gone = gone.filter(|member| member.condition == Condition::Gone);
        candidates.extend(
            gone.map(|member| Target { name: Some(member.name.clone()), address: member.address }),
        );
        let index = random_index(candidates.len(), rng)?;
        Some(candidates.swap_remove(index))
    }

    fn unknown_seeds(&self) -> impl Iterator<Item = Target> {
        let known = |seed: &SocketAddr| {
            let mut active = self.records.values().map(|record| &record.member);
            *seed == self.local.address || active.any(|member| member.address == *seed)
        };
        let seeds = self.seeds.iter().copied().filter(move |seed| !known(seed));
        seeds.map(|address| Target { name: None, address })
    }

    /// Number of reachable and of known daemons, both including this one.
    ///
    /// Suspected daemons are not reachable, nor are those in a zone with many recent failures:
    /// after a partition the rest of the zone would otherwise count until each one was probed.
    #[must_use]
    pub fn reachable_and_known(&self, now: Instant) -> (usize, usize) {
        let mut zones: BTreeMap<&str, ZoneHealth> = BTreeMap::new();
        let mut known = 1;
        for record in self.records.values() {
            let zone = zones.entry(&record.member.zone).or_default();
            match record.member.condition {
                Condition::Left => continue,
                Condition::Live => zone.live += 1,
                Condition::Suspect | Condition::Gone => {
                    zone.failing += usize::from(now.since(record.since) < ZONE_FAILURE_WINDOW);
                }
            }
            known += 1;
        }
        let isolated = self.failed_probes >= MIN_ISOLATION_FAILURES
            && self.last_answer.is_none_or(|at| now.since(at) >= ISOLATION_TIMEOUT);
        let reachable: usize = zones.values().map(ZoneHealth::reachable).sum();
        (if isolated { 1 } else { 1 + reachable }, known)
    }

    /// All known daemons, this one first.
    #[must_use]
    pub fn states(&self) -> Arc<[State]> {
        let others = self.records.values().map(|record| &record.member);
        let others = others.filter(|member| member.condition != Condition::Left);
        std::iter::once(&self.local).chain(others).map(state).collect()
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

fn random_index(count: usize, rng: &mut impl Rng) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}
