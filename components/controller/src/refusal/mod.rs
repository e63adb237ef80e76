//! Error replies to calls of gateways and other daemons.

use filbertsail_errors::Verdict;
use filbertsail_wire::{Frame, frame::Fault};

/// Refusal by a controller that does not hold the trainer's lease.
#[must_use]
pub fn not_holder() -> Frame {
    fault("not_holder", "this controller does not hold the trainer's lease")
}

/// Refusal of a request that had no effect.
#[must_use]
pub fn fault(code: &str, message: &str) -> Frame {
    let (code, message) = (code.to_owned(), message.to_owned());
    Fault { code, message, verdict: Verdict::NotRun }.into()
}
