//! Frame encoding: length of the rest as a big-endian `u32`, kind as a `u16`, `bincode` body.
//!
//! For compatibility between versions, a decoder skips frames of unknown kind and ignores bytes
//! after the fields that it knows. Adding fields to a frame requires a new kind.

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

/// Reason why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The length is below the size of a kind or above [`MAX_FRAME_BYTES`].
    #[display("frame length of {length} bytes is outside {KIND_BYTES}..={MAX_FRAME_BYTES}")]
    Length {
        /// Length in bytes, without the length field.
        length: usize,
    },
    /// The body cannot be decoded as a frame of its kind.
    #[display("body of frame kind {kind} is malformed: {reason}")]
    Body {
        /// Kind in the frame header.
        kind: u16,
        /// Human-readable cause.
        reason: String,
    },
    /// The body cannot be encoded.
    #[display("frame body cannot be encoded: {reason}")]
    Encode {
        /// Human-readable cause.
        reason: String,
    },
}

/// Upper bound of the memory in bytes that decoding needs per encoded byte. List entries are larger
/// in memory than in a frame.
const MAX_MEMORY_PER_BYTE: usize = 8;

type BincodeConfig<const LIMIT: usize> =
    Configuration<config::BigEndian, config::Varint, config::Limit<LIMIT>>;

const fn bincode_config<const LIMIT: usize>() -> BincodeConfig<LIMIT> {
    config::standard().with_big_endian().with_limit::<LIMIT>()
}

/// Decodes with the smallest memory limit that suits the length, so that a short frame that
/// declares a long list cannot allocate much memory.
fn decode_with_limit<T: Decode<()>>(bytes: &[u8]) -> Result<(T, usize), DecodeError> {
    const SMALL_LIMIT: usize = 64 * 1024;
    const MEDIUM_LIMIT: usize = 2 * 1024 * 1024;
    const LARGE_LIMIT: usize = MAX_FRAME_BYTES * MAX_MEMORY_PER_BYTE;
    let memory = bytes.len() * MAX_MEMORY_PER_BYTE;
    if memory <= SMALL_LIMIT {
        decode_from_slice(bytes, bincode_config::<SMALL_LIMIT>())
    } else if memory <= MEDIUM_LIMIT {
        decode_from_slice(bytes, bincode_config::<MEDIUM_LIMIT>())
    } else {
        decode_from_slice(bytes, bincode_config::<LARGE_LIMIT>())
    }
}

/// Encodes a body with the `bincode` configuration of the protocol.
///
/// # Errors
/// Fails if the body is larger than [`MAX_FRAME_BYTES`].
pub fn encode_body<T: Encode>(body: &T) -> Result<Vec<u8>, Error> {
    encode_to_vec(body, bincode_config::<MAX_FRAME_BYTES>())
        .map_err(|error| Error::Encode { reason: error.to_string() })
}

/// Decodes a body and ignores the bytes after it. `kind` is only used in errors.
///
/// # Errors
/// Fails if the bytes do not decode as a `T`.
pub fn decode_body<T: Decode<()>>(kind: u16, bytes: &[u8]) -> Result<T, Error> {
    decode_with_limit(bytes)
        .map(|(body, _)| body)
        .map_err(|error| Error::Body { kind, reason: error.to_string() })
}

macro_rules! frame_kinds {
    ($($kind:literal => $name:ident),+ $(,)?) => {
        /// Encodes one frame.
        ///
        /// # Errors
        /// Fails if the frame is larger than [`MAX_FRAME_BYTES`].
        pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
            let (kind, body) = match frame {
                $(Frame::$name(body) => ($kind, encode_body(body)?),)+
            };
            encode_frame(kind, &body)
        }

        fn decode_kind(kind: u16, body: &[u8]) -> Result<Option<Frame>, Error> {
            match kind {
                $($kind => decode_body(kind, body).map(|body| Some(Frame::$name(body))),)+
                _ => Ok(None),
            }
        }
    };
}

frame_kinds! {
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

fn encode_frame(kind: u16, body: &[u8]) -> Result<Bytes, Error> {
    let length = body.len() + KIND_BYTES;
    let header = u32::try_from(length).ok().filter(|_| length <= MAX_FRAME_BYTES);
    let header = header.ok_or(Error::Length { length })?;
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + length);
    bytes.put_u32(header);
    bytes.put_u16(kind);
    bytes.put_slice(body);
    Ok(bytes.freeze())
}

/// Removes the first complete frame from `buffer` and decodes it, skipping frames of unknown kind.
/// Returns `None` if more bytes are needed.
///
/// # Errors
/// Fails if a length is out of range or a body is malformed. The stream must not be read further.
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

    /// Guards against an older daemon that fails on a frame kind of a newer version.
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
