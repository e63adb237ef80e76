//! Limits on the connections and requests of a port.

use std::time::Duration;

/// Limits on the connections and requests of a port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for a request head, from its first byte, and for a TLS handshake.
    pub header_timeout: Duration,
    /// Largest size of a request head.
    pub max_header_bytes: usize,
    /// Largest size of a request body.
    pub max_body_bytes: usize,
    /// Time that a connection stays open between requests. Longer than the idle timeout of this
    /// crate's client, so that the client does not send a request on a connection that is closing.
    pub idle_timeout: Duration,
    /// Time that a caller may fall behind `min_bytes_per_s` before it is disconnected. A socket
    /// accepts more of a response only once a third of its buffer is free, so a short timeout would
    /// disconnect steady callers above the minimum rate.
    pub stall_timeout: Duration,
    /// Minimum rate at which a caller must send a request body and read a response.
    pub min_bytes_per_s: u32,
    /// Largest number of connections; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 32 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(30),
            min_bytes_per_s: 16 * 1024,
            max_connections: 2_048,
        }
    }
}

impl Limits {
    /// Time that `bytes` take at the minimum rate.
    pub(crate) fn time_for(&self, bytes: usize) -> Duration {
        let rate = f64::from(self.min_bytes_per_s.max(1));
        // Exact: bodies stay far below 2^53 bytes.
        Duration::from_secs_f64(bytes as f64 / rate)
    }
}
