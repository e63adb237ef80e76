//! Metrics of one daemon, by `opentelemetry`, and their Prometheus text.
//!
//! Each [`Registry`] is separate, so that several daemons in one process do not share or overwrite
//! each other's values. Instruments are created once and cloned into the tasks that record; attribute
//! lists that repeat are built once as well.

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
/// Prefix of each metric name.
const NAMESPACE: &str = "filbertsail";
/// Histogram bounds in seconds, from a call inside a zone to the longest request.
const SECONDS: [f64; 15] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

/// Metrics of one daemon, cheap to clone.
#[derive(Clone, Debug)]
pub struct Registry {
    #[debug(skip)]
    inner: Arc<Inner>,
}

struct Inner {
    meter: Meter,
    /// Keeps the reader alive; without it the registry gathers nothing.
    _provider: SdkMeterProvider,
    registry: prometheus::Registry,
    /// Description of each name. Instruments that differ only in it would give two series of one
    /// name, which Prometheus refuses.
    help: Mutex<BTreeMap<&'static str, &'static str>>,
}

impl Registry {
    /// Registry of the daemon named `daemon`.
    ///
    /// # Errors
    /// Fails if the exporter refuses its registry.
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
            inner: Arc::new(Inner { meter, _provider: provider, registry, help: Mutex::default() }),
        })
    }

    /// Counter `filbertsail_<name>_total`.
    #[must_use]
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.inner.meter.u64_counter(name).with_description(self.help(name, help)).build()
    }

    /// Gauge `filbertsail_<name>`.
    #[must_use]
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<f64> {
        self.inner.meter.f64_gauge(name).with_description(self.help(name, help)).build()
    }

    /// Gauge `filbertsail_<name>` that is changed by differences, such as requests in flight.
    #[must_use]
    pub fn level(&self, name: &'static str, help: &'static str) -> UpDownCounter<i64> {
        self.inner.meter.i64_up_down_counter(name).with_description(self.help(name, help)).build()
    }

    /// Histogram of times, `filbertsail_<name>_seconds`.
    #[must_use]
    pub fn seconds(&self, name: &'static str, help: &'static str) -> Histogram<f64> {
        self.histogram(name, help, "s", SECONDS.to_vec())
    }

    /// Histogram with bounds of its own.
    #[must_use]
    pub fn histogram(
        &self,
        name: &'static str,
        help: &'static str,
        unit: &'static str,
        bounds: Vec<f64>,
    ) -> Histogram<f64> {
        let builder = self.inner.meter.f64_histogram(name).with_description(self.help(name, help));
        builder.with_unit(unit).with_boundaries(bounds).build()
    }

    /// Description that `name` was first created with.
    fn help(&self, name: &'static str, help: &'static str) -> &'static str {
        let mut known = self.inner.help.lock().unwrap_or_else(PoisonError::into_inner);
        known.entry(name).or_insert(help)
    }

    /// Present values in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if a metric has no text form.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.inner.registry.gather(), &mut text)
            .wrap_err("encoding metrics")?;
        Ok(text)
    }
}
