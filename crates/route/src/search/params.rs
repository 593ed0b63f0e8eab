//! The parameters of a search.

use std::sync::Arc;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::{AnswerPreference, ServiceConfig};

use crate::{AdmissionParams, TargetView};

/// The parameters of one search.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchParams {
    /// Restricts the search to the shard of this key.
    pub key: Option<Arc<str>>,
    /// Oldest index version that the caller accepts.
    pub min_version: u64,
    /// The caller's deadline. The deadline of the service applies if it is earlier.
    pub deadline: Option<MonoTime>,
    /// Maximum number of hits in the answer.
    pub limit: Option<usize>,
    /// Whether a target sends the search while it serves another request.
    pub nested: bool,
    /// Whether the caller retries an earlier request, which is charged to the retry budget.
    pub repeated: bool,
    /// When the request arrived, if it has been queued for admission.
    pub arrived: Option<MonoTime>,
}

impl SearchParams {
    /// Returns the parameters for admission: the number of sub-queries, and the soft deadline if
    /// the service prefers latency, or else the deadline.
    #[must_use]
    pub fn admission(
        &self,
        service_config: &ServiceConfig,
        view: &TargetView,
        now: MonoTime,
    ) -> AdmissionParams {
        let deadline = self.effective_deadline(service_config, now);
        let answer_by = match service_config.prefer {
            AnswerPreference::Latency => deadline.min(now + service_config.soft_deadline),
            AnswerPreference::Coverage => deadline,
        };
        match (&self.key, view.pin(self.min_version)) {
            (None, Some(index)) => AdmissionParams::wide(index.of as usize, answer_by),
            _ => AdmissionParams::keyed(answer_by),
        }
    }

    /// Returns the earlier of the caller's deadline and the deadline of the service.
    pub(crate) fn effective_deadline(
        &self,
        service_config: &ServiceConfig,
        now: MonoTime,
    ) -> MonoTime {
        let service_deadline = self.arrived.unwrap_or(now) + service_config.deadline;
        self.deadline
            .unwrap_or(service_deadline)
            .min(service_deadline)
    }
}
