//! Open-loop arrivals, determined by the seed before the run.
//!
//! Each request is sent at its scheduled time, whether or not earlier ones have completed, and its
//! latency is measured from that time. This avoids coordinated omission: a slow service cannot
//! hide its delay by slowing down the load.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::journal::Kind;

/// Relative weights of the request kinds.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Idempotent application calls.
    pub quote: f64,
    /// Non-idempotent calls with an idempotency key.
    pub keyed: f64,
    /// Non-idempotent calls without a key.
    pub unkeyed: f64,
    /// Completions without streaming.
    pub completion: f64,
    /// Streamed completions.
    pub stream: f64,
}

impl Mix {
    /// All kinds of requests.
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

    fn select_kind(self, draw: f64) -> Kind {
        let kinds = [
            (self.quote, Kind::Quote),
            (self.keyed, Kind::Keyed),
            (self.unkeyed, Kind::Unkeyed),
            (self.completion, Kind::Completion),
        ];
        let mut remaining =
            draw * (kinds.iter().map(|(share, _)| share).sum::<f64>() + self.stream);
        for (share, kind) in kinds {
            if remaining < share {
                return kind;
            }
            remaining -= share;
        }
        Kind::Stream
    }
}

/// Scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub offset: Duration,
    /// Kind of request.
    pub kind: Kind,
    /// Sequence number, unique in the run.
    pub number: u64,
}

/// Poisson arrivals at `rate_per_s` for `duration`.
#[must_use]
pub fn schedule(seed: u64, rate_per_s: f64, duration: Duration, mix: Mix) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut offset_s = 0.0;
    loop {
        // 1 - u lies in (0, 1], so the logarithm is finite.
        offset_s -= (1.0 - random.random::<f64>()).ln() / rate_per_s;
        if offset_s >= duration.as_secs_f64() {
            return arrivals;
        }
        let kind = mix.select_kind(random.random());
        let number = arrivals.len() as u64;
        arrivals.push(Arrival { offset: Duration::from_secs_f64(offset_s), kind, number });
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{Mix, schedule};

    /// Guards against comparing policies under different arrivals.
    #[test]
    fn can_repeat_arrivals_from_a_seed() {
        let run = |seed| schedule(seed, 100.0, Duration::from_secs(5), Mix::ALL);
        assert_eq!(run(1), run(1));
        assert_ne!(run(1), run(2));
        assert!((400..600).contains(&run(1).len()));
    }
}
