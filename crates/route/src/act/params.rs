//! What a caller asks of an act.

use std::sync::Arc;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ServicePlan;

use crate::AdmissionParams;

/// What a caller asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActParams {
    /// Names the shard that the act belongs to.
    pub key: Arc<str>,
    /// The caller's deadline; the service's own may be earlier.
    pub deadline: Option<MonoTime>,
    /// Whether the caller sends the same request again; it then adds nothing to the budget.
    pub repeated: bool,
    /// When the request arrived, if it has waited for admission.
    pub arrived: Option<MonoTime>,
}

impl ActParams {
    /// What to ask admission for.
    #[must_use]
    pub fn admission(&self, plan: &ServicePlan, now: MonoTime) -> AdmissionParams {
        AdmissionParams::keyed(self.deadline_in(plan, now))
    }

    pub(crate) fn deadline_in(&self, plan: &ServicePlan, now: MonoTime) -> MonoTime {
        let own = self.arrived.unwrap_or(now) + plan.deadline;
        self.deadline.unwrap_or(own).min(own)
    }
}
