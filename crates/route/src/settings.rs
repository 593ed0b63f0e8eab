//! Switches and bounds of the policies.

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaPolicy {
    /// The lower of two random replicas by load and latency.
    PowerOfTwoChoices,
    /// Any replica, a baseline for measurements.
    Random,
}

/// How failed and slow attempts are repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Within the service's budget.
    Budgeted,
    /// At once and without a budget, a baseline for measurements.
    Naive,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// An adaptive limit and a bounded queue ordered by deadline.
    Adaptive,
    /// Every request at once, a baseline for measurements.
    Open,
}

/// Policies of one service; the default is what production runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// How requests are admitted.
    pub admission: AdmissionPolicy,
    /// Whether slow attempts are hedged.
    pub hedge: bool,
    /// How replicas are chosen.
    pub replica: ReplicaPolicy,
    /// How attempts are repeated.
    pub retry: RetryPolicy,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            admission: AdmissionPolicy::Adaptive,
            hedge: true,
            replica: ReplicaPolicy::PowerOfTwoChoices,
            retry: RetryPolicy::Budgeted,
        }
    }
}
