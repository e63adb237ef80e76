//! Limits of a port.

use std::time::Duration;

/// Limits of a port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for a request head to arrive, counted from its first byte, and for a TLS handshake.
    pub header_timeout: Duration,
    /// Largest size of a request head in bytes.
    pub header_bytes: usize,
    /// Largest size of a request body in bytes.
    pub body_bytes: usize,
    /// Time that a connection stays open between requests. It exceeds the time that the client of
    /// this crate keeps idle connections, so that a request does not meet a connection that closes.
    pub idle_timeout: Duration,
    /// Time that a caller may fall behind `min_bytes_per_s` before it is cut off. A socket takes
    /// more of an answer only once a third of its buffer is free, so a short time would cut off
    /// steady callers above the least rate.
    pub stall_timeout: Duration,
    /// Least rate at which a caller sends a body and reads an answer.
    pub min_bytes_per_s: u32,
    /// Largest number of connections; further ones are closed at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_bytes: 32 * 1024,
            body_bytes: 8 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(30),
            min_bytes_per_s: 16 * 1024,
            connections: 2_048,
        }
    }
}

impl Limits {
    /// Time that `bytes` take at the least rate.
    pub(crate) fn time_for(&self, bytes: usize) -> Duration {
        let rate = f64::from(self.min_bytes_per_s.max(1));
        // Exact enough: bodies stay far below 2^53 bytes.
        Duration::from_secs_f64(bytes as f64 / rate)
    }
}
