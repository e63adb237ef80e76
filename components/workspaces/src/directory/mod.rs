//! Workspaces by the hash of their keys.

use std::{collections::HashMap, sync::Arc};

use crate::key::{Digest, Secret};

/// Workspace as seen by a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub workspace: Arc<str>,
    /// Rank of its requests, which goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Key of the configuration that identifies no workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    pub key: Digest,
    /// One of the workspaces that it stands in.
    pub workspace: Arc<str>,
}

/// Keys of one configuration, built once.
///
/// Load pattern: 10,000 workspaces with two keys each, and callers that send any number of made-up
/// keys. The standard map is used because it resists hash flooding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    members: Vec<Member>,
    /// Position of the member; none if the key stands in several workspaces.
    positions: HashMap<Digest, Option<u32>>,
}

impl Directory {
    /// Builds the directory of `workspaces` with their priorities and keys. Entries of the same
    /// name are one workspace.
    ///
    /// Also returns the keys that stand in several workspaces. It is unclear whose requests carry
    /// such a key, so it belongs to none of them.
    pub fn build<'a, K>(
        secret: &Secret,
        workspaces: impl IntoIterator<Item = (&'a str, Option<u8>, K)>,
    ) -> (Self, Vec<Skipped>)
    where
        K: IntoIterator<Item = &'a str>,
    {
        let mut directory = Self::default();
        let mut skipped = Vec::new();
        let mut names: HashMap<&str, u32> = HashMap::new();
        for (name, priority, keys) in workspaces {
            let next = u32::try_from(directory.members.len()).unwrap_or(u32::MAX);
            let position = *names.entry(name).or_insert(next);
            if position == next {
                directory.members.push(Member { workspace: name.into(), priority });
            }
            for key in keys {
                let digest = secret.digest(key.as_bytes());
                let entry = directory.positions.entry(digest).or_insert(Some(position));
                if *entry != Some(position) {
                    *entry = None;
                    let workspace = name.into();
                    skipped.push(Skipped { key: digest, workspace });
                }
            }
        }
        directory.positions.shrink_to_fit();
        (directory, skipped)
    }

    /// Workspace of a key; none if the key is unknown or ambiguous.
    #[must_use]
    pub fn lookup(&self, key: &Digest) -> Option<&Member> {
        let position = (*self.positions.get(key)?)?;
        self.members.get(position as usize)
    }

    /// Number of workspaces.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.members.len()
    }

    /// Number of keys, with those that belong to no workspace.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.positions.len()
    }
}
