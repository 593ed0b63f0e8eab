//! One immutable version of the services' configuration.

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
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    /// Version number; 0 is the empty text.
    pub version: u64,
    /// The text as submitted.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: ConfigDigest,
    /// Plans by service name.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
}

impl ConfigVersion {
    /// Checks `text` and compiles it into the version with the number `version`.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
    pub fn compile(version: u64, text: &str) -> Result<Self> {
        let mut faults = FaultList::new();
        let sections = parse_sections(text, &mut faults);
        let drafts = read_services(&sections, &mut faults);
        check_depends(&drafts, &mut faults);
        let plans = drafts.into_iter().map(|draft| Arc::new(draft.plan));
        let services = plans.map(|plan| (plan.name.clone(), plan)).collect();
        faults.into_result(Some(Self {
            version,
            text: text.into(),
            digest: ConfigDigest::of(text),
            services,
        }))
    }

    /// Version 0: the empty text, no services.
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
