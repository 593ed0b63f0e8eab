//! Durable records of a voter.

use serde::{Deserialize, Serialize};

use crate::{ballot::Ballot, key::RegisterKey, member::EpochState, message::RegisterCopy};

/// A state change of a voter that must be durable before the voter replies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoterRecord {
    /// The voter sets changed.
    Epoch(EpochState),
    /// The floor of a shard: absent registers behave as if they had promised this ballot.
    Floor {
        /// Shard of the registers.
        shard: u32,
        /// The ballot.
        floor: Ballot,
    },
    /// A ballot was promised.
    Promise {
        /// The register.
        key: RegisterKey,
        /// The ballot.
        ballot: Ballot,
    },
    /// The state of a register was replaced.
    Register(RegisterCopy),
    /// A register was removed.
    Remove {
        /// The register.
        key: RegisterKey,
        /// Floor of the register's shard after the removal.
        floor: Ballot,
    },
}

impl VoterRecord {
    /// Encodes the record for the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("encoding a record into memory does not fail")
    }

    /// Decodes a record of the log, or returns `None` if the bytes are not a valid record.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        decoded.ok().map(|(record, _)| record)
    }
}
