//! Open-loop arrivals, fixed by the seed before the run.
//!
//! Each request is due at its scheduled time, whether or not earlier ones were answered, and its
//! latency counts from that time, so that a slow service cannot hide its delay by slowing the load.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::journal::Kind;

/// Shares of the kinds of requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Idempotent calls.
    pub quote: f64,
    /// Keyed non-idempotent calls.
    pub keyed: f64,
    /// Non-idempotent calls without a key.
    pub unkeyed: f64,
    /// Whole completions.
    pub completion: f64,
    /// Streams.
    pub stream: f64,
}

impl Mix {
    /// Customers of all kinds.
    pub const ALL: Self =
        Self { quote: 0.25, keyed: 0.15, unkeyed: 0.1, completion: 0.3, stream: 0.2 };
    /// Model requests only.
    pub const MODEL: Self =
        Self { quote: 0.0, keyed: 0.0, unkeyed: 0.0, completion: 0.6, stream: 0.4 };

    /// Share of requests that go to model services.
    #[must_use]
    pub fn model_share(self) -> f64 {
        let model = self.completion + self.stream;
        model / (model + self.quote + self.keyed + self.unkeyed)
    }

    fn kind(self, draw: f64) -> Kind {
        let kinds = [
            (self.quote, Kind::Quote),
            (self.keyed, Kind::Keyed),
            (self.unkeyed, Kind::Unkeyed),
            (self.completion, Kind::Completion),
        ];
        let mut left = draw * (kinds.iter().map(|(share, _)| share).sum::<f64>() + self.stream);
        for (share, kind) in kinds {
            if left < share {
                return kind;
            }
            left -= share;
        }
        Kind::Stream
    }
}

/// Request to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time after the start of the run.
    pub due: Duration,
    /// Kind.
    pub kind: Kind,
    /// Number, unique in the run.
    pub number: u64,
}

/// Poisson arrivals at `rate_per_s` for `duration`.
#[must_use]
pub fn plan(seed: u64, rate_per_s: f64, duration: Duration, mix: Mix) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    loop {
        // 1 - u lies in (0, 1], so that the logarithm is finite.
        due -= (1.0 - random.random::<f64>()).ln() / rate_per_s;
        if due >= duration.as_secs_f64() {
            return arrivals;
        }
        let kind = mix.kind(random.random());
        let number = arrivals.len() as u64;
        arrivals.push(Arrival { due: Duration::from_secs_f64(due), kind, number });
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{Mix, plan};

    /// Guards against policies that are compared under different arrivals.
    #[test]
    fn can_repeat_arrivals_from_a_seed() {
        let run = |seed| plan(seed, 100.0, Duration::from_secs(5), Mix::ALL);
        assert_eq!(run(1), run(1));
        assert_ne!(run(1), run(2));
        assert!((400..600).contains(&run(1).len()));
    }
}
