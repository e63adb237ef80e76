//! Prometheus export of separate registries.

use filbertsail_telemetry::metrics::{KeyValue, Registry};

fn text(registry: &Registry) -> String {
    String::from_utf8(registry.render().expect("renders")).expect("UTF-8")
}

/// Guards against two daemons in one process that overwrite each other's values.
#[test]
fn can_keep_registries_apart() {
    let first = Registry::new("gateway-1").expect("registry");
    let second = Registry::new("gateway-2").expect("registry");
    first.counter("requests", "Requests").add(2, &[KeyValue::new("service", "advisor-lm")]);
    second.counter("requests", "Requests").add(5, &[KeyValue::new("service", "advisor-lm")]);
    assert!(text(&first).contains("filbertsail_requests_total{service=\"advisor-lm\"} 2\n"));
    assert!(text(&second).contains("filbertsail_requests_total{service=\"advisor-lm\"} 5\n"));
    assert!(text(&first).contains("service_name=\"gateway-1\""), "{}", text(&first));
}

/// Guards against metric names that change with the exporter's naming rules.
#[test]
fn can_name_each_kind() {
    let registry = Registry::new("gateway-1").expect("registry");
    registry.gauge("live_daemons", "Live daemons").record(3.0, &[]);
    registry.duration_histogram("request_duration", "Time of a request").record(0.004, &[]);
    let text = text(&registry);
    assert!(text.contains("\nfilbertsail_live_daemons 3\n"), "{text}");
    assert!(text.contains("filbertsail_request_duration_seconds_bucket{le=\"0.0025\"} 0\n"));
    assert!(text.contains("filbertsail_request_duration_seconds_bucket{le=\"0.005\"} 1\n"));
}

/// Guards against duplicate series when two parts of a daemon register the same gauge.
#[test]
fn can_share_a_name() {
    let registry = Registry::new("gateway-1").expect("registry");
    registry.gauge("config_version", "Version").record(1.0, &[]);
    registry.gauge("config_version", "Version in force").record(2.0, &[]);
    let text = text(&registry);
    let series: Vec<_> =
        text.lines().filter(|line| line.starts_with("filbertsail_config_version")).collect();
    assert_eq!(series, ["filbertsail_config_version 2"]);
}
