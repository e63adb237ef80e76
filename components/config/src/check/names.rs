//! Names and addresses that must be unique or known.

use std::collections::{BTreeMap, BTreeSet};

use super::{report::Report, section::Found};

/// First uses of values that must not repeat.
pub(crate) struct Unique<K> {
    remedy: &'static str,
    seen: BTreeMap<K, String>,
}

impl<K: Ord + Clone> Unique<K> {
    pub(crate) fn new(remedy: &'static str) -> Self {
        Self { remedy, seen: BTreeMap::new() }
    }

    /// Reports the value if it was used before.
    pub(crate) fn claim(&mut self, report: &mut Report<'_>, found: &Found<K>) {
        if let Some(first) = self.seen.get(&found.value) {
            let problem = format!("repeats {first}");
            report.add(&found.key, &found.span, problem, self.remedy);
        } else {
            self.seen.insert(found.value.clone(), found.key.clone());
        }
    }
}

/// Reports a reference to a name that is not in `known`.
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
    report.unresolved(&found.key, &found.span, problem, expected(&known, noun));
    false
}

fn expected(known: &BTreeSet<&str>, noun: &str) -> String {
    if known.is_empty() {
        return format!("expected a {noun}, but none is defined");
    }
    let names: Vec<_> = known.iter().copied().collect();
    format!("expected one of {}", names.join(", "))
}
