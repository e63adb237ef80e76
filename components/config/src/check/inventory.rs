//! Checks an inventory.

use std::collections::BTreeSet;

use super::{
    kind,
    names::{Unique, resolve},
    report::Report,
    rules,
    section::{Found, Section},
};

/// Boolean keys of a service.
const SERVICE_FLAGS: [&str; 5] =
    ["reports_load", "checks_fence", "echoes_request_id", "resumes_streams", "http2"];
const SERVICE_KINDS: &[&str] = &["model", "application"];
const UNCONFIRMED: &[&str] = &["stop", "serve"];
/// Largest value of integers that the types hold in 32 bits.
pub(crate) const MAX_U32: i64 = u32::MAX as i64;

/// Service with the values that could be read.
pub(crate) struct Service<'t> {
    pub(crate) name: &'t str,
    pub(crate) kind: Option<&'t str>,
}

/// Names that other tables refer to.
#[derive(Default)]
pub(crate) struct Known<'t> {
    pub(crate) zones: Vec<&'t str>,
    pub(crate) services: Vec<Service<'t>>,
    /// Names of the services that trainers sample from.
    pub(crate) sampled: BTreeSet<&'t str>,
}

impl<'t> Known<'t> {
    /// Reports a zone name that is not defined.
    pub(crate) fn zone(&self, report: &mut Report<'_>, found: &Found<&str>) -> bool {
        resolve(report, found, "availability zone", self.zones.iter().copied())
    }

    /// Returns a service by name and reports one that is not defined.
    pub(crate) fn service(
        &self,
        report: &mut Report<'_>,
        found: &Found<&str>,
    ) -> Option<&Service<'t>> {
        resolve(report, found, "service", self.services.iter().map(|service| service.name));
        self.services.iter().find(|service| service.name == found.value)
    }
}

pub(crate) fn check(report: &mut Report<'_>, mut root: Section<'_>) {
    if let Some(section) = root.required_table(report, "deployment") {
        deployment(report, section);
    }
    let mut known = Known::default();
    let sections = root.required_tables(report, "zone");
    known.zones = zones(report, sections);
    let sections = root.tables(report, "link");
    links(report, sections, &known);
    let sections = root.required_tables(report, "service");
    known.services = services(report, sections);
    let sections = root.required_tables(report, "worker");
    workers(report, sections, &known);
    let sections = root.tables(report, "trainer");
    known.sampled = trainers(report, sections, &known);
    let sections = root.tables(report, "rule");
    rules::check(report, sections, &known);
    root.report_unknown_keys(report);
}

fn deployment(report: &mut Report<'_>, mut section: Section<'_>) {
    section.required(report, "name", "expected the deployment's name", kind::name);
    let weight = || kind::number("a weight of 0 or more", |weight| weight >= 0.0);
    let expected = "expected a weight of 0 or more";
    let staleness = section.required(report, "staleness_weight", expected, weight());
    let idle = section.required(report, "idle_weight", expected, weight());
    if let (Some(staleness), Some(idle)) = (staleness, idle)
        && staleness.value + idle.value <= 0.0
    {
        let problem = "is 0 and so is staleness_weight";
        report.add(&idle.key, &idle.span, problem, "expected at least one of them above 0");
    }
    section.optional(report, "client_delay_ms", delay());
    section.optional(report, "unconfirmed", kind::one_of(UNCONFIRMED));
    section.report_unknown_keys(report);
}

fn delay() -> impl Fn(&mut Report<'_>, &str, &super::section::Value<'_>) -> Option<f64> {
    kind::number("a delay of 0 ms or more", |delay| delay >= 0.0)
}

fn zones<'t>(report: &mut Report<'_>, sections: Vec<Section<'t>>) -> Vec<&'t str> {
    let mut unique = Unique::new("give each availability zone its own name");
    let mut zones = Vec::new();
    for mut section in sections {
        if let Some(name) = section.required(report, "name", "expected a name", kind::name) {
            unique.check(report, &name);
            zones.push(name.value);
        }
        section.required(report, "region", "expected the zone's region", kind::name);
        section.report_unknown_keys(report);
    }
    zones
}

fn links(report: &mut Report<'_>, sections: Vec<Section<'_>>, known: &Known<'_>) {
    let mut unique = Unique::new("describe each pair of zones once");
    for mut section in sections {
        let names = kind::list(kind::name);
        let between = section.required(report, "between", "expected two zones", names);
        if let Some(between) = between {
            link_ends(report, &between, known, &mut unique);
        }
        section.required(report, "delay_ms", "expected a delay of 0 ms or more", delay());
        section.optional(report, "cost", kind::number("a cost above 0", |cost| cost > 0.0));
        section.report_unknown_keys(report);
    }
}

