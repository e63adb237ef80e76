//! Claims that execute a request with an idempotency key at most once.
//!
//! A claim row is committed to the table service before the request is sent to a backend server.
//! A repeated request finds the row and receives the stored response, waits for the owner, or is
//! told that the request may have run. It is never executed again. If the first request provably
//! did not run, its claim is released and a repeated request may claim the key.
//!
//! A released row stays in the table until it expires: a delayed commit of the claim may still
//! arrive, and the row makes its check for absence fail.

pub mod batch;
pub mod owners;
pub mod row;
pub mod sweep;
pub mod task;

pub use row::{Answer, Key};
pub use task::{Admission, Claims, Context, Error, Members, Ticket};
