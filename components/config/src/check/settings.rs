//! Checks the settings of a daemon.

use std::net::SocketAddr;

use super::{
    Role, kind,
    names::Unique,
    report::Report,
    section::{Found, Section},
};

const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const ADDRESS_EXPECTED: &str = "expected an IP address and port";

pub(crate) fn check(report: &mut Report<'_>, mut root: Section<'_>, role: Option<Role>) {
    root.required(report, "name", "expected the daemon's name", kind::name);
    root.required(report, "zone", "expected the availability zone of this VM", kind::name);
    root.required(report, "region", "expected the region of this VM", kind::name);
    let own = root.required_table(report, "listen").map(|s| listen(report, s, role));
    let own = own.unwrap_or_default();
    if let Some(section) = root.required_table(report, "platform") {
        platform(report, section, &own);
    }
    if let Some(section) = root.table(report, "peers") {
        peers(report, section, &own);
    }
    if let Some(section) = root.required_table(report, "security") {
        security(report, section);
    }
    if let Some(mut section) = root.table(report, "log") {
        section.required(report, "level", "expected a log level", kind::one_of(LOG_LEVELS));
        section.optional(report, "file", kind::text);
        section.report_unknown_keys(report);
    }
    root.report_unknown_keys(report);
}

fn listen(
    report: &mut Report<'_>,
    mut section: Section<'_>,
    role: Option<Role>,
) -> Vec<Found<SocketAddr>> {
    let callers = match role {
        Some(Role::Gateway) => {
            section.required(report, "callers", ADDRESS_EXPECTED, kind::listen_address)
        }
        _ => section.optional(report, "callers", kind::listen_address),
    };
    if let (Some(Role::Controller), Some(found)) = (role, &callers) {
        let remedy = "remove the key from a controller's settings";
        report.add(&found.key, &found.span, "is for gateways only", remedy);
    }
    let admin = section.required(report, "admin", ADDRESS_EXPECTED, kind::listen_address);
    let peers = section.required(report, "peers", ADDRESS_EXPECTED, kind::listen_address);
    section.report_unknown_keys(report);
    let own: Vec<_> = [callers, admin, peers].into_iter().flatten().collect();
    for (index, found) in own.iter().enumerate() {
        if let Some(first) = own[..index].iter().find(|first| conflicts(first.value, found.value)) {
            let problem = format!("uses the same port as {}", first.key);
            report.add(&found.key, &found.span, problem, "give each port its own address");
        }
    }
    own
}

/// Whether one process cannot listen on both addresses.
fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let is_any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (is_any || a.ip() == b.ip())
}

fn platform(report: &mut Report<'_>, mut section: Section<'_>, own: &[Found<SocketAddr>]) {
    for key in ["table", "objects", "vms", "weights"] {
        if let Some(found) = section.required(report, key, ADDRESS_EXPECTED, kind::remote_address) {
            reject_own_address(
                report,
                &found,
                own,
                "expected the address of the platform's service",
            );
        }
    }
    for key in ["table_writes_per_s", "table_reads_per_s"] {
        section.optional(report, key, kind::number("a rate above 0", |rate| rate > 0.0));
    }
    section.report_unknown_keys(report);
}

fn peers(report: &mut Report<'_>, mut section: Section<'_>, own: &[Found<SocketAddr>]) {
    let seeds = section.optional(report, "seeds", kind::list(kind::remote_address));
    section.report_unknown_keys(report);
    let mut unique = Unique::new("name each seed once");
    for seed in seeds.into_iter().flat_map(|found| found.value) {
        reject_own_address(report, &seed, own, "expected the peer port of another daemon");
        unique.check(report, &seed);
    }
}

fn reject_own_address(
    report: &mut Report<'_>,
    found: &Found<SocketAddr>,
    own: &[Found<SocketAddr>],
    remedy: &str,
) {
    if let Some(first) = own.iter().find(|first| first.value == found.value) {
        let problem = format!("is the daemon's own address {}", first.key);
        report.add(&found.key, &found.span, problem, remedy);
    }
}

fn security(report: &mut Report<'_>, mut section: Section<'_>) {
    section.required(report, "cluster_key_file", "expected a file path", kind::text);
    section.required(report, "tokens_file", "expected a file path", kind::text);
    let cert = section.optional(report, "tls_cert_file", kind::text);
    let key = section.optional(report, "tls_key_file", kind::text);
    let unpaired = match (cert, key) {
        (Some(cert), None) if !section.has("tls_key_file") => Some((cert, "tls_key_file")),
        (None, Some(key)) if !section.has("tls_cert_file") => Some((key, "tls_cert_file")),
        _ => None,
    };
    if let Some((found, missing)) = unpaired {
        let remedy = format!("add {} or remove both", section.key(missing));
        report.add(
            &found.key,
            &found.span,
            "is set without the other file of the TLS pair",
            remedy,
        );
    }
    section.report_unknown_keys(report);
}
