//! The policies of a service: admission, replica selection, hedges and retries.

/// How the replica for an attempt is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaPolicy {
    /// The better of two random replicas, by load and latency.
    PowerOfTwoChoices,
    /// A random replica; a baseline for measurements.
    Random,
}

/// How failed attempts are retried and slow ones hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Within the retry budget of the service.
    Budgeted,
    /// At once and without a budget; a baseline for measurements.
    Naive,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// By an adaptive limit, with a bounded queue ordered by deadline.
    Adaptive,
    /// Every request at once; a baseline for measurements.
    Unlimited,
}

/// The policies of one service. The default is used in production.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// How requests are admitted.
    pub admission: AdmissionPolicy,
    /// Whether slow attempts are hedged.
    pub hedge: bool,
    /// How the replica for an attempt is chosen.
    pub replica: ReplicaPolicy,
    /// How failed attempts are retried and slow ones hedged.
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
