//! Types at the border: JSON over HTTP towards callers, trainers, operators, backend servers and
//! the platform.
//!
//! The modules are generated from the schemas in `schema/` by `filbertsail-apigen` and committed.

#[rustfmt::skip]
mod generated;

pub use generated::*;
