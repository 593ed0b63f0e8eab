//! Encodes and decodes messages, with a limit on their decoded size.

use std::io::{Read as _, Write as _};

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Result, WireError, WireFault};

/// Largest message in bytes, both before compression and on the wire.
pub const MESSAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Smallest message that is compressed, in bytes before compression: below it the savings do not
/// pay for the processor time.
const COMPRESS_MIN_BYTES: usize = 2048;

/// First byte of a message: the rest is not compressed.
const COMPRESSION_NONE: u8 = 0;
/// First byte of a message: the rest is compressed with DEFLATE.
const COMPRESSION_DEFLATE: u8 = 1;

type CodecConfig = Configuration<LittleEndian, Varint, Limit<MESSAGE_MAX_BYTES>>;

const CODEC: CodecConfig = bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>();

/// Encodes one message.
///
/// # Errors
///
/// Returns [`WireFault::Codec`] if the message cannot be encoded or is too large.
pub fn encode_message<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(message, CODEC)
        .map_err(|_| WireError::not_run(WireFault::Codec))?;
    if bytes.len() > MESSAGE_MAX_BYTES {
        return Err(WireError::not_run(WireFault::Codec));
    }
    if bytes.len() < COMPRESS_MIN_BYTES {
        let mut output = Vec::with_capacity(bytes.len() + 1);
        output.push(COMPRESSION_NONE);
        output.extend_from_slice(&bytes);
        return Ok(output);
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSION_DEFLATE], Compression::fast());
    encoder
        .write_all(&bytes)
        .and_then(|()| encoder.finish())
        .map_err(|_| WireError::not_run(WireFault::Codec))
}

/// Decompresses a message. A message over the size limit fails before it is decompressed in full.
fn decompress(message: &[u8]) -> Result<std::borrow::Cow<'_, [u8]>> {
    let codec_error = || WireError::not_run(WireFault::Codec);
    match message.split_first() {
        Some((&COMPRESSION_NONE, bytes)) => Ok(bytes.into()),
        Some((&COMPRESSION_DEFLATE, deflated)) => {
            let limit = MESSAGE_MAX_BYTES as u64 + 1;
            let mut bytes = Vec::new();
            DeflateDecoder::new(deflated)
                .take(limit)
                .read_to_end(&mut bytes)
                .map_err(|_| codec_error())?;
            if bytes.len() > MESSAGE_MAX_BYTES {
                return Err(codec_error());
            }
            Ok(bytes.into())
        }
        _ => Err(codec_error()),
    }
}

/// Decodes `bytes` as exactly one message.
///
/// # Errors
///
/// Returns [`WireFault::Codec`] if the bytes are not a valid message, or if bytes follow it.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    let bytes = decompress(bytes)?;
    match bincode::serde::decode_from_slice(&bytes, CODEC) {
        Ok((message, read_len)) if read_len == bytes.len() => Ok(message),
        _ => Err(WireError::not_run(WireFault::Codec)),
    }
}
