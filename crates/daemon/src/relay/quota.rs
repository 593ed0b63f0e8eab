//! Admits requests of tenants within their quotas, which hold for all VMs together.
//!
//! The stage runs after the check for overload, at the VM that the caller has connected to. A request
//! counts once, whatever the number of its shards and attempts, and also if it is handed over. One
//! that is refused without having run gives its permit back.

use std::{collections::HashMap, sync::Arc, sync::Mutex, time::Duration};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_conf::{RouteTable, TenantRule};
use fulmarweir_permits::{RateKey, RateLimit, RetryPlanner, SendPermit, hold_limit};
use http::{HeaderValue, StatusCode};
use slog::{Logger, info};

use super::{
    entry::EntryNode,
    rate_permits::RateOutcome,
    response::{RelayResponse, retry_later, retry_with_status},
};

/// `Retry-After` of a request that no keeper has decided on, in milliseconds, and how much longer it
/// may be, by chance.
const UNCONFIRMED_RETRY_MS: u64 = 200;
const UNCONFIRMED_SPREAD_MS: u64 = 200;
/// Shortest time between two log lines about one tenant, in milliseconds.
const LINE_PERIOD_MS: u64 = 5_000;
/// Most log lines per tick and tenants that are remembered for them.
const LINES_PER_TICK_MAX: usize = 8;
const LOGGED_TENANTS_MAX: usize = 1_000;

/// Reasons of rejections.
const OVER_QUOTA: &str = "over-quota";
const UNCONFIRMED: &str = "quota-unconfirmed";

/// The permit of a request that has been admitted within its quota.
#[derive(Debug)]
pub(super) struct QuotaPermit {
    key: RateKey,
    permit: SendPermit,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug)]
pub(super) enum QuotaRefusal {
    /// It is over the quota of its tenant.
    OverQuota { retry_after: Duration },
    /// It is unknown whether it is, since no keeper has decided in time.
    Unconfirmed { retry_after: Duration },
}

impl QuotaRefusal {
    /// Returns the reason in answers, logs and metrics.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::OverQuota { .. } => OVER_QUOTA,
            Self::Unconfirmed { .. } => UNCONFIRMED,
        }
    }

    /// Returns the response to the request, which has not run.
    pub(super) fn response(self) -> RelayResponse {
        match self {
            Self::OverQuota { retry_after } => {
                retry_with_status(StatusCode::TOO_MANY_REQUESTS, OVER_QUOTA, retry_after)
            }
            Self::Unconfirmed { retry_after } => retry_later(UNCONFIRMED, retry_after),
        }
    }
}

/// Refusals of one tenant since its last log line.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    refused: u64,
    logged_at: Option<MonoTime>,
}

/// What this VM remembers of tenants over their quotas.
#[derive(Debug, Default)]
struct QuotaState {
    planner: RetryPlanner,
    /// By the names and the ordinals of the tenants.
    refusals: HashMap<(Arc<str>, u32), RefusalCount>,
}

/// The state of the stage.
#[derive(Debug, Default)]
pub(crate) struct QuotaStage {
    state: Mutex<QuotaState>,
}

impl QuotaStage {
    /// Plans when a refused caller returns, and logs the tenant's first refusal at once.
    fn refuse(
        &self,
        log: &Logger,
        (tenant, key): (&TenantRule, &RateKey),
        request_id: &HeaderValue,
        refused_until: MonoTime,
        now: MonoTime,
    ) -> Duration {
        let mut state = lock(&self.state);
        let spread = rand::random();
        let planner = &mut state.planner;
        let quota = tenant.quota.map_or(0.0, |quota| quota.per_second);
        let retry_after = planner.retry_after(key, quota, refused_until, spread, now);
        let refused_tenant = (Arc::clone(&tenant.name), tenant.ordinal);
        let is_known = state.refusals.contains_key(&refused_tenant);
        if is_known || state.refusals.len() < LOGGED_TENANTS_MAX {
            let count = state.refusals.entry(refused_tenant).or_default();
            count.refused += 1;
            if count.logged_at.is_none() {
                count.logged_at = Some(now);
                let refused = std::mem::take(&mut count.refused);
                info!(log, "tenant-over-quota"; "tenant" => &*tenant.name, "refused" => refused,
                    "quota_per_s" => quota, "retry_after_ms" => retry_after.as_millis(),
                    "request" => request_id.to_str().unwrap_or("unreadable"));
            }
        }
        retry_after
    }

    fn record_admitted(&self, key: &RateKey, now: MonoTime) {
        lock(&self.state).planner.record_admitted(key, now);
    }

    /// Logs what was refused since the last lines, and forgets tenants without refusals.
    pub(super) fn tick(&self, log: &Logger, now: MonoTime) {
        let mut state = lock(&self.state);
        state.planner.remove_idle(now);
        let period = Duration::from_millis(LINE_PERIOD_MS);
        let is_due =
            |count: &RefusalCount| count.logged_at.is_none_or(|at| now.since(at) >= period);
        state
            .refusals
            .retain(|_, count| !is_due(count) || count.refused > 0);
        let due = state.refusals.iter_mut().filter(|(_, count)| is_due(count));
        for ((tenant, _), count) in due.take(LINES_PER_TICK_MAX) {
            let since = count.logged_at.map_or(period, |at| now.since(at));
            info!(log, "tenant-over-quota"; "tenant" => &**tenant, "refused" => count.refused,
                "period_ms" => since.as_millis());
            *count = RefusalCount {
                refused: 0,
                logged_at: Some(now),
            };
        }
    }
}

/// Takes a permit for a request of a tenant with a quota. Returns `None` for any other request.
pub(super) async fn admit_within_quota(
    node: &EntryNode,
    table: &RouteTable,
    tenant: Option<&TenantRule>,
    (request_id, latency_objective): (&HeaderValue, Duration),
) -> Result<Option<QuotaPermit>, QuotaRefusal> {
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota?))) else {
        return Ok(None);
    };
    let key = RateKey::Tenant(tenant.id());
    let limit = RateLimit {
        version: table.version,
        per_second: quota.per_second,
        burst: quota.burst,
    };
    let hold_until = node.timer.now() + hold_limit(latency_objective);
    let outcome = node.rates.acquire(&key, limit, hold_until).await;
    let now = node.timer.now();
    let (decision, label) = match outcome {
        RateOutcome::Granted(permit) => {
            node.quota.record_admitted(&key, now);
            (Ok(Some(QuotaPermit { key, permit })), "admitted")
        }
        RateOutcome::Denied { until } => {
            let subject = (tenant, &key);
            let retry_after = node
                .quota
                .refuse(&node.log, subject, request_id, until, now);
            (Err(QuotaRefusal::OverQuota { retry_after }), OVER_QUOTA)
        }
        RateOutcome::NoKeeper => {
            let spread = rand::random();
            let more = Duration::from_millis(UNCONFIRMED_SPREAD_MS).mul_f64(spread);
            let retry_after = Duration::from_millis(UNCONFIRMED_RETRY_MS) + more;
            (Err(QuotaRefusal::Unconfirmed { retry_after }), UNCONFIRMED)
        }
    };
    node.metrics.count_quota(label);
    decision
}

/// Gives back the permit of a request that was refused without having run.
pub(super) fn credit_quota(node: &EntryNode, permit: &QuotaPermit) {
    node.rates.refund(&permit.key, permit.permit);
    node.metrics.count_quota("credited");
}
