//! Server-sent events of engines.

use bytes::{Buf, Bytes, BytesMut};
use filbertsail_api::engine::{Event, Finish};
use serde::Deserialize;

use crate::backend::{Failure, Kind};

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Item {
    /// End of the stream.
    Finish(Finish),
    /// One token.
    Token(Event),
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    data: Vec<u8>,
}

impl Decoder {
    /// Adds bytes from the connection.
    pub fn feed(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Next whole event.
    ///
    /// # Errors
    /// Fails on an event that is too large or not of the protocol.
    pub fn take(&mut self) -> Result<Option<Item>, Failure> {
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
                    Failure::sent(Kind::Mismatched, format!("invalid event: {error}"))
                });
            }
        }
        if self.buffer.len() + self.data.len() > MAX_EVENT_BYTES {
            return Err(Failure::sent(Kind::Mismatched, "event too large"));
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::{Decoder, Item};

    /// Guards against events that arrive in pieces or several at once.
    #[test]
    fn can_join_and_split_events() {
        let text = "data: {\"request_id\":\"r\",\"index\":0,\"text\":\"a\",\"weight_version\":7}\n\n\
                    data: {\"request_id\":\"r\",\"done\":true,\"tokens\":1,\"labels\":[],\
                    \"reason\":\"stop\"}\r\n\r\n";
        for size in 1..text.len() {
            let mut decoder = Decoder::default();
            let mut items = Vec::new();
            for part in text.as_bytes().chunks(size) {
                decoder.feed(&part.to_vec().into());
                while let Some(item) = decoder.take().expect("valid") {
                    items.push(item);
                }
            }
            assert!(matches!(&items[..], [Item::Token(_), Item::Finish(_)]), "{size}: {items:?}");
        }
    }
}
