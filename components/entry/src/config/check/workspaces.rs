//! Workspaces and keys that identify no caller, or the wrong one.

use std::collections::HashMap;

use filbertsail_workspaces::key;

use super::{Document, Place, Review, WorkspacePart};

pub(super) fn check<D: Document>(review: &mut Review<'_, D>) {
    let Some(workspaces) = &review.config.workspaces else { return };
    if workspaces.is_empty() {
        review.warning(
            Place::Workspaces,
            "is empty, so no key is valid on routes that are not public",
            "add a workspace, or remove the list so that requests need no key",
        );
    }
    let mut names: HashMap<&str, usize> = HashMap::new();
    let mut owners: HashMap<&str, (usize, &str)> = HashMap::new();
    for (position, workspace) in workspaces.iter().enumerate() {
        let name = Place::Workspace(position, WorkspacePart::Name);
        if !workspace.has_valid_name() {
            review.error(
                name,
                "cannot be sent in a header, so the keys of the workspace are unknown",
                "expected a name of visible characters",
            );
        }
        if let Some(first) = names.get(workspace.name.as_str()) {
            let first = review.document.path(Place::Workspace(*first, WorkspacePart::Name));
            review.error(
                name,
                format!("repeats {first}; both are one workspace with the priority of the first"),
                "merge the two or change a name",
            );
        } else {
            names.insert(&workspace.name, position);
        }
        if workspace.keys.is_empty() {
            review.warning(
                Place::Workspace(position, WorkspacePart::Keys),
                "the workspace has no key, so no request belongs to it",
                "add a key or remove the workspace",
            );
        }
        for (index, key) in workspace.keys.iter().enumerate() {
            let place = Place::Key(position, index);
            if let Some(fault) = key::fault(key.as_bytes()) {
                review.error(
                    place,
                    format!("no caller can present it: {fault}"),
                    "withdraw it and issue another one",
                );
            }
            let Some(&(owner, owner_name)) = owners.get(key.as_str()) else {
                owners.insert(key, (position, &workspace.name));
                continue;
            };
            if owner_name == workspace.name {
                review.warning(place, "stands twice in the workspace", "remove one of the two");
            } else {
                let other = review.document.path(Place::Workspace(owner, WorkspacePart::Keys));
                review.error(
                    place,
                    format!("stands in {other} of workspace {owner_name:?} too, so it is refused"),
                    "leave it in one workspace",
                );
            }
        }
    }
}
