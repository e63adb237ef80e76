//! Workspaces and keys that were added, withdrawn or moved.

use std::collections::{BTreeMap, HashMap};

use super::{
    super::{
        super::{Config, Workspace},
        Document, Place, WorkspacePart, label,
    },
    Diff, from_to,
};

/// Workspaces of one name, which are one workspace.
#[derive(Default)]
struct Group<'a> {
    position: usize,
    priority: Option<u8>,
    /// Keys with their places.
    keys: Vec<(&'a str, usize, usize)>,
}

fn groups(config: &Config) -> BTreeMap<&str, Group<'_>> {
    let mut groups: BTreeMap<&str, Group<'_>> = BTreeMap::new();
    for (position, workspace) in workspaces(config).iter().enumerate() {
        let group = groups.entry(&workspace.name).or_insert(Group {
            position,
            priority: workspace.priority,
            keys: Vec::new(),
        });
        let keys = workspace.keys.iter().enumerate();
        group.keys.extend(keys.map(|(index, key)| (key.as_str(), position, index)));
    }
    groups
}

fn workspaces(config: &Config) -> &[Workspace] {
    config.workspaces.as_deref().unwrap_or_default()
}

/// Names of the workspaces by key; the first one if several have it.
fn owners(config: &Config) -> HashMap<&str, &str> {
    let mut owners = HashMap::new();
    for workspace in workspaces(config) {
        for key in &workspace.keys {
            owners.entry(key.as_str()).or_insert(workspace.name.as_str());
        }
    }
    owners
}

pub(super) fn compare<D: Document>(diff: &mut Diff<'_, D>) {
    let (before, after) = (diff.before.config, diff.after.config);
    match (&before.workspaces, &after.workspaces) {
        (None, Some(_)) => diff.changed(
            Place::Workspaces,
            "workspaces were introduced".to_owned(),
            "requests without a valid key get 401 on routes that are not public",
        ),
        (Some(_), None) => diff.removed(
            Place::Workspaces,
            "all workspaces were removed".to_owned(),
            "no request needs a key",
        ),
        _ => {}
    }
    let (old_groups, new_groups) = (groups(before), groups(after));
    let new_owners = owners(after);
    for (name, old) in &old_groups {
        let new = new_groups.get(name);
        if new.is_none() && after.workspaces.is_some() {
            let place = Place::Workspace(old.position, WorkspacePart::Name);
            diff.removed(
                place,
                format!("workspace {name:?} was removed"),
                "callers with its keys get 401, apart from keys that moved; its batches run to their end, but cannot be read",
            );
        }
        for (key, position, index) in &old.keys {
            match new_owners.get(key) {
                Some(owner) if owner == name => {}
                None if after.workspaces.is_none() => {}
                owner => {
                    let is_last = new.is_none_or(|new| new.keys.is_empty());
                    withdrawn(
                        diff,
                        Place::Key(*position, *index),
                        (name, key),
                        owner.copied(),
                        is_last,
                    );
                }
            }
        }
    }
    let old_owners = owners(before);
    for (name, new) in &new_groups {
        match old_groups.get(name) {
            None => {
                let place = Place::Workspace(new.position, WorkspacePart::Name);
                let effect = "its callers are served as soon as a VM has the configuration";
                diff.changed(place, format!("workspace {name:?} was added"), effect);
            }
            Some(old) => {
                let rank = |priority: Option<u8>| match priority {
                    Some(priority) => priority.to_string(),
                    None => "that of the route".to_owned(),
                };
                if let Some(change) = from_to("priority", &rank(old.priority), &rank(new.priority))
                {
                    let place = Place::Workspace(new.position, WorkspacePart::Priority);
                    let change = format!("workspace {name:?}: {change}");
                    diff.changed(place, change, "it applies to requests that arrive afterwards");
                }
            }
        }
        for (key, position, index) in &new.keys {
            // A key that moved is reported with the workspace that it leaves.
            if !old_owners.contains_key(key) {
                let label = label(diff.secret, key);
                let change = format!("{label} of workspace {name:?} was added");
                let effect = "it is valid as soon as a VM has the configuration";
                diff.changed(Place::Key(*position, *index), change, effect);
            }
        }
    }
}

/// Adds the withdrawal of a key from a workspace; `owner` is the workspace that has it now.
fn withdrawn<D: Document>(
    diff: &mut Diff<'_, D>,
    place: Place<'_>,
    (workspace, key): (&str, &str),
    owner: Option<&str>,
    is_last: bool,
) {
    let label = label(diff.secret, key);
    let (change, mut effect) = match owner {
        Some(owner) => (
            format!("{label} moved from workspace {workspace:?} to {owner:?}"),
            format!("its callers no longer see the batches of {workspace:?}"),
        ),
        None => (
            format!("{label} of workspace {workspace:?} was withdrawn"),
            "its callers get 401 once a VM has the configuration; requests in flight end normally, \
             but are neither retried nor resumed"
                .to_owned(),
        ),
    };
    if is_last {
        effect.push_str("; the workspace has no key left, so nobody can read or end its batches");
    }
    diff.removed(place, change, effect);
}
