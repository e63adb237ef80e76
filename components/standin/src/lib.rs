//! In-process simulations (stand-ins) of external systems: table service, object store, VM list,
//! weight store, model engines, plain services and scorers.
//!
//! Each implements the published protocol and injects faults through a [`fault::Injector`]. Their
//! records of what ran do not depend on the daemons under test.

pub mod engine;
pub mod environment;
pub mod fault;
pub mod network;
pub mod object;
pub mod scorer;
pub mod server;
pub mod service;
pub mod table;
pub mod vm;
pub mod weight;
