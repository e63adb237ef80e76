//! Types of the external JSON APIs over HTTP: of callers, trainers, operators, backend servers and
//! the platform.
//!
//! `filbertsail-apigen` generates the modules from the schemas in `schema/`; they are committed.

#[rustfmt::skip]
mod generated;

pub use generated::*;