fn link_ends(
    report: &mut Report<'_>,
    between: &Found<Vec<Found<&str>>>,
    known: &Known<'_>,
    unique: &mut Unique<(String, String)>,
) {
    let resolved = between.value.iter().filter(|end| known.zone(report, end)).count();
    let [a, b] = between.value.as_slice() else {
        if resolved == between.value.len() {
            let problem = format!("is a list of length {resolved}");
            report.add(&between.key, &between.span, problem, "expected two zones");
        }
        return;
    };
    if a.value == b.value {
        let problem = "joins a zone with itself";
        report.add(&between.key, &between.span, problem, "expected two different zones");
        return;
    }
    let (low, high) = (a.value.min(b.value), a.value.max(b.value));
    let pair = (low.to_owned(), high.to_owned());
    let (key, span) = (between.key.clone(), between.span.clone());
    unique.check(report, &Found { key, span, value: pair });
}

fn services<'t>(report: &mut Report<'_>, sections: Vec<Section<'t>>) -> Vec<Service<'t>> {
    let mut unique = Unique::new("give each service its own name");
    let mut services = Vec::new();
    for mut section in sections {
        let name = section.required(report, "name", "expected a name", kind::name);
        let expected = "expected model or application";
        let kind = section.required(report, "kind", expected, kind::one_of(SERVICE_KINDS));
        for key in SERVICE_FLAGS {
            section.optional(report, key, kind::boolean);
        }
        service_limits(report, &mut section);
        section.report_unknown_keys(report);
        if let Some(name) = name {
            unique.check(report, &name);
            services.push(Service { name: name.value, kind: kind.map(|kind| kind.value) });
        }
    }
    services
}

fn service_limits(report: &mut Report<'_>, section: &mut Section<'_>) {
    for key in ["idempotent_paths", "unrepeatable_paths"] {
        let paths = section.optional(report, key, kind::list(kind::text));
        for path in paths.into_iter().flat_map(|paths| paths.value) {
            if !path.value.starts_with('/') {
                let remedy = "expected a path that starts with \"/\"";
                report.add(&path.key, &path.span, "is not a path", remedy);
            }
        }
    }
    section.optional(report, "max_concurrency", kind::integer(1..=MAX_U32));
    section.optional(report, "timeout_ms", kind::integer(1..=i64::MAX));
    let share = kind::number("0 or more and below 1, so that a worker is free to swap", |share| {
        (0.0..1.0).contains(&share)
    });
    section.optional(report, "min_serving", share);
}

fn workers(report: &mut Report<'_>, sections: Vec<Section<'_>>, known: &Known<'_>) {
    let mut names = Unique::new("give each worker its own name");
    let mut addresses = Unique::new("give each worker its own address");
    for mut section in sections {
        if let Some(name) = section.required(report, "name", "expected a name", kind::name) {
            names.check(report, &name);
        }
        let expected = "expected the name of a service";
        if let Some(service) = section.required(report, "service", expected, kind::name) {
            known.service(report, &service);
        }
        let expected = "expected the name of an availability zone";
        if let Some(zone) = section.required(report, "zone", expected, kind::name) {
            known.zone(report, &zone);
        }
        let expected = "expected an IP address and port";
        if let Some(address) = section.required(report, "address", expected, kind::remote_address) {
            addresses.check(report, &address);
        }
        section.report_unknown_keys(report);
    }
}

fn trainers<'t>(
    report: &mut Report<'_>,
    sections: Vec<Section<'t>>,
    known: &Known<'t>,
) -> BTreeSet<&'t str> {
    let mut unique = Unique::new("give each trainer its own name");
    let mut sampled = BTreeSet::new();
    for mut section in sections {
        let expected = "expected the trainer that the staleness bound is for";
        if let Some(name) = section.required(report, "name", expected, kind::name) {
            unique.check(report, &name);
        }
        section.required(report, "team", "expected the team that owns it", kind::name);
        let expected = "expected the name of a model service";
        if let Some(service) = section.required(report, "service", expected, kind::name) {
            sampled.insert(service.value);
            model_service(report, &service, known);
        }
        section.optional(report, "share", kind::number("a share above 0", |share| share > 0.0));
        let expected = "expected the largest staleness in weight versions, 0 or more";
        section.required(report, "staleness_bound", expected, kind::integer(0..=i64::MAX));
        section.report_unknown_keys(report);
    }
    sampled
}

fn model_service(report: &mut Report<'_>, service: &Found<&str>, known: &Known<'_>) {
    let kind = known.service(report, service).and_then(|service| service.kind);
    if kind == Some("application") {
        let problem = "is an application service, which has no weights";
        report.add(&service.key, &service.span, problem, "expected a model service");
    }
}
