//! Encoding of messages, with a bound on what is decoded.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Result, WireError, WireFault};

/// Largest encoded message in bytes.
pub const MESSAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

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
    Ok(bytes)
}

/// Decodes one message that fills `bytes`.
///
/// # Errors
///
/// [`WireFault::Codec`] when the bytes are no such message or more than one.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    match bincode::serde::decode_from_slice(bytes, CODEC) {
        Ok((message, used)) if used == bytes.len() => Ok(message),
        _ => Err(WireError::not_run(WireFault::Codec)),
    }
}
