//! One immutable version of the services' configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::ServiceName;

/// Whether requests of a service may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Idempotent reads over all shards, or over one by key.
    Search,
    /// Not idempotent: at most one attempt that may have run.
    Act,
}

/// What an answer gives up first when replies are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPreference {
    /// Answers at the soft deadline with what is there.
    Latency,
    /// Waits for all shards until the deadline.
    Coverage,
}

/// The settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: ServiceName,
    /// Services that it may call.
    pub depends: Vec<ServiceName>,
    /// Whether requests may be repeated.
    pub kind: ServiceKind,
    /// What an answer gives up first.
    pub prefer: AnswerPreference,
    /// Longest time to an answer, unless the caller asks for less.
    pub deadline: Duration,
    /// Time after which a latency-preferring search answers with what is there.
    pub soft_deadline: Duration,
    /// Share of shards, 0 to 1, below which a search is refused.
    pub min_coverage: f64,
    /// Hedges and retries together as a share of first attempts.
    pub extra_load: f64,
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Connections that one target accepts over all VMs.
    pub connections: u32,
    /// Expected time to set up a connection.
    pub connect: Duration,
}

/// A checked configuration text and its version number.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// Version number; 0 is the empty text.
    pub version: u64,
    /// The text as submitted.
    pub text: Arc<str>,
    /// Plans by service name.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
}
