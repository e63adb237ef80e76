//! Limits on requests of callers that contradict each other or the memory of a VM.

use super::{Document, LimitPart, Place, Review};

pub(super) fn check<D: Document>(review: &mut Review<'_, D>) {
    let (limits, memory) = (&review.config.limits, review.basis.memory_bytes);
    for (part, is_zero) in [
        (LimitPart::HeaderBytes, limits.header_bytes == 0),
        (LimitPart::HeaderTimeout, limits.header_timeout.is_zero()),
        (LimitPart::IdleTimeout, limits.idle_timeout.is_zero()),
    ] {
        if is_zero {
            review.error(
                Place::Limit(part),
                "is 0, so no request is accepted",
                "expected 1 or more",
            );
        }
    }
    if limits.body_bytes == 0 {
        let place = Place::Limit(LimitPart::BodyBytes);
        review.warning(place, "is 0, so no request may have a body", "expected 1 or more");
    }
    for (part, bytes) in
        [(LimitPart::HeaderBytes, limits.header_bytes), (LimitPart::BodyBytes, limits.body_bytes)]
    {
        if u64::try_from(bytes).unwrap_or(u64::MAX) > memory {
            review.error(
                Place::Limit(part),
                format!("is above the memory of a VM, {memory} bytes"),
                "lower it, so that one request cannot exhaust a VM",
            );
        }
    }
    if limits.header_timeout > limits.idle_timeout && !limits.idle_timeout.is_zero() {
        review.warning(
            Place::Limit(LimitPart::HeaderTimeout),
            format!("is above the idle timeout of {} ms", limits.idle_timeout.as_millis()),
            "lower it, or the connection is closed as idle before a head times out",
        );
    }
}
