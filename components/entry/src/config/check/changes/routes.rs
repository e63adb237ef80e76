//! Routes that were added, removed, moved to another service, or changed otherwise.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    super::{
        super::{Config, Kind, Route},
        Document, Place, RoutePart,
    },
    Diff, from_to, millis,
};

/// Routes that can match, by host and prefix, with their positions.
fn effective(config: &Config) -> BTreeMap<(&str, &str), (usize, &Route)> {
    let routes = config.routes.iter().enumerate();
    routes
        .map(|(position, route)| ((route.host.as_str(), route.prefix.as_str()), (position, route)))
        .collect()
}

pub(super) fn compare<D: Document>(diff: &mut Diff<'_, D>) {
    let (before, after) = (effective(diff.before.config), effective(diff.after.config));
    for (key, (position, route)) in &before {
        match after.get(key) {
            None => removed(diff, *position, route),
            Some((new_position, new)) => {
                compare_targets(diff, *new_position, route, new);
                compare_values(diff, *new_position, route, new);
            }
        }
    }
    for (key, (position, route)) in after {
        if !before.contains_key(&key) {
            added(diff, position, route);
        }
    }
}

fn label(route: &Route) -> String {
    format!("route {:?} ({}{})", route.name, route.host, route.prefix)
}

fn removed<D: Document>(diff: &mut Diff<'_, D>, position: usize, route: &Route) {
    let successor = diff.after.config.route(&route.host, &route.prefix).map(label);
    let effect = match (successor, route.kind) {
        (Some(other), Kind::Batch) => format!(
            "new requests and waiting items of accepted batches go by {other}; running items stay \
             where they are"
        ),
        (Some(other), _) => {
            format!("new requests and waiting items go by {other}; what is in flight stays")
        }
        (None, Kind::Batch) => "new batches get 404; waiting items of accepted batches end as \
                                dead, as do running ones that fail"
            .to_owned(),
        (None, _) => {
            "new requests get 404, and waiting items of accepted batches with such a path end as \
                      dead; requests in flight end normally"
                .to_owned()
        }
    };
    let place = Place::Route(position, RoutePart::Whole);
    diff.removed(place, format!("{} was removed", label(route)), effect);
}

fn added<D: Document>(diff: &mut Diff<'_, D>, position: usize, route: &Route) {
    let effect = match diff.before.config.route(&route.host, &route.prefix) {
        Some(other) => {
            format!("takes over new requests, and waiting items, that go by {} now", label(other))
        }
        None => "its requests get 404 now".to_owned(),
    };
    let place = Place::Route(position, RoutePart::Whole);
    diff.changed(place, format!("{} was added", label(route)), effect);
}

fn compare_targets<D: Document>(
    diff: &mut Diff<'_, D>,
    position: usize,
    before: &Route,
    after: &Route,
) {
    if before.targets == after.targets {
        return;
    }
    let shares = |route: &Route| {
        let shares = route.targets.iter().map(|target| match route.targets.len() {
            1 => target.service.clone(),
            _ => format!("{} ({})", target.service, target.weight),
        });
        shares.collect::<Vec<_>>().join(", ")
    };
    let services = |route: &Route| -> BTreeSet<String> {
        let targets = route.targets.iter().filter(|target| target.weight > 0.0);
        targets.map(|target| target.service.clone()).collect()
    };
    let place = Place::Route(position, RoutePart::Targets);
    let (old, new) = (shares(before), shares(after));
    if services(before) == services(after) {
        let change = format!("{}: shares from {old} to {new}", label(after));
        diff.changed(place, change, "new requests and waiting items are divided anew");
        return;
    }
    let effect = match after.kind {
        Kind::Batch => {
            "waiting items of accepted batches and new batches go to the new service; running \
             items stay at their workers, and go to it if they are repeated"
        }
        _ => {
            "new requests, retries, resumptions and waiting items go to the new service; what is in \
             flight stays at its workers"
        }
    };
    diff.changed(place, format!("{} moved from {old} to {new}", label(after)), effect);
}

fn compare_values<D: Document>(
    diff: &mut Diff<'_, D>,
    position: usize,
    before: &Route,
    after: &Route,
) {
    let access = |route: &Route| if route.is_public { "no key" } else { "a key" }.to_owned();
    let yes_no = |value: bool| if value { "yes" } else { "no" }.to_owned();
    let at_start = "it applies to requests that arrive afterwards";
    let access_effect = if after.is_public {
        "requests without a key are served"
    } else {
        "requests without a valid key get 401 if the configuration has workspaces"
    };
    for (part, subject, old, new, effect) in [
        (
            RoutePart::Kind,
            "kind",
            kind(before.kind).to_owned(),
            kind(after.kind).to_owned(),
            "it decides whether requests may be repeated; accepted batches keep running",
        ),
        (RoutePart::Timeout, "timeout", millis(before.timeout), millis(after.timeout), at_start),
        (
            RoutePart::TargetLatency,
            "target latency",
            millis(before.target_latency),
            millis(after.target_latency),
            "requests are queued no longer than it",
        ),
        (
            RoutePart::Attempts,
            "largest number of attempts",
            before.max_attempts.to_string(),
            after.max_attempts.to_string(),
            "it applies to new requests, and to items at their next failure",
        ),
        (
            RoutePart::Queue,
            "time after which items may be given up",
            millis(before.max_queue),
            millis(after.max_queue),
            "it applies at once, also to items of accepted batches",
        ),
        (
            RoutePart::Resumable,
            "resumption of broken streams",
            yes_no(before.resumable),
            yes_no(after.resumable),
            at_start,
        ),
        (
            RoutePart::SingleVersion,
            "results from one weight version",
            yes_no(before.single_version),
            yes_no(after.single_version),
            "it decides whether workers finish their work before they load the next version",
        ),
        (
            RoutePart::Priority,
            "priority",
            before.priority.to_string(),
            after.priority.to_string(),
            at_start,
        ),
        (RoutePart::Public, "requests need", access(before), access(after), access_effect),
    ] {
        // Without a limit of its own, a route has the timeout as the limit, which is reported.
        let follows_timeout =
            |route: &Route| route.kind != Kind::Batch && route.max_queue == route.timeout;
        let is_unused =
            part == RoutePart::Queue && follows_timeout(before) && follows_timeout(after);
        if is_unused {
            continue;
        }
        if let Some(change) = from_to(subject, &old, &new) {
            let change = format!("{}: {change}", label(after));
            diff.changed(Place::Route(position, part), change, effect);
        }
    }
}

fn kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Idempotent => "repeatable requests",
        Kind::AtMostOnce => "requests that run once at most",
        Kind::Stream => "event streams",
        Kind::Batch => "batches",
    }
}
