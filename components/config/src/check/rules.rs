//! Checks the rules on priority, weight version lag and placement.

use super::{
    inventory::{Known, MAX_U32},
    kind,
    names::Unique,
    report::Report,
    section::{Found, Section},
};

const WORK_CLASSES: &[&str] = &["customer", "rollout"];

pub(crate) fn check(report: &mut Report<'_>, sections: Vec<Section<'_>>, known: &Known<'_>) {
    let mut names = Unique::new("give each rule its own name");
    let mut unique_effects = Unique::new("state it in one rule for a service and class");
    for mut section in sections {
        if let Some(name) = section.required(report, "name", "expected a name", kind::name) {
            names.check(report, &name);
        }
        let expected = "expected the service that the rule is for";
        let service = section.required(report, "service", expected, kind::name);
        let class = section.optional(report, "class", kind::one_of(WORK_CLASSES));
        let class = class.map(|class| class.value);
        let subject = service.as_ref().map(|service| (service.value, class));
        check_effects(report, &mut section, subject, &mut unique_effects);
        let lag = section.optional(report, "max_version_lag", kind::integer(0..=i64::MAX));
        if let Some(service) = &service {
            known.service(report, service);
            if let Some(lag) = &lag {
                check_version_lag(report, lag, service.value, class, known);
            }
        }
        check_zones(report, &mut section, known);
        section.report_unknown_keys(report);
    }
}

/// Effect of a rule: service, class and the key that it sets.
type Effect = (String, Option<String>, &'static str);

fn check_effects(
    report: &mut Report<'_>,
    section: &mut Section<'_>,
    subject: Option<(&str, Option<&str>)>,
    unique: &mut Unique<Effect>,
) {
    section.optional(report, "priority", kind::integer(0..=MAX_U32));
    let keys = ["priority", "max_version_lag", "zones"];
    if !keys.iter().any(|key| section.has(key)) {
        let remedy = "expected priority, max_version_lag or zones";
        report.absent(section.path(), section.span(), "has no effect", remedy);
    }
    let Some((service, class)) = subject else { return };
    for key in keys.into_iter().filter(|key| section.has(key)) {
        let value = (service.to_owned(), class.map(ToOwned::to_owned), key);
        let span = section.span_of(key);
        unique.check(report, &Found { key: section.key(key), span, value });
    }
}

fn check_version_lag(
    report: &mut Report<'_>,
    lag: &Found<i64>,
    service: &str,
    class: Option<&str>,
    known: &Known<'_>,
) {
    let found = known.services.iter().find(|known| known.name == service);
    if found.is_some_and(|found| found.kind == Some("application")) {
        let problem = format!("bounds the weights of {service}, an application service");
        report.add(&lag.key, &lag.span, problem, "expected a model service");
    } else if class == Some("rollout") && !known.sampled.contains(service) {
        let problem = format!("bounds the staleness of rollouts, but no trainer samples {service}");
        let remedy = "add a [[trainer]] for the service or remove the bound";
        report.unresolved(&lag.key, &lag.span, problem, remedy);
    }
}

fn check_zones(report: &mut Report<'_>, section: &mut Section<'_>, known: &Known<'_>) {
    let Some(zones) = section.optional(report, "zones", kind::list(kind::name)) else { return };
    let mut unique = Unique::new("name each zone once");
    for zone in &zones.value {
        known.zone(report, zone);
        unique.check(report, zone);
    }
    if zones.value.is_empty() {
        let remedy = "name the allowed zones or remove the key to allow all";
        report.add(&zones.key, &zones.span, "allows no zone", remedy);
    }
}
