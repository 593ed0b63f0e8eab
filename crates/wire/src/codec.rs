//! Encoding of messages, with a bound on what is decoded.

use std::io::{Read as _, Write as _};

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Result, WireError, WireFault};

/// Largest encoded message in bytes.
pub const MESSAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Messages from this size on are compressed; below it the gain is less than the cost.
const COMPRESS_MIN_BYTES: usize = 2048;

/// First byte of a message: how the rest is packed.
const PACKING_PLAIN: u8 = 0;
const PACKING_DEFLATE: u8 = 1;

type CodecConfig = Configuration<LittleEndian, Varint, Limit<MESSAGE_MAX_BYTES>>;

const CODEC: CodecConfig = bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>();

/// Encodes one message.
///
/// # Errors
///
/// [`WireFault::Codec`] when the message cannot be encoded or is too large.
pub fn encode_message<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(message, CODEC)
        .map_err(|_| WireError::not_run(WireFault::Codec))?;
    if bytes.len() > MESSAGE_MAX_BYTES {
        return Err(WireError::not_run(WireFault::Codec));
    }
    if bytes.len() < COMPRESS_MIN_BYTES {
        let mut packed = Vec::with_capacity(bytes.len() + 1);
        packed.push(PACKING_PLAIN);
        packed.extend_from_slice(&bytes);
        return Ok(packed);
    }
    let mut encoder = DeflateEncoder::new(vec![PACKING_DEFLATE], Compression::fast());
    encoder
        .write_all(&bytes)
        .and_then(|()| encoder.finish())
        .map_err(|_| WireError::not_run(WireFault::Codec))
}

/// Undoes the packing; the result is bounded before it is allocated in full.
fn unpack(packed: &[u8]) -> Result<std::borrow::Cow<'_, [u8]>> {
    let unreadable = || WireError::not_run(WireFault::Codec);
    match packed.split_first() {
        Some((&PACKING_PLAIN, bytes)) => Ok(bytes.into()),
        Some((&PACKING_DEFLATE, deflated)) => {
            let limit = MESSAGE_MAX_BYTES as u64 + 1;
            let mut bytes = Vec::new();
            DeflateDecoder::new(deflated)
                .take(limit)
                .read_to_end(&mut bytes)
                .map_err(|_| unreadable())?;
            if bytes.len() > MESSAGE_MAX_BYTES {
                return Err(unreadable());
            }
            Ok(bytes.into())
        }
        _ => Err(unreadable()),
    }
}

/// Decodes one message that fills `bytes`.
///
/// # Errors
///
/// [`WireFault::Codec`] when the bytes are no such message or more than one.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    let bytes = unpack(bytes)?;
    match bincode::serde::decode_from_slice(&bytes, CODEC) {
        Ok((message, used)) if used == bytes.len() => Ok(message),
        _ => Err(WireError::not_run(WireFault::Codec)),
    }
}
