//! What a caller asks of a search.

use std::sync::Arc;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::{AnswerPreference, ServicePlan};

use crate::{AdmissionParams, TargetView};

/// What a caller asks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchParams {
    /// Asks only the shard that holds this key.
    pub key: Option<Arc<str>>,
    /// Oldest version that the caller accepts.
    pub min_version: u64,
    /// The caller's deadline; the service's own may be earlier.
    pub deadline: Option<MonoTime>,
    /// Most hits in the answer.
    pub limit: Option<usize>,
    /// Whether a target sends it while it serves a request itself.
    pub nested: bool,
    /// Whether the caller sends the same request again; it then adds nothing to the budget.
    pub repeated: bool,
    /// When the request arrived, if it has waited for admission.
    pub arrived: Option<MonoTime>,
}

impl SearchParams {
    /// What to ask admission for: the sub-queries that the search starts with,
    /// and the time by which `plan` wants it answered.
    #[must_use]
    pub fn admission(
        &self,
        plan: &ServicePlan,
        view: &TargetView,
        now: MonoTime,
    ) -> AdmissionParams {
        let deadline = self.deadline_in(plan, now);
        let answer_by = match plan.prefer {
            AnswerPreference::Latency => deadline.min(now + plan.soft_deadline),
            AnswerPreference::Coverage => deadline,
        };
        match (&self.key, view.pin(self.min_version)) {
            (None, Some(index)) => AdmissionParams::wide(index.of as usize, answer_by),
            _ => AdmissionParams::keyed(answer_by),
        }
    }

    pub(crate) fn deadline_in(&self, plan: &ServicePlan, now: MonoTime) -> MonoTime {
        let own = self.arrived.unwrap_or(now) + plan.deadline;
        self.deadline.unwrap_or(own).min(own)
    }
}
