//! Parser of event streams.
//!
//! Only whole events leave the parser. What a broken connection left of an event is dropped, since
//! the next run sends that event again.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event in bytes; a longer one is no event of a model engine.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event.
    pub id: Option<u64>,
    /// Data lines joined by line feeds.
    pub data: String,
    /// Other fields by name, such as a change of the weight version.
    pub version: Option<u64>,
    /// Bytes as received, with the blank line at the end.
    pub raw: Bytes,
}

/// Bytes that form no event.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("bytes that are no event")]
pub struct Malformed;

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    version_field: &'static str,
    scanned: usize,
}

impl Parser {
    /// Parser of streams that announce a weight version in the field `version_field`.
    #[must_use]
    pub fn new(version_field: &'static str) -> Self {
        Self { version_field, ..Self::default() }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether all bytes received belonged to whole events.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Next whole event.
    ///
    /// # Errors
    /// Fails if the bytes are no event.
    pub fn take(&mut self) -> Result<Option<Event>, Malformed> {
        loop {
            let Some(end) = self.end() else {
                let too_long = self.buffer.len() > MAX_EVENT_BYTES;
                return if too_long { Err(Malformed) } else { Ok(None) };
            };
            let raw = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            if let Some(event) = self.parse(raw)? {
                return Ok(Some(event));
            }
        }
    }

    /// Position after the next blank line.
    fn end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for (index, window) in bytes.windows(2).enumerate() {
            if window == b"\n\n" {
                return Some(start + index + 2);
            }
            if window == b"\n\r" && bytes.get(index + 2) == Some(&b'\n') {
                return Some(start + index + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }

    fn parse(&self, raw: Bytes) -> Result<Option<Event>, Malformed> {
        let text = std::str::from_utf8(&raw).map_err(|_| Malformed)?;
        let mut event = Event { id: None, data: String::new(), version: None, raw: raw.clone() };
        let mut has_data = false;
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => event.id = Some(value.trim().parse().map_err(|_| Malformed)?),
                "data" => {
                    if has_data {
                        event.data.push('\n');
                    }
                    event.data.push_str(value);
                    has_data = true;
                }
                // Comments and the kinds of events carry no data.
                "" | "event" | "retry" => {}
                name if name.eq_ignore_ascii_case(self.version_field) => {
                    event.version = Some(value.trim().parse().map_err(|_| Malformed)?);
                }
                _ => return Err(Malformed),
            }
        }
        Ok((has_data || event.id.is_some()).then_some(event))
    }

    /// Drops what is left of an unfinished event.
    pub fn clear(&mut self) {
        let len = self.buffer.len();
        self.buffer.advance(len);
        self.scanned = 0;
    }
}
