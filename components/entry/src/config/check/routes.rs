//! Routes that match nothing or whose limits contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    super::{Kind, Route},
    Document, Place, Review, RoutePart,
};

pub(super) fn check<D: Document>(review: &mut Review<'_, D>) {
    let routes = &review.config.routes;
    if routes.is_empty() {
        review.warning(Place::Routes, "there is no route", "add one, or no request is served");
    }
    // Of two routes with the same host and prefix, the index finds the last.
    let last: BTreeMap<(&str, &str), usize> = routes
        .iter()
        .enumerate()
        .map(|(position, route)| ((route.host.as_str(), route.prefix.as_str()), position))
        .collect();
    let services: BTreeSet<String> =
        review.document.services().into_iter().map(Into::into).collect();
    for (position, route) in routes.iter().enumerate() {
        check_match(review, position, route);
        match last.get(&(route.host.as_str(), route.prefix.as_str())) {
            Some(&other) if other != position => {
                let other = review.document.path(Place::Route(other, RoutePart::Whole));
                review.error(
                    Place::Route(position, RoutePart::Prefix),
                    format!("has the host and prefix of {other}, which takes all its requests"),
                    "remove one of the two or change its prefix",
                );
            }
            _ => {}
        }
        check_targets(review, position, route, &services);
        check_times(review, position, route);
    }
}

fn check_match<D: Document>(review: &mut Review<'_, D>, position: usize, route: &Route) {
    let is_host_byte = |byte: u8| byte.is_ascii_graphic() && !b":/?#@".contains(&byte);
    if route.host.is_empty() || !route.host.bytes().all(is_host_byte) {
        review.error(
            Place::Route(position, RoutePart::Host),
            "matches no request",
            "expected a host name without a port",
        );
    }
    let is_path_byte = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        review.error(
            Place::Route(position, RoutePart::Prefix),
            "does not begin and end with a slash",
            "expected a prefix such as /name/",
        );
    } else if !prefix.bytes().all(is_path_byte) {
        review.error(
            Place::Route(position, RoutePart::Prefix),
            "has characters that no path has, so it matches no request",
            "expected a percent-encoded path",
        );
    }
}

fn check_targets<D: Document>(
    review: &mut Review<'_, D>,
    position: usize,
    route: &Route,
    services: &BTreeSet<String>,
) {
    if route.targets.is_empty() {
        review.error(
            Place::Route(position, RoutePart::Targets),
            "the route has no service, so its requests fail",
            "name a service",
        );
        return;
    }
    for (index, target) in route.targets.iter().enumerate() {
        let place = Place::Target(position, index);
        if !services.contains(&target.service) {
            review.error(
                place,
                format!("service {:?} does not exist", target.service),
                "add the service or name another one",
            );
        }
        if target.weight == 0.0 {
            review.warning(
                place,
                "has weight 0, so it gets no request",
                "remove it or give it a weight above 0",
            );
        } else if target.weight < 0.0 || !target.weight.is_finite() {
            review.error(place, "the weight is out of range", "expected a weight above 0");
        }
    }
    if route.targets.iter().all(|target| target.weight == 0.0) {
        review.error(
            Place::Route(position, RoutePart::Targets),
            "all weights are 0, so the last service gets all requests",
            "give at least one service a weight above 0",
        );
    }
}

fn check_times<D: Document>(review: &mut Review<'_, D>, position: usize, route: &Route) {
    let (timeout, target) = (route.timeout, route.target_latency);
    let place = |part| Place::Route(position, part);
    if timeout.is_zero() {
        review.error(
            place(RoutePart::Timeout),
            "leaves a request no time",
            "expected a timeout above 0",
        );
        return;
    }
    if target.is_zero() {
        review.warning(
            place(RoutePart::TargetLatency),
            "is 0, so no response can be in time",
            "expected a latency above 0",
        );
    }
    if timeout < target {
        review.error(
            place(RoutePart::Timeout),
            format!("is below the target latency of {} ms", target.as_millis()),
            "raise the timeout or lower the target latency",
        );
    }
    if route.max_attempts == 0 {
        review.warning(
            place(RoutePart::Attempts),
            "is treated as 1, because a request reaches one worker at least",
            "expected 1 or more",
        );
    }
    if route.kind == Kind::Batch {
        if route.max_queue < target {
            review.warning(
                place(RoutePart::Queue),
                format!("items may be given up before the target of {} ms", target.as_millis()),
                "raise it to the target latency or more",
            );
        }
        return;
    }
    // Attempts run one after the other. Each should get the time that a good response takes.
    let needed = target.saturating_mul(route.max_attempts);
    if timeout >= target && route.max_attempts > 1 && needed > timeout {
        let fitting = timeout.as_nanos().checked_div(target.as_nanos()).unwrap_or(1);
        review.warning(
            place(RoutePart::Attempts),
            format!(
                "needs {} ms at the target latency, but the timeout is {} ms",
                needed.as_millis(),
                timeout.as_millis()
            ),
            format!("lower it to {fitting} or raise the timeout"),
        );
    }
}
