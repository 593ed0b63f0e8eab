//! Settings of a stand-in target: limits, service times and faults.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use fulmarweir_base::{ServiceName, ShardHolding, TargetName};
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal};

const DEFAULT_CONNECTIONS: u32 = 30;
const DEFAULT_HITS: u32 = 5;
const DEFAULT_QUEUE: usize = 8;
const DEFAULT_SERVICE_MS: f64 = 2.0;
const DEFAULT_SLOTS: u32 = 3;

/// Distribution of the time that one request occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Constant.
    Constant {
        /// Time in milliseconds.
        millis: f64,
    },
    /// Exponential.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// Lognormal.
    Lognormal {
        /// Median in milliseconds.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// Constant, except that one request in `one_in` takes `late_ms`.
    Straggler {
        /// Usual time in milliseconds.
        usual_ms: f64,
        /// Time of a straggler in milliseconds.
        late_ms: f64,
        /// One request in this many is a straggler.
        one_in: u32,
    },
}

impl ServiceTime {
    /// Draws a service time.
    pub fn sample<R: Rng>(&self, rng: &mut R) -> Duration {
        let millis = match *self {
            Self::Constant { millis } => millis,
            Self::Exponential { mean_ms } => {
                Exp::new(1.0 / mean_ms).map_or(mean_ms, |exp| exp.sample(rng))
            }
            Self::Lognormal { median_ms, sigma } => {
                LogNormal::new(median_ms.ln(), sigma).map_or(median_ms, |log| log.sample(rng))
            }
            Self::Straggler {
                usual_ms,
                late_ms,
                one_in,
            } => {
                let late = rng.random_ratio(1, one_in.max(1));
                if late { late_ms } else { usual_ms }
            }
        };
        Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
    }
}

/// A fault that is injected into a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyFault {
    /// The body is not JSON.
    BadJson,
    /// The reply belongs to another attempt.
    Crossed,
    /// The connection closes without a reply after the request has run.
    Dies,
    /// The bytes of the reply are sent twice on the connection.
    Doubled,
    /// The body is [`HUGE_BODY_BYTES`] long.
    Huge,
    /// The reply is sent after the deadline has passed.
    Late,
    /// The connection closes in the middle of the reply.
    Truncated,
}

/// Length of a [`ReplyFault::Huge`] body in bytes.
pub const HUGE_BODY_BYTES: usize = 64 << 20;

/// Share of replies that have one kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultShare {
    /// Kind of fault.
    pub fault: ReplyFault,
    /// Share of replies, 0 to 1.
    pub share: f64,
}

impl FromStr for FaultShare {
    type Err = String;

    /// Parses `KIND=SHARE`, e.g. `crossed=0.01`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, share) = text.split_once('=').ok_or("expected KIND=SHARE")?;
        let fault = match kind {
            "bad-json" => ReplyFault::BadJson,
            "crossed" => ReplyFault::Crossed,
            "dies" => ReplyFault::Dies,
            "doubled" => ReplyFault::Doubled,
            "huge" => ReplyFault::Huge,
            "late" => ReplyFault::Late,
            "truncated" => ReplyFault::Truncated,
            _ => return Err(format!("unknown kind of fault {kind:?}")),
        };
        let share: f64 = share.parse().map_err(|_| "expected a share after =")?;
        if !(0.0..=1.0).contains(&share) {
            return Err("expected a share of 0 to 1".to_owned());
        }
        Ok(Self { fault, share })
    }
}

/// Load and health that the target reports, compared with the actual values.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportMode {
    /// Actual load and health.
    #[default]
    Accurate,
    /// Always reports itself as idle and healthy.
    AlwaysIdle,
    /// Always reports itself as full and unhealthy.
    AlwaysFull,
    /// Reports no load.
    Silent,
}

/// Behaviour that may change while the target runs.
#[derive(Clone, Debug, PartialEq)]
pub struct StandInBehaviour {
    /// Time that a request occupies a slot.
    pub service_time: ServiceTime,
    /// Factor on every service time; a slow replica has a factor above 1.
    pub slowdown: f64,
    /// Faults of replies; the fault of each reply is drawn at random.
    pub faults: Vec<FaultShare>,
    /// Accuracy of the reported load and health.
    pub report_mode: ReportMode,
}

impl Default for StandInBehaviour {
    fn default() -> Self {
        Self {
            service_time: ServiceTime::Constant {
                millis: DEFAULT_SERVICE_MS,
            },
            slowdown: 1.0,
            faults: Vec::new(),
            report_mode: ReportMode::Accurate,
        }
    }
}

impl StandInBehaviour {
    /// Draws the fault of one reply, if any.
    pub fn draw_fault<R: Rng>(&self, rng: &mut R) -> Option<ReplyFault> {
        let mut draw: f64 = rng.random();
        for share in &self.faults {
            if draw < share.share {
                return Some(share.fault);
            }
            draw -= share.share;
        }
        None
    }
}

/// Slower service for some time after the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which the target announces itself as starting.
    pub startup: Duration,
    /// Time for which the target is slower after it starts to serve.
    pub warm_up: Duration,
    /// Factor on service times until the end of the warm-up.
    pub slowdown: f64,
}

/// Settings with which a stand-in target starts.
#[derive(Clone, Debug)]
pub struct StandInSettings {
    /// Name of the target.
    pub name: TargetName,
    /// Service of the target.
    pub service: ServiceName,
    /// Number that grows with every start of the same target.
    pub incarnation: u64,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that may wait for a slot; further requests are shed.
    pub queue: usize,
    /// Limit on open connections; further connections are closed immediately and counted as
    /// [`StandInCounters::connections_refused`](super::StandInCounters::connections_refused).
    pub connections: u32,
    /// Time from the accept of a connection until it is served.
    pub connect_delay: Duration,
    /// One-way delay between the daemon and the target.
    pub link_delay: Duration,
    /// Shards that the target holds at the start.
    pub holdings: Vec<ShardHolding>,
    /// Number of hits of each shard.
    pub hits: u32,
    /// Addresses at which the VMs accept announcements; if empty, the target does not announce
    /// itself.
    pub vms: Vec<SocketAddr>,
    /// Cold start, if any.
    pub cold_start: Option<ColdStart>,
    /// Initial behaviour.
    pub behaviour: StandInBehaviour,
    /// Seed of every random draw of this target.
    pub seed: u64,
}

impl StandInSettings {
    /// Returns the settings of a healthy target of one shard that does not announce itself.
    #[must_use]
    pub fn new(name: TargetName, service: ServiceName, holding: ShardHolding) -> Self {
        Self {
            name,
            service,
            incarnation: 1,
            slots: DEFAULT_SLOTS,
            queue: DEFAULT_QUEUE,
            connections: DEFAULT_CONNECTIONS,
            connect_delay: Duration::ZERO,
            link_delay: Duration::ZERO,
            holdings: vec![holding],
            hits: DEFAULT_HITS,
            vms: Vec::new(),
            cold_start: None,
            behaviour: StandInBehaviour::default(),
            seed: 1,
        }
    }
}
