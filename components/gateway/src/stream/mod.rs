//! Decoder of engines' server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use filbertsail_api::engine::{Event, Finish};
use serde::Deserialize;

use crate::backend::{Failure, Kind};

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Decoded event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Item {
    /// Last event of the stream.
    Finish(Finish),
    /// One token.
    Token(Event),
}

/// Incremental decoder of server-sent events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    data: Vec<u8>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Next complete event, `None` if more bytes are needed.
    ///
    /// # Errors
    /// Fails on an event that is larger than 1 MiB or not valid JSON of the protocol.
    pub fn next_item(&mut self) -> Result<Option<Item>, Failure> {
        while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
            let mut line = self.buffer.split_to(end);
            self.buffer.advance(1);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data.extend_from_slice(data);
            } else if line.is_empty() && !self.data.is_empty() {
                let item = serde_json::from_slice(&self.data);
                self.data.clear();
                return item.map(Some).map_err(|error| {
                    Failure::may_have_run(Kind::Mismatched, format!("invalid event: {error}"))
                });
            }
        }
        if self.buffer.len() + self.data.len() > MAX_EVENT_BYTES {
            return Err(Failure::may_have_run(Kind::Mismatched, "event too large"));
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::{Decoder, Item};

    /// Guards against errors with events split over chunks or several events in a chunk.
    #[test]
    fn can_decode_events_at_any_chunk_size() {
        let text = "data: {\"request_id\":\"r\",\"index\":0,\"text\":\"a\",\"weight_version\":7}\n\n\
                    data: {\"request_id\":\"r\",\"done\":true,\"tokens\":1,\"labels\":[],\
                    \"reason\":\"stop\"}\r\n\r\n";
        for size in 1..text.len() {
            let mut decoder = Decoder::default();
            let mut items = Vec::new();
            for chunk in text.as_bytes().chunks(size) {
                decoder.push(&chunk.to_vec().into());
                while let Some(item) = decoder.next_item().expect("valid") {
                    items.push(item);
                }
            }
            assert!(matches!(&items[..], [Item::Token(_), Item::Finish(_)]), "{size}: {items:?}");
        }
    }
}
