//! Services that no route uses, and limits on their workers that contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    super::{Engine, Scaling},
    Document, Place, Review, ServicePart,
};

pub(super) fn check<D: Document>(review: &mut Review<'_, D>) {
    let (config, document) = (review.config, review.document);
    let routed: BTreeSet<&str> = config
        .routes
        .iter()
        .flat_map(|route| &route.targets)
        .map(|target| target.service.as_str())
        .collect();
    let zones: BTreeSet<&str> = config
        .services
        .values()
        .filter_map(|service| service.scaling.as_ref())
        .flat_map(|scaling| scaling.zone_prices.iter().map(|(zone, _)| zone.as_str()))
        .collect();
    let mut positions: BTreeMap<&str, usize> = BTreeMap::new();
    let names = document.services();
    for (position, name) in names.iter().enumerate() {
        // Of two services with the same name, the decoded configuration has the last.
        if let Some(earlier) = positions.insert(name, position) {
            let place = Place::Service(earlier, ServicePart::Name);
            let other = document.path(Place::Service(position, ServicePart::Whole));
            review.error(
                place,
                format!("is the name of {other} too, which replaces it"),
                "remove one of the two or change its name",
            );
        }
    }
    for (position, name) in names.iter().enumerate() {
        if positions.get(name) != Some(&position) {
            continue;
        }
        if name.is_empty() {
            let place = Place::Service(position, ServicePart::Name);
            review.error(place, "is empty", "expected a name");
        }
        if !routed.contains(name) {
            review.warning(
                Place::Service(position, ServicePart::Name),
                "no route leads to the service",
                "add a route or remove the service",
            );
        }
        let Some(service) = config.services.get(*name) else { continue };
        if let Some(engine) = &service.engine {
            check_engine(review, position, engine);
        }
        if let Some(scaling) = &service.scaling {
            check_scaling(review, position, scaling, &zones);
        }
    }
}

fn check_engine<D: Document>(review: &mut Review<'_, D>, position: usize, engine: &Engine) {
    for (part, is_zero) in [
        (ServicePart::Slots, engine.slots == 0),
        (ServicePart::KvTokens, engine.kv_tokens == 0),
        (ServicePart::TokensPerEvent, engine.tokens_per_event == 0),
    ] {
        if is_zero {
            let place = Place::Service(position, part);
            review.error(place, "is 0, so an engine can run nothing", "expected 1 or more");
        }
    }
    let models = Place::Service(position, ServicePart::Models);
    if engine.models.is_empty() {
        review.warning(models, "names no model", "name the models that the engines serve");
    }
    let unique: BTreeSet<&String> = engine.models.iter().collect();
    if unique.len() < engine.models.len() {
        review.warning(models, "names a model twice", "remove one of the two");
    }
}

fn check_scaling<D: Document>(
    review: &mut Review<'_, D>,
    position: usize,
    scaling: &Scaling,
    zones: &BTreeSet<&str>,
) {
    let place = |part| Place::Service(position, part);
    if scaling.minimum > scaling.maximum {
        review.error(
            place(ServicePart::Minimum),
            format!("is above the maximum of {}", scaling.maximum),
            "lower the minimum or raise the maximum",
        );
    } else if scaling.maximum == 0 {
        review.warning(
            place(ServicePart::Maximum),
            "is 0, so all workers of the service are removed",
            "expected 1 or more",
        );
    }
    if scaling.boot_time.is_zero() {
        review.error(
            place(ServicePart::BootTime),
            "is 0, so a worker that is still starting counts as missing",
            "expected the time from an order until a worker takes requests",
        );
    }
    match scaling.spot_price {
        Some(price) if !price.is_finite() || price <= 0.0 => review.error(
            place(ServicePart::SpotPrice),
            "is out of range",
            "expected a price above 0, relative to an on-demand worker",
        ),
        Some(price) if price >= 1.0 => review.warning(
            place(ServicePart::SpotPrice),
            "is not below the price of an on-demand worker",
            "lower it, or remove it so that no spot worker is ordered",
        ),
        _ => {}
    }
    for (zone, price) in &scaling.zone_prices {
        if !price.is_finite() || *price <= 0.0 {
            let place = place(ServicePart::Price(zone));
            review.error(place, "is out of range", "expected a price above 0");
        }
    }
    let priced: BTreeSet<&str> =
        scaling.zone_prices.iter().map(|(zone, _)| zone.as_str()).collect();
    for zone in zones.difference(&priced) {
        review.warning(
            place(ServicePart::Prices),
            format!("zone {zone} has a price at another service, but none here"),
            "state its price; without one it is planned at price 1",
        );
    }
    if zones.is_empty() {
        review.warning(
            place(ServicePart::Prices),
            "no zone has a price",
            "state the price of each zone; without one it is planned at price 1",
        );
    }
}
