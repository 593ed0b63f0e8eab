//! Parses the headers of a call from the tier to a target.

use std::time::Duration;

use fulmarweir_base::ShardHolding;
use http::HeaderMap;

/// Header names of the protocol between tier and target.
pub(crate) mod header {
    pub(crate) const ATTEMPT: &str = "fulmarweir-attempt";
    pub(crate) const DEADLINE_MS: &str = "fulmarweir-deadline-ms";
    pub(crate) const KEY: &str = "fulmarweir-key";
    pub(crate) const KIND: &str = "fulmarweir-kind";
    pub(crate) const LOAD: &str = "fulmarweir-load";
    pub(crate) const NOT_RUN: &str = "fulmarweir-not-run";
    pub(crate) const REQUEST: &str = "fulmarweir-request";
    pub(crate) const SERVICE: &str = "fulmarweir-service";
    pub(crate) const SHARD: &str = "fulmarweir-shard";
    pub(crate) const VERSION: &str = "fulmarweir-version";
}

const KIND_ACT: &str = "act";

/// The parsed headers of one call.
#[derive(Clone, Debug)]
pub(crate) struct TargetCall {
    pub(crate) attempt: String,
    /// Time from the arrival of the call to its deadline.
    pub(crate) deadline: Duration,
    pub(crate) holding: ShardHolding,
    pub(crate) is_act: bool,
    pub(crate) key: Option<String>,
}

impl TargetCall {
    /// Parses the headers; `None` when a required header is missing or malformed.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        text(header::REQUEST)?;
        text(header::SERVICE)?;
        let (shard, of) = text(header::SHARD)?.split_once('/')?;
        let holding = ShardHolding {
            version: text(header::VERSION)?.parse().ok()?,
            shard: shard.parse().ok()?,
            of: of.parse().ok()?,
        };
        let deadline_ms = text(header::DEADLINE_MS)?.parse().ok()?;
        Some(Self {
            attempt: text(header::ATTEMPT)?.to_owned(),
            deadline: Duration::from_millis(deadline_ms),
            holding,
            is_act: text(header::KIND)? == KIND_ACT,
            key: text(header::KEY).map(str::to_owned),
        })
    }
}
