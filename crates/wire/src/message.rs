//! Messages in the forms of two protocol versions.
//!
//! A message of version 9 is the message of version 8, followed by a list of optional fields. A reader
//! passes over fields that it does not know, so later builds can add facts without a new version.

use std::cell::Cell;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    codec::{MESSAGE_MAX_BYTES, decode_message, encode_message},
    error::{Result, WireError, WireFault},
};

/// Version of the protocol between daemons.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerVersion {
    /// The version of the builds before optional fields.
    V8,
    /// Version 8 with optional fields and more kinds of requests.
    V9,
}

impl PeerVersion {
    /// The newest version, which this build prefers.
    pub const NEWEST: Self = Self::V9;

    /// Returns the number of the version.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::V8 => 8,
            Self::V9 => 9,
        }
    }

    /// Returns the path of calls in this version.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::V8 => "/fulmarweir/peer/8",
            Self::V9 => "/fulmarweir/peer/9",
        }
    }

    pub(crate) fn of_path(path: &str) -> Option<Self> {
        [Self::V9, Self::V8]
            .into_iter()
            .find(|version| version.path() == path)
    }
}

/// Optional fields of a message, each with a number that is never used for anything else.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExtensionFields {
    fields: Vec<(u32, Vec<u8>)>,
    /// Whether a field could not be encoded or decoded, which fails the whole message: to treat the
    /// field as absent could lift a restriction that it states.
    #[serde(skip)]
    has_fault: Cell<bool>,
}

impl ExtensionFields {
    /// Adds a field. One that cannot be encoded fails the message.
    pub fn put<T: Serialize>(&mut self, number: u32, value: &T) {
        match bincode::serde::encode_to_vec(value, bincode::config::standard()) {
            Ok(bytes) => self.fields.push((number, bytes)),
            Err(_) => self.has_fault.set(true),
        }
    }

    /// Returns the field with this number, or `None` if it is absent. One that cannot be decoded
    /// fails the message.
    #[must_use]
    pub fn get<T: DeserializeOwned>(&self, number: u32) -> Option<T> {
        let (_, bytes) = self.fields.iter().find(|(known, _)| *known == number)?;
        let codec = bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>();
        match bincode::serde::decode_from_slice(bytes, codec) {
            Ok((value, read_len)) if read_len == bytes.len() => Some(value),
            _ => {
                self.has_fault.set(true);
                None
            }
        }
    }

    fn check(&self) -> Result<()> {
        if self.has_fault.get() {
            return Err(WireError::not_run(WireFault::Codec));
        }
        Ok(())
    }
}

/// A message between daemons.
///
/// The serialized form is that of version 8. Fields that were added since are skipped by serde, and
/// travel as [`ExtensionFields`].
pub trait PeerMessage: DeserializeOwned + Serialize {
    /// Returns the lowest version that has this message.
    fn version_min(&self) -> PeerVersion {
        PeerVersion::V8
    }

    /// Returns the fields that version 8 does not have.
    fn extension(&self) -> ExtensionFields {
        ExtensionFields::default()
    }

    /// Sets the fields that version 8 does not have.
    fn set_extension(&mut self, _fields: &ExtensionFields) {}
}

impl PeerMessage for u32 {}
impl PeerMessage for Vec<u8> {}

/// Encodes a message in the form of `version`.
///
/// # Errors
///
/// Returns [`WireFault::Protocol`] if the version does not have the message, and
/// [`WireFault::Codec`] if it cannot be encoded.
pub fn encode_peer_message<M: PeerMessage>(message: &M, version: PeerVersion) -> Result<Vec<u8>> {
    if message.version_min() > version {
        return Err(WireError::not_run(WireFault::Protocol));
    }
    match version {
        PeerVersion::V8 => encode_message(message),
        PeerVersion::V9 => {
            let fields = message.extension();
            fields.check()?;
            encode_message(&(message, fields))
        }
    }
}

/// Decodes a message in the form of `version`.
///
/// # Errors
///
/// Returns [`WireFault::Codec`] if the bytes are not a valid message of this version, or if a field
/// that the message reads is not valid. Fields that it does not read are not examined.
pub fn decode_peer_message<M: PeerMessage>(bytes: &[u8], version: PeerVersion) -> Result<M> {
    match version {
        PeerVersion::V8 => decode_message(bytes),
        PeerVersion::V9 => {
            let (mut message, fields): (M, ExtensionFields) = decode_message(bytes)?;
            message.set_extension(&fields);
            fields.check()?;
            Ok(message)
        }
    }
}
