//! Routes by host and prefix.

use filbertsail_collections::HashMap;

use super::Route;

/// Positions of routes by host and prefix.
///
/// Load pattern: a deployment adds 1,400 routes, on one host or on many. A lookup probes one
/// prefix for each length that the prefixes of the host have, so its time does not depend on their
/// number. The keys come from the operator, so the fast hasher is safe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index(HashMap<String, Host>);

/// Routes of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Host {
    /// Lengths of the prefixes, longest first.
    lengths: Vec<usize>,
    positions: HashMap<Vec<u8>, usize>,
}

impl Index {
    /// Indexes `routes`. Of two with the same host and prefix, the last is found.
    #[must_use]
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: HashMap<String, Host> = HashMap::default();
        for (position, route) in routes.iter().enumerate() {
            let host = hosts.entry(route.host.clone()).or_default();
            host.positions.insert(route.prefix.as_bytes().to_vec(), position);
        }
        for host in hosts.values_mut() {
            host.lengths = host.positions.keys().map(Vec::len).collect();
            host.lengths.sort_unstable_by(|left, right| right.cmp(left));
            host.lengths.dedup();
        }
        Self(hosts)
    }

    /// Position of the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn position(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.0.get(host)?;
        let path = path.as_bytes();
        let prefixes = host.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.into_iter().find_map(|prefix| host.positions.get(prefix)).copied()
    }
}
