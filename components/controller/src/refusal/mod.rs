//! Refusals of calls from gateways and other daemons.

use filbertsail_errors::Verdict;
use filbertsail_wire::{Frame, frame::Fault};

/// Answer of a controller that does not hold the lease.
#[must_use]
pub fn not_holder() -> Frame {
    fault("not_holder", "this controller does not hold the trainer's lease")
}

/// Failure that happened before anything ran.
#[must_use]
pub fn fault(code: &str, message: &str) -> Frame {
    let (code, message) = (code.to_owned(), message.to_owned());
    Fault { code, message, verdict: Verdict::NotRun }.into()
}
