//! The format of a log file: a file header followed by frames.
//!
//! A frame holds the records of one write. Its checksum also covers the
//! identity of the store, so that bytes within a record never pass as a frame.

use std::io::{self, Read};

/// Largest record in bytes.
pub const RECORD_MAX_BYTES: usize = 16 << 20;

/// A frame is full once its records exceed this size in total.
pub(crate) const FRAME_TARGET_BYTES: usize = 1 << 20;

/// Largest payload of a frame: a full frame plus one record of the largest size, with the length
/// prefixes of all records.
const FRAME_MAX_BYTES: usize = RECORD_MAX_BYTES + 2 * FRAME_TARGET_BYTES;

const FILE_MAGIC: [u8; 8] = *b"FWEIRLOG";
const FILE_FORMAT_VERSION: u32 = 1;
const FILE_HEADER_BYTES: usize = 32;
const FRAME_MAGIC: [u8; 4] = *b"FRM1";
const FRAME_HEADER_BYTES: usize = 20;

/// The header of a log file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FileHeader {
    /// Identity of the store.
    pub(crate) identity: u64,
    /// Number of frames that were durable before the file was renamed to its final name.
    pub(crate) snapshot_frames: u64,
}

impl FileHeader {
    pub(crate) fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES);
        bytes.extend_from_slice(&FILE_MAGIC);
        bytes.extend_from_slice(&FILE_FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.identity.to_le_bytes());
        bytes.extend_from_slice(&self.snapshot_frames.to_le_bytes());
        let crc = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Reads a header. Returns `None` if the bytes are not a valid header.
    pub(crate) fn read(reader: &mut impl Read) -> io::Result<Option<Self>> {
        let mut bytes = [0; FILE_HEADER_BYTES];
        if read_up_to(reader, &mut bytes)? < bytes.len() {
            return Ok(None);
        }
        let header = Self {
            identity: u64_at(&bytes, 12),
            snapshot_frames: u64_at(&bytes, 20),
        };
        Ok((header.encode() == bytes).then_some(header))
    }
}

/// Encodes `records` as the frame with the number `sequence`.
pub(crate) fn encode_frame(identity: u64, sequence: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let payload = bincode::encode_to_vec(records, bincode::config::standard())
        .expect("encoding byte strings into memory does not fail");
    let length = u32::try_from(payload.len()).expect("a frame is far below 4 GiB");
    let crc = frame_crc(identity, sequence, &payload);
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&FRAME_MAGIC);
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc.to_le_bytes());
    frame.extend_from_slice(&payload);
    frame
}

fn frame_crc(identity: u64, sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&identity.to_le_bytes());
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// The result of reading a frame.
pub(crate) enum FrameRead {
    /// A valid frame with its length in bytes.
    Frame { records: Vec<Vec<u8>>, bytes: u64 },
    /// The end of the file.
    EndOfFile,
    /// Bytes that are not the expected frame.
    Invalid,
}

/// Reads the next frame, which must have the number `sequence`.
pub(crate) fn read_frame(
    reader: &mut impl Read,
    identity: u64,
    sequence: u64,
) -> io::Result<FrameRead> {
    let mut header = [0; FRAME_HEADER_BYTES];
    let header_length = read_up_to(reader, &mut header)?;
    if header_length == 0 {
        return Ok(FrameRead::EndOfFile);
    }
    let length = u32_at(&header, 12) as usize;
    let plausible = header_length == header.len()
        && header[..4] == FRAME_MAGIC
        && u64_at(&header, 4) == sequence
        && length <= FRAME_MAX_BYTES;
    if !plausible {
        return Ok(FrameRead::Invalid);
    }
    let mut payload = vec![0; length];
    if read_up_to(reader, &mut payload)? < length {
        return Ok(FrameRead::Invalid);
    }
    if frame_crc(identity, sequence, &payload) != u32_at(&header, 16) {
        return Ok(FrameRead::Invalid);
    }
    let decoded = bincode::decode_from_slice(&payload, bincode::config::standard());
    Ok(match decoded {
        Ok((records, _)) => FrameRead::Frame {
            records,
            bytes: (FRAME_HEADER_BYTES + length) as u64,
        },
        Err(_) => FrameRead::Invalid,
    })
}

/// Whether `rest`, which starts with an invalid frame, can come from one interrupted write.
///
/// Only one write is in progress at any time, so no valid frame follows a torn one.
pub(crate) fn is_torn_write(rest: &[u8], identity: u64) -> bool {
    let within_one_write = rest.len() <= FRAME_HEADER_BYTES + FRAME_MAX_BYTES;
    within_one_write && !(1..rest.len()).any(|offset| starts_with_frame(&rest[offset..], identity))
}

fn starts_with_frame(bytes: &[u8], identity: u64) -> bool {
    if bytes.len() < FRAME_HEADER_BYTES || bytes[..4] != FRAME_MAGIC {
        return false;
    }
    let length = u32_at(bytes, 12) as usize;
    let Some(payload) = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length) else {
        return false;
    };
    frame_crc(identity, u64_at(bytes, 4), payload) == u32_at(bytes, 16)
}

fn read_up_to(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(array)
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    let mut array = [0; 8];
    array.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(array)
}
