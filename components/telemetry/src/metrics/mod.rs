//! `opentelemetry` metrics of one daemon and their export in the Prometheus text format.
//!
//! Each [`Registry`] is separate, so that several daemons in one process do not overwrite each
//! other's values. Instruments are created once and cloned into the tasks that record; repeated
//! attribute lists are also built only once.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use derive_more::Debug;
use eyre::{Context, Result};
use opentelemetry::metrics::{Meter, MeterProvider};
pub use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, UpDownCounter},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Encoder, TextEncoder};

/// Content type of [`Registry::render`].
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;
/// Prefix of all metric names.
const NAMESPACE: &str = "filbertsail";
/// Histogram bounds in seconds, from a call within a zone to the longest request.
const DURATION_BOUNDS_S: [f64; 15] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

/// Metrics of one daemon, cheap to clone.
#[derive(Clone, Debug)]
pub struct Registry {
    #[debug(skip)]
    inner: Arc<Inner>,
}

struct Inner {
    meter: Meter,
    /// Keeps the metric reader alive; without it the registry gathers nothing.
    _provider: SdkMeterProvider,
    registry: prometheus::Registry,
    /// First description of each name. Instruments that differ only in their description would
    /// export two series of the same name, which Prometheus rejects.
    descriptions: Mutex<BTreeMap<&'static str, &'static str>>,
}

impl Registry {
    /// Creates the registry of `daemon`, which becomes the service name in the export.
    ///
    /// # Errors
    /// Fails if the exporter cannot register with the Prometheus registry.
    pub fn new(daemon: &str) -> Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .build()
            .wrap_err("creating the metrics exporter")?;
        let resource = Resource::builder_empty().with_service_name(daemon.to_owned()).build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter(NAMESPACE);
        Ok(Self {
            inner: Arc::new(Inner {
                meter,
                _provider: provider,
                registry,
                descriptions: Mutex::default(),
            }),
        })
    }

    /// Counter `filbertsail_<name>_total`.
    #[must_use]
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.inner.meter.u64_counter(name).with_description(self.description(name, help)).build()
    }

    /// Gauge `filbertsail_<name>`.
    #[must_use]
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<f64> {
        self.inner.meter.f64_gauge(name).with_description(self.description(name, help)).build()
    }

    /// Gauge `filbertsail_<name>` that is changed by increments, such as requests in flight.
    #[must_use]
    pub fn up_down_counter(&self, name: &'static str, help: &'static str) -> UpDownCounter<i64> {
        self.inner
            .meter
            .i64_up_down_counter(name)
            .with_description(self.description(name, help))
            .build()
    }

    /// Histogram of durations in seconds, `filbertsail_<name>_seconds`.
    #[must_use]
    pub fn duration_histogram(&self, name: &'static str, help: &'static str) -> Histogram<f64> {
        self.histogram(name, help, "s", DURATION_BOUNDS_S.to_vec())
    }

    /// Histogram with the given unit and bucket bounds.
    #[must_use]
    pub fn histogram(
        &self,
        name: &'static str,
        help: &'static str,
        unit: &'static str,
        bounds: Vec<f64>,
    ) -> Histogram<f64> {
        let builder =
            self.inner.meter.f64_histogram(name).with_description(self.description(name, help));
        builder.with_unit(unit).with_boundaries(bounds).build()
    }

    /// Description with which `name` was first registered; registers `help` if there is none.
    fn description(&self, name: &'static str, help: &'static str) -> &'static str {
        let mut descriptions =
            self.inner.descriptions.lock().unwrap_or_else(PoisonError::into_inner);
        descriptions.entry(name).or_insert(help)
    }

    /// Current values in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.inner.registry.gather(), &mut text)
            .wrap_err("encoding metrics")?;
        Ok(text)
    }
}
