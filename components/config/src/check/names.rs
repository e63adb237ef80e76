//! Names and addresses that must be unique or defined.

use std::collections::{BTreeMap, BTreeSet};

use super::{report::Report, section::Found};

/// Detects repeated values; keeps the key path of the first use of each.
pub(crate) struct Unique<K> {
    remedy: &'static str,
    seen: BTreeMap<K, String>,
}

impl<K: Ord + Clone> Unique<K> {
    pub(crate) fn new(remedy: &'static str) -> Self {
        Self { remedy, seen: BTreeMap::new() }
    }

    /// Reports the value if it was seen before, and records it otherwise.
    pub(crate) fn check(&mut self, report: &mut Report<'_>, found: &Found<K>) {
        if let Some(first) = self.seen.get(&found.value) {
            let problem = format!("repeats {first}");
            report.add(&found.key, &found.span, problem, self.remedy);
        } else {
            self.seen.insert(found.value.clone(), found.key.clone());
        }
    }
}

/// Reports a reference to a name that is not in `known`; returns whether it is.
pub(crate) fn resolve<'k>(
    report: &mut Report<'_>,
    found: &Found<&str>,
    noun: &str,
    known: impl Iterator<Item = &'k str>,
) -> bool {
    let known: BTreeSet<_> = known.collect();
    if known.contains(found.value) {
        return true;
    }
    let problem = format!("names no {noun}");
    report.unresolved(&found.key, &found.span, problem, describe_known(&known, noun));
    false
}

fn describe_known(known: &BTreeSet<&str>, noun: &str) -> String {
    if known.is_empty() {
        return format!("expected a {noun}, but none is defined");
    }
    let names: Vec<_> = known.iter().copied().collect();
    format!("expected one of {}", names.join(", "))
}
