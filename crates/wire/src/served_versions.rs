//! Counts the calls that this process serves or refuses, by protocol version.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use fulmarweir_base::lock;

use crate::message::PeerVersion;

/// Longest part of a refused path that is kept, in characters.
const PATH_MAX_CHARS: usize = 64;

/// Calls in versions that this build does not serve.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnknownVersionCalls {
    /// Number of calls since the start.
    pub count: u64,
    /// Address and path of the last call.
    pub last: Option<(SocketAddr, String)>,
}

/// Counts of one process.
#[derive(Debug, Default)]
pub struct ServedVersions {
    v8: AtomicU64,
    v9: AtomicU64,
    unknown: Mutex<UnknownVersionCalls>,
}

impl ServedVersions {
    /// Returns the number of calls served in `version` since the start.
    #[must_use]
    pub fn calls(&self, version: PeerVersion) -> u64 {
        self.counter(version).load(Relaxed)
    }

    /// Returns the calls in unknown versions, which were refused with status 404.
    #[must_use]
    pub fn unknown(&self) -> UnknownVersionCalls {
        lock(&self.unknown).clone()
    }

    pub(crate) fn record_call(&self, version: PeerVersion) {
        self.counter(version).fetch_add(1, Relaxed);
    }

    pub(crate) fn record_unknown(&self, from: SocketAddr, path: &str) {
        let path = path.chars().take(PATH_MAX_CHARS).collect();
        let mut unknown = lock(&self.unknown);
        unknown.count += 1;
        unknown.last = Some((from, path));
    }

    const fn counter(&self, version: PeerVersion) -> &AtomicU64 {
        match version {
            PeerVersion::V8 => &self.v8,
            PeerVersion::V9 => &self.v9,
        }
    }
}
