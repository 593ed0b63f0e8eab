//! One version of the configuration of all services, checked and immutable.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::ServiceName;

use crate::{
    depends::check_depends,
    digest::ConfigDigest,
    fault::{FaultList, Result},
    ini::parse_sections,
    service_parse::read_services,
};

/// Whether requests of a service may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Idempotent reads over all shards, or over one by key.
    Search,
    /// Not idempotent: at most one attempt that may have run.
    Act,
}

/// Whether a search favours latency or coverage when replies of shards are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPreference {
    /// Answers at the soft deadline with the replies received so far.
    Latency,
    /// Waits for the replies of all shards until the deadline.
    Coverage,
}

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceName,
    /// Services that the service may call.
    pub depends: Vec<ServiceName>,
    /// Whether requests may be repeated.
    pub kind: ServiceKind,
    /// Whether a search favours latency or coverage when replies of shards are missing.
    pub prefer: AnswerPreference,
    /// Maximum time to an answer, unless the caller sets a shorter deadline.
    pub deadline: Duration,
    /// Time after which a search that prefers latency answers with the replies received so far.
    pub soft_deadline: Duration,
    /// Share of shards, from 0 to 1, below which a search is refused.
    pub coverage_min: f64,
    /// Maximum ratio of hedges and retries together to first attempts.
    pub extra_load: f64,
    /// Number of requests that one target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that one target accepts from all VMs together.
    pub connections: u32,
    /// Expected time to establish a connection to a target.
    pub connect_time: Duration,
}

/// A checked configuration text and its version number.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledConfig {
    /// Version number; 0 is the version of the empty text.
    pub version: u64,
    /// The text as the operator submitted it.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: ConfigDigest,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceConfig>>,
}

impl CompiledConfig {
    /// Parses and checks `text` as the configuration with the number `version`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn compile(version: u64, text: &str) -> Result<Self> {
        let mut faults = FaultList::new();
        let sections = parse_sections(text, &mut faults);
        let drafts = read_services(&sections, &mut faults);
        check_depends(&drafts, &mut faults);
        let service_configs = drafts
            .into_iter()
            .map(|draft| Arc::new(draft.service_config));
        let services = service_configs
            .map(|service_config| (service_config.name.clone(), service_config))
            .collect();
        faults.into_result(Some(Self {
            version,
            text: text.into(),
            digest: ConfigDigest::of(text),
            services,
        }))
    }

    /// Returns version 0, which has an empty text and no services.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            version: 0,
            text: "".into(),
            digest: ConfigDigest::of(""),
            services: BTreeMap::new(),
        }
    }
}
