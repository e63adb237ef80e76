//! In-process stand-ins for the systems outside the project: table service, object store, VM list,
//! weight store, model engines, plain services and scorers.
//!
//! Each speaks its published protocol, takes faults through a [`fault::Handle`] and keeps a record
//! of what ran that does not depend on the daemons under test.

pub mod engine;
pub mod fault;
pub mod network;
pub mod object;
pub mod scorer;
pub mod server;
pub mod service;
pub mod set;
pub mod table;
pub mod vm;
pub mod weight;
