//! Metrics of the cluster agent.

use filbertsail_telemetry::metrics::{Counter, Gauge, KeyValue, Registry};

/// Metrics of the agent; without a registry nothing is recorded.
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

    /// Counts a lease `event`: acquired, lost or released.
    pub(crate) fn count_lease_event(&self, event: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.leases.add(1, &[KeyValue::new("event", event)]);
        }
    }

    /// Counts a change of a member's condition.
    pub(crate) fn count_member_event(&self, event: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.members.add(1, &[KeyValue::new("event", event)]);
        }
    }

    /// Records the number of live daemons and of calls rejected by the rate limiter.
    pub(crate) fn record_members(&self, live: usize, limited: u64) {
        if let Some(instruments) = &self.0 {
            instruments.live.record(live as f64, &[]);
            instruments.table_limited.record(limited as f64, &[]);
        }
    }

    /// Records a version activated from `source`.
    pub(crate) fn record_config_version(&self, version: u64, source: &'static str) {
        if let Some(instruments) = &self.0 {
            instruments.config_version.record(version as f64, &[]);
            instruments.config_changes.add(1, &[KeyValue::new("source", source)]);
        }
    }
}
