//! Fair shares of workspaces in what one VM sends.
//!
//! Each workspace has a decaying count of its requests and of those sent. Higher priorities come
//! first; within a priority, workspaces with equal weights share what is left (max-min fairness).

use std::{collections::HashMap, sync::Arc, time::Duration};

use filbertsail_clock::Instant;

/// Time after which a count is halved. A VM gets a few requests a second from many workspaces, so
/// a shorter time would not tell large workspaces from small ones.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Factor on the fair level before a workspace counts as above it. Without it, a workspace that is
/// alone on its VM could never send more than before.
const SLACK: f64 = 1.25;
/// Rate of service of each workspace relative to that of all, at least. The requirement is a
/// quarter; the margin covers the differences between VMs.
const MIN_RELATIVE_RATE: f64 = 0.3;
/// Workspaces counted on one VM at most; it bounds memory and the time of a decision.
const MAX_ACCOUNTS: usize = 512;
/// Count below which a workspace is forgotten.
const MIN_COUNT: f64 = 0.02;

/// Workspace and priority, whose requests are counted together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Workspace; absent for requests without one.
    pub workspace: Option<Arc<str>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    asked: f64,
    sent: f64,
    at: Instant,
}

impl Account {
    fn at(self, now: Instant) -> Self {
        let decay = (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self { asked: self.asked * decay, sent: self.sent * decay, at: now.max(self.at) }
    }
}

/// Counts of the workspaces on one VM.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    // The names come from the configuration, which many parties write to, so the map
    // uses a hasher that resists hash flooding.
    accounts: HashMap<Key, Account>,
}

impl Shares {
    /// Counts a request.
    pub fn record_asked(&mut self, key: &Key, now: Instant) {
        self.account(key, now).asked += 1.0;
        if self.accounts.len() > MAX_ACCOUNTS {
            self.evict(now);
        }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, key: &Key, now: Instant) {
        self.account(key, now).sent += 1.0;
    }

    /// Takes back the count of a request that was sent and refused.
    pub fn remove_sent(&mut self, key: &Key, now: Instant) {
        let account = self.account(key, now);
        account.sent = (account.sent - 1.0).max(0.0);
    }

    /// Requests sent per second lately.
    #[must_use]
    pub fn sent_per_s(&self, now: Instant) -> f64 {
        let sent: f64 = self.accounts.values().map(|account| account.at(now).sent).sum();
        sent * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Whether one more request of `key` is within its fair share, or it is served too rarely.
    ///
    /// On one VM most workspaces have less than one request in the counted time, so the requests of
    /// a priority are also limited together.
    #[must_use]
    pub fn is_within(&self, key: &Key, now: Instant) -> bool {
        let own = self.accounts.get(key).copied().unwrap_or_default().at(now);
        let (mut sent, mut asked, mut of_higher) = (0.0, 0.0, 0.0);
        let mut of_same = Account::default();
        let mut demands = Vec::new();
        for (other, account) in &self.accounts {
            let account = account.at(now);
            sent += account.sent;
            asked += account.asked;
            if other.priority < key.priority {
                of_higher += account.asked;
            } else if other.priority == key.priority {
                of_same.sent += account.sent;
                of_same.asked += account.asked;
                demands.push(account.asked);
            }
        }
        let least = |account: Account| MIN_RELATIVE_RATE * account.asked * sent / asked.max(1.0);
        let capacity = (sent - of_higher).max(least(of_same));
        let level = fair_level(&mut demands, capacity);
        of_same.sent <= SLACK * capacity && (own.sent <= SLACK * level || own.sent < least(own))
    }

    fn account(&mut self, key: &Key, now: Instant) -> &mut Account {
        let account = self.accounts.entry(key.clone()).or_default();
        *account = account.at(now);
        account
    }

    /// Removes the workspaces without recent requests; if there are none, the one with the fewest.
    fn evict(&mut self, now: Instant) {
        self.accounts.retain(|_, account| account.at(now).asked >= MIN_COUNT);
        if self.accounts.len() > MAX_ACCOUNTS {
            let asked = |account: &Account| account.at(now).asked;
            let least = self.accounts.iter().min_by(|a, b| asked(a.1).total_cmp(&asked(b.1)));
            if let Some(key) = least.map(|(key, _)| key.clone()) {
                self.accounts.remove(&key);
            }
        }
    }
}

/// Largest count per workspace at which all `demands`, cut to it, fit into `capacity`.
fn fair_level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "there are few accounts")]
        let level = left / (demands.len() - index) as f64;
        if level <= *demand {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
