//! Parsing of the example files into the types that the daemons use.

use filbertsail_config::{
    inventory::{Inventory, Kind},
    settings::Settings,
};

const SWAN_COASTAL: &str = include_str!("../../../examples/swan-coastal.toml");
const VAAHTO: &str = include_str!("../../../examples/vaahto.toml");
const SETTINGS: [&str; 2] = [
    include_str!("../../../examples/gateway.toml"),
    include_str!("../../../examples/controller.toml"),
];

/// Guards against example inventories that differ from the two documented deployments.
#[test]
fn can_parse_inventories() {
    let swan = Inventory::parse(SWAN_COASTAL).expect("swan-coastal.toml");
    assert_eq!(swan.zones.len(), 3);
    assert_eq!(swan.workers_of("advisor-lm").count(), 9);
    assert_eq!(swan.workers_of("feed-portal").count(), 3);
    assert!(swan.service("advisor-lm").is_some_and(|service| service.checks_fence));
    assert!(swan.deployment.staleness_weight > swan.deployment.idle_weight);

    let vaahto = Inventory::parse(VAAHTO).expect("vaahto.toml");
    assert_eq!(vaahto.zones.len(), 4);
    assert_eq!(vaahto.workers_of("kettle-models").count(), 9);
    assert_eq!(vaahto.workers_of("kauppa-app").count(), 4);
    assert_eq!(vaahto.trainers.len(), 3);
    assert!(vaahto.service("kauppa-app").is_some_and(|s| s.kind == Kind::Application));
    assert!(vaahto.deployment.idle_weight > vaahto.deployment.staleness_weight);
    assert!((vaahto.delay_ms("tampere-a", "turku-d") - 3.0).abs() < f64::EPSILON);
}

/// Guards against example settings that a daemon rejects.
#[test]
fn can_parse_settings() {
    for text in SETTINGS {
        Settings::parse(text).expect("example settings");
    }
}
