//! Services that were added, removed or changed, and the workers that are ordered as a result.

use std::collections::BTreeMap;

use super::{
    super::{
        super::{Engine, Scaling, Service},
        Document, Place, ServicePart,
    },
    Diff, from_to, millis,
};

/// Positions of the services; of two with the same name, that of the last, which is in force.
fn positions<D: Document>(document: &D) -> BTreeMap<String, usize> {
    let names = document.services().into_iter().enumerate();
    names.map(|(position, name)| (name.to_owned(), position)).collect()
}

pub(super) fn compare<D: Document>(diff: &mut Diff<'_, D>) {
    let (before, after) = (positions(diff.before.document), positions(diff.after.document));
    for (name, position) in &before {
        if !after.contains_key(name) {
            let place = Place::Service(*position, ServicePart::Whole);
            let effect = "its workers get no new work; what is in flight ends normally";
            diff.removed(place, format!("service {name:?} was removed"), effect);
        }
    }
    for (name, position) in &after {
        let services = (&diff.before.config.services, &diff.after.config.services);
        match (services.0.get(name), services.1.get(name)) {
            (Some(old), Some(new)) => compare_service(diff, *position, old, new),
            (None, Some(new)) => {
                let place = Place::Service(*position, ServicePart::Whole);
                let effect = match &new.scaling {
                    Some(scaling) => format!("{} are ordered", range(scaling)),
                    None => "its workers get requests as soon as they are registered".to_owned(),
                };
                diff.changed(place, format!("service {name:?} was added"), effect);
            }
            _ => {}
        }
    }
}

fn compare_service<D: Document>(
    diff: &mut Diff<'_, D>,
    position: usize,
    before: &Service,
    after: &Service,
) {
    let name = &after.name;
    let place = Place::Service(position, ServicePart::Engine);
    match (&before.engine, &after.engine) {
        (Some(old), Some(new)) => compare_engine(diff, position, name, old, new),
        (None, Some(_)) => diff.changed(
            place,
            format!("service {name:?} has model engines"),
            "its workers are given weight versions",
        ),
        (Some(_), None) => diff.changed(
            place,
            format!("service {name:?} has no model engines any more"),
            "its workers are given no weight versions",
        ),
        (None, None) => {}
    }
    let place = Place::Service(position, ServicePart::Scaling);
    match (&before.scaling, &after.scaling) {
        (Some(old), Some(new)) => compare_scaling(diff, position, name, old, new),
        (None, Some(new)) => diff.changed(
            place,
            format!("service {name:?} has workers to order"),
            format!("{} are ordered", range(new)),
        ),
        (Some(_), None) => diff.changed(
            place,
            format!("service {name:?} has no workers to order any more"),
            "the workers that were ordered last stay",
        ),
        (None, None) => {}
    }
}

fn compare_engine<D: Document>(
    diff: &mut Diff<'_, D>,
    position: usize,
    name: &str,
    before: &Engine,
    after: &Engine,
) {
    let capacity = "new work is placed by it; running work stays";
    for (part, subject, old, new, effect) in [
        (
            ServicePart::Slots,
            "slots of an engine",
            before.slots.to_string(),
            after.slots.to_string(),
            capacity,
        ),
        (
            ServicePart::KvTokens,
            "KV cache tokens of an engine",
            before.kv_tokens.to_string(),
            after.kv_tokens.to_string(),
            capacity,
        ),
        (
            ServicePart::TokensPerEvent,
            "tokens per event",
            before.tokens_per_event.to_string(),
            after.tokens_per_event.to_string(),
            capacity,
        ),
        (
            ServicePart::Models,
            "models",
            before.models.join(", "),
            after.models.join(", "),
            "the engines are divided anew among the models, and some load other weights",
        ),
    ] {
        if let Some(change) = from_to(subject, &old, &new) {
            let change = format!("service {name:?}: {change}");
            diff.changed(Place::Service(position, part), change, effect);
        }
    }
}

fn compare_scaling<D: Document>(
    diff: &mut Diff<'_, D>,
    position: usize,
    name: &str,
    before: &Scaling,
    after: &Scaling,
) {
    let minimum = if after.minimum > before.minimum {
        format!("workers are ordered at once in each zone that has fewer than {}", after.minimum)
    } else {
        "workers that are not needed may be removed slowly".to_owned()
    };
    let maximum = if after.maximum > before.maximum {
        "more workers may be ordered while capacity is short".to_owned()
    } else {
        format!("workers are removed from each zone that has more than {}", after.maximum)
    };
    let price = |price: Option<f64>| price.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let prices = |scaling: &Scaling| {
        let prices = scaling.zone_prices.iter().map(|(zone, price)| format!("{zone} {price}"));
        prices.collect::<Vec<_>>().join(", ")
    };
    let cost = "workers that are ordered afterwards are chosen by it".to_owned();
    for (part, subject, old, new, effect) in [
        (
            ServicePart::Minimum,
            "least number of workers in a zone",
            before.minimum.to_string(),
            after.minimum.to_string(),
            minimum,
        ),
        (
            ServicePart::Maximum,
            "largest number of workers in a zone",
            before.maximum.to_string(),
            after.maximum.to_string(),
            maximum,
        ),
        (
            ServicePart::BootTime,
            "boot time",
            millis(before.boot_time),
            millis(after.boot_time),
            "a worker that has not started by then is ordered once more".to_owned(),
        ),
        (
            ServicePart::SpotPrice,
            "price of spot workers",
            price(before.spot_price),
            price(after.spot_price),
            cost.clone(),
        ),
        (ServicePart::Prices, "prices of the zones", prices(before), prices(after), cost),
    ] {
        if let Some(change) = from_to(subject, &old, &new) {
            let change = format!("service {name:?}: {change}");
            diff.changed(Place::Service(position, part), change, effect);
        }
    }
}

fn range(scaling: &Scaling) -> String {
    format!("{} to {} workers per zone", scaling.minimum, scaling.maximum)
}
