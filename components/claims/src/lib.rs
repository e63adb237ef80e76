//! Claims that keep a keyed request at most once.
//!
//! A claim row is committed to the table service before the request is sent to a backend server.
//! A repeat finds the row: it gets the stored answer, waits for the owner, or learns that the
//! request may have run. It never runs the request again. A claim whose request provably did not
//! run is released, so that a repeat may run it.
//!
//! A released row stays in the table until it expires. A claim whose commit was lost on the network
//! may still arrive late, and the row makes its check for absence fail.

pub mod batch;
pub mod owners;
pub mod row;
pub mod sweep;
pub mod task;

pub use row::{Answer, Key};
pub use task::{Begin, Claims, Members, Refused, Setup, Ticket};
