//! Metrics of the agent.

use filbertsail_telemetry::metrics::{Counter, Gauge, KeyValue, Registry};

/// Instruments, which record nothing without a registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics(Option<Instruments>);

#[derive(Clone, Debug)]
struct Instruments {
    leases: Counter<u64>,
    members: Counter<u64>,
    live: Gauge<f64>,
    config_version: Gauge<f64>,
    config_changes: Counter<u64>,
    table_limited: Gauge<f64>,
}

impl Metrics {
    pub(crate) fn new(registry: Option<&Registry>) -> Self {
        Self(registry.map(|registry| Instruments {
            leases: registry.counter("lease_changes", "Leases acquired, lost and released."),
            members: registry.counter("member_changes", "Changes of what is believed of daemons."),
            live: registry.gauge("members_live", "Daemons seen as live, with this one."),
            config_version: registry.gauge("config_version", "Configuration version in force."),
            config_changes: registry.counter("config_changes", "Versions taken into force."),
            table_limited:
                registry.gauge(
                    "table_limited",
                    "Table calls refused by the rate budget since the start.",
                ),
        }))
    }

    /// Counts a change of a lease.
    pub(crate) fn lease(&self, event: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.leases.add(1, &[KeyValue::new("event", event)]);
        }
    }

    /// Counts a change of what is believed of a daemon.
    pub(crate) fn member(&self, event: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.members.add(1, &[KeyValue::new("event", event)]);
        }
    }

    /// Records the number of live daemons and the calls refused by the rate budget.
    pub(crate) fn fleet(&self, live: usize, limited: u64) {
        if let Some(instruments) = &self.0 {
            instruments.live.record(live as f64, &[]);
            instruments.table_limited.record(limited as f64, &[]);
        }
    }

    /// Records a version taken into force from `source`.
    pub(crate) fn config(&self, version: u64, source: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.config_version.record(version as f64, &[]);
            instruments.config_changes.add(1, &[KeyValue::new("source", source)]);
        }
    }
}
