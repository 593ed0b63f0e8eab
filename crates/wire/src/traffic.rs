//! Counts calls and bytes between daemons by purpose.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::served_versions::ServedVersions;

/// HTTP/2 frame headers and indexed header fields of one call, in bytes.
const CALL_OVERHEAD_BYTES: u64 = 60;

/// The purpose of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TrafficClass {
    /// Membership, targets, configuration and the replicated registers of the voters.
    Control,
    /// Sub-queries of callers.
    Query,
}

/// Totals of one traffic class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficTotals {
    /// Number of calls made and served.
    pub calls: u64,
    /// Bytes of requests and replies, including framing.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct ClassCounter {
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// Counts the calls and bytes of one process.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    control: ClassCounter,
    query: ClassCounter,
    served: ServedVersions,
}

impl TrafficMeter {
    /// Returns the totals of `class` since the start.
    #[must_use]
    pub fn totals(&self, class: TrafficClass) -> TrafficTotals {
        let counter = self.counter(class);
        TrafficTotals {
            calls: counter.calls.load(Relaxed),
            bytes: counter.bytes.load(Relaxed),
        }
    }

    /// Returns the counts of calls that were served, by protocol version.
    #[must_use]
    pub const fn served(&self) -> &ServedVersions {
        &self.served
    }

    /// Adds one call with a request of `request_bytes` and a reply of `reply_bytes`.
    pub fn record_call(&self, class: TrafficClass, request_bytes: usize, reply_bytes: usize) {
        let counter = self.counter(class);
        let bytes = (request_bytes + reply_bytes) as u64 + CALL_OVERHEAD_BYTES;
        counter.calls.fetch_add(1, Relaxed);
        counter.bytes.fetch_add(bytes, Relaxed);
    }

    fn counter(&self, class: TrafficClass) -> &ClassCounter {
        match class {
            TrafficClass::Control => &self.control,
            TrafficClass::Query => &self.query,
        }
    }
}
