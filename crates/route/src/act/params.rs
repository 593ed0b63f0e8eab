//! The parameters of an act.

use std::sync::Arc;

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ServiceConfig;

use crate::AdmissionParams;

/// The parameters of one act.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActParams {
    /// Key that determines the shard of the act.
    pub key: Arc<str>,
    /// The caller's deadline. The deadline of the service applies if it is earlier.
    pub deadline: Option<MonoTime>,
    /// Whether the caller retries an earlier request, which is charged to the retry budget.
    pub repeated: bool,
    /// When the request arrived, if it has been queued for admission.
    pub arrived: Option<MonoTime>,
}

impl ActParams {
    /// Returns the parameters for admission.
    #[must_use]
    pub fn admission(&self, service_config: &ServiceConfig, now: MonoTime) -> AdmissionParams {
        AdmissionParams::keyed(self.effective_deadline(service_config, now))
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
