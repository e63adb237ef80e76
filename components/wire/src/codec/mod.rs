//! Frame encoding: big-endian `u32` length of the rest, `u16` kind, `bincode` body.
//!
//! A decoder skips frames of unknown kind and ignores bytes after the fields that it knows, so that
//! daemons of different versions can talk. New fields are appended in a new kind.

use bincode::{
    Decode, Encode, config, config::Configuration, decode_from_slice, encode_to_vec,
    error::DecodeError,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

use crate::frame::Frame;

/// Largest length of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
const HEADER_BYTES: usize = 4;
const KIND_BYTES: usize = 2;

/// Why bytes are not a frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The length is below the size of a kind or above [`MAX_FRAME_BYTES`].
    #[display("frame length {length} out of bounds")]
    Length {
        /// Length that the header states.
        length: usize,
    },
    /// The body does not match its kind.
    #[display("frame of kind {kind} is malformed: {reason}")]
    Body {
        /// Kind that the header states.
        kind: u16,
        /// Cause for people.
        reason: String,
    },
    /// The frame could not be encoded.
    #[display("frame cannot be encoded: {reason}")]
    Encode {
        /// Cause for people.
        reason: String,
    },
}

/// Largest memory per encoded byte that a decoded body needs, rounded up; entries of lists are
/// larger in memory than in a frame.
const MEMORY_PER_BYTE: usize = 8;

type Settings<const LIMIT: usize> =
    Configuration<config::BigEndian, config::Varint, config::Limit<LIMIT>>;

const fn settings<const LIMIT: usize>() -> Settings<LIMIT> {
    config::standard().with_big_endian().with_limit::<LIMIT>()
}

/// Decodes with the smallest limit that fits the length, so that a short frame that announces a
/// long list cannot reserve much memory.
fn decode_bounded<T: Decode<()>>(bytes: &[u8]) -> Result<(T, usize), DecodeError> {
    const SMALL: usize = 64 * 1024;
    const MEDIUM: usize = 2 * 1024 * 1024;
    const LARGE: usize = MAX_FRAME_BYTES * MEMORY_PER_BYTE;
    let memory = bytes.len() * MEMORY_PER_BYTE;
    if memory <= SMALL {
        decode_from_slice(bytes, settings::<SMALL>())
    } else if memory <= MEDIUM {
        decode_from_slice(bytes, settings::<MEDIUM>())
    } else {
        decode_from_slice(bytes, settings::<LARGE>())
    }
}

/// Encodes any body with the settings of the protocol.
///
/// # Errors
/// Fails if the body is larger than [`MAX_FRAME_BYTES`].
pub fn encode_body<T: Encode>(body: &T) -> Result<Vec<u8>, Error> {
    encode_to_vec(body, settings::<MAX_FRAME_BYTES>())
        .map_err(|error| Error::Encode { reason: error.to_string() })
}

/// Decodes a body and ignores the bytes behind it.
///
/// # Errors
/// Fails if the bytes are not a body of this type.
pub fn decode_body<T: Decode<()>>(kind: u16, bytes: &[u8]) -> Result<T, Error> {
    decode_bounded(bytes)
        .map(|(body, _)| body)
        .map_err(|error| Error::Body { kind, reason: error.to_string() })
}

macro_rules! kinds {
    ($($kind:literal => $name:ident),+ $(,)?) => {
        /// Encodes one frame.
        ///
        /// # Errors
        /// Fails if the frame is larger than [`MAX_FRAME_BYTES`].
        pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
            let (kind, body) = match frame {
                $(Frame::$name(body) => ($kind, encode_body(body)?),)+
            };
            assemble(kind, &body)
        }

        fn decode_kind(kind: u16, body: &[u8]) -> Result<Option<Frame>, Error> {
            match kind {
                $($kind => decode_body(kind, body).map(|body| Some(Frame::$name(body))),)+
                _ => Ok(None),
            }
        }
    };
}

kinds! {
    1 => Dispatch,
    2 => Token,
    3 => Finish,
    4 => Fault,
    5 => Order,
    6 => Outcome,
    7 => Survey,
    8 => Workers,
    9 => Notice,
    10 => Fetch,
    11 => Batch,
    12 => Progress,
    13 => Digest,
    14 => Hint,
    15 => Pull,
    16 => Config,
    17 => Done,
    18 => Offer,
    19 => Relay,
    20 => Relayed,
}

fn assemble(kind: u16, body: &[u8]) -> Result<Bytes, Error> {
    let length = body.len() + KIND_BYTES;
    let header = u32::try_from(length).ok().filter(|_| length <= MAX_FRAME_BYTES);
    let header = header.ok_or(Error::Length { length })?;
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + length);
    bytes.put_u32(header);
    bytes.put_u16(kind);
    bytes.put_slice(body);
    Ok(bytes.freeze())
}

/// Takes the first whole frame out of `buffer`, skipping frames of unknown kind.
///
/// # Errors
/// Fails on a length out of bounds or a malformed body; the stream is unusable afterwards.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    loop {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&buffer[..HEADER_BYTES]).get_u32() as usize;
        if !(KIND_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(Error::Length { length });
        }
        if buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let mut frame = buffer.split_to(length);
        let kind = frame.get_u16();
        if let Some(frame) = decode_kind(kind, &frame)? {
            return Ok(Some(frame));
        }
    }
}

#[cfg(test)]
mod tests {
    use bytes::{BufMut, BytesMut};

    use super::{decode, encode};
    use crate::frame::{Done, Frame, Hint};

    /// Guards against an older daemon that gives up on a newer one's frames.
    #[test]
    fn can_skip_frames_of_unknown_kind() {
        let mut buffer = BytesMut::new();
        buffer.put_u32(5);
        buffer.put_u16(60_000);
        buffer.put_slice(b"new");
        buffer.put_slice(&encode(&Frame::Hint(Hint { version: 7 })).expect("encodes"));
        assert_eq!(decode(&mut buffer), Ok(Some(Frame::Hint(Hint { version: 7 }))));
        assert_eq!(decode(&mut buffer), Ok(None));
    }

    #[test]
    fn can_wait_for_the_rest_of_a_frame() {
        let bytes = encode(&Frame::Done(Done)).expect("encodes");
        let mut buffer = BytesMut::from(&bytes[..bytes.len() - 1]);
        assert_eq!(decode(&mut buffer), Ok(None));
        buffer.put_u8(bytes[bytes.len() - 1]);
        assert_eq!(decode(&mut buffer), Ok(Some(Frame::Done(Done))));
    }
}
