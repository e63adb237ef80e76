//! Logging with one line of key=value pairs per event, and `opentelemetry` metrics.

pub mod event;
pub mod logs;
pub mod metrics;
pub mod sink;
