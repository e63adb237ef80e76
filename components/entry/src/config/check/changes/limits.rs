//! Changed limits on requests of callers.

use super::{
    super::{Document, LimitPart, Place},
    Diff, from_to, millis,
};

pub(super) fn compare<D: Document>(diff: &mut Diff<'_, D>) {
    let (before, after) = (&diff.before.config.limits, &diff.after.config.limits);
    let bytes = |bytes: usize| format!("{bytes} bytes");
    for (part, subject, old, new, effect) in [
        (
            LimitPart::HeaderBytes,
            "largest request head",
            bytes(before.header_bytes),
            bytes(after.header_bytes),
            "it applies to new heads, also on open connections",
        ),
        (
            LimitPart::BodyBytes,
            "largest request body",
            bytes(before.body_bytes),
            bytes(after.body_bytes),
            "it applies to new requests and batches; accepted ones stay",
        ),
        (
            LimitPart::HeaderTimeout,
            "timeout of request heads",
            millis(before.header_timeout),
            millis(after.header_timeout),
            "it applies at once, also on open connections",
        ),
        (
            LimitPart::IdleTimeout,
            "idle timeout",
            millis(before.idle_timeout),
            millis(after.idle_timeout),
            "it applies at once, also to open connections",
        ),
    ] {
        if let Some(change) = from_to(subject, &old, &new) {
            diff.changed(Place::Limit(part), change, effect);
        }
    }
}
