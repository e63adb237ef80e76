//! Parser of event streams.
//!
//! The parser returns only complete events. The rest of an event that was cut off by a broken
//! connection is dropped, since the next run sends that event again.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event accepted. Events of model engines have a few hundred bytes, and a worker may send
/// bytes without end on each of hundreds of streams.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number.
    pub id: Option<u64>,
    /// Data lines, joined by line feeds.
    pub data: String,
    /// New weight version, if the event states one.
    pub version: Option<u64>,
    /// Bytes as received, including the blank line at the end.
    pub raw: Bytes,
}

/// Input that is not a valid event.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("malformed event in the stream")]
pub struct Malformed;

/// Incremental parser.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    version_field: &'static str,
    scanned_bytes: usize,
}

impl Parser {
    /// Creates a parser of streams that state new weight versions in the field `version_field`.
    #[must_use]
    pub fn new(version_field: &'static str) -> Self {
        Self { version_field, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no bytes of an incomplete event remain.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid event, or the event is too long.
    pub fn take(&mut self) -> Result<Option<Event>, Malformed> {
        loop {
            let Some(end) = self.event_end() else {
                let is_too_long = self.buffer.len() > MAX_EVENT_BYTES;
                return if is_too_long { Err(Malformed) } else { Ok(None) };
            };
            let raw = self.buffer.split_to(end).freeze();
            self.scanned_bytes = 0;
            if let Some(event) = self.parse(raw)? {
                return Ok(Some(event));
            }
        }
    }

    /// End of the next event: the position after a blank line.
    fn event_end(&mut self) -> Option<usize> {
        let start = self.scanned_bytes.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for (index, window) in bytes.windows(2).enumerate() {
            if window == b"\n\n" {
                return Some(start + index + 2);
            }
            if window == b"\n\r" && bytes.get(index + 2) == Some(&b'\n') {
                return Some(start + index + 3);
            }
        }
        self.scanned_bytes = self.buffer.len();
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
                // Comments, event types and retry times are ignored.
                "" | "event" | "retry" => {}
                name if name.eq_ignore_ascii_case(self.version_field) => {
                    event.version = Some(value.trim().parse().map_err(|_| Malformed)?);
                }
                _ => return Err(Malformed),
            }
        }
        Ok((has_data || event.id.is_some()).then_some(event))
    }

    /// Drops the bytes of an incomplete event.
    pub fn clear(&mut self) {
        let len = self.buffer.len();
        self.buffer.advance(len);
        self.scanned_bytes = 0;
    }
}
