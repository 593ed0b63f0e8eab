//! Helpers for tests on real daemons: settings of tiers and stand-in targets, callers, operators,
//! link faults and histories.

mod history;
mod link_chaos;
mod operator;
mod version_watch;

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::{RunVerdict, ShardHolding};
use fulmarweir_bench::{
    AnswerCheck, HttpCall, HttpClient, HttpReply, SearchAnswer, StandIn, StandInSettings, Tier,
    TierSettings, daemon_program,
};
use http::Method;

pub use self::{
    history::{ClaimOp, ClaimSpec, ClaimState, ConfigOp, ConfigSpec, HistoryLog, OperationId},
    link_chaos::{cut_once, run_with_link_cuts},
    operator::{
        ConfigStatus, HistoryEntry, MemberStatus, SubmitOutcome, TestOperator, VmStatus,
        VoterSetStatus, VoterStatus, numbered_config,
    },
    version_watch::VersionWatch,
};

/// Name of the service in most tests.
pub const SERVICE: &str = "street-app/pitches";
/// Number of hits of each shard of a stand-in target.
pub const HITS_PER_SHARD: u32 = 5;
const COVERAGE_POLL_MS: u64 = 50;
const COVERAGE_POLLS_MAX: u32 = 600;

/// Returns the settings of a tier of `vms` daemons in one data centre.
///
/// # Panics
///
/// When the daemon has not been built.
#[must_use]
pub fn single_centre_settings(vms: u32) -> TierSettings {
    let program = daemon_program().expect("`cargo build` has built the daemon");
    TierSettings::single_centre(program, vms)
}

/// Returns a configuration of one service that ends with the lines of `rest`.
#[must_use]
pub fn service_config(kind: &str, rest: &str) -> String {
    format!(
        "[service {SERVICE}]\nkind = {kind}\ndeadline-ms = 2000\nslots = 3\nconnections = 30\n{rest}"
    )
}

/// Returns the settings of a target that serves one shard and announces to all daemons of `tier`.
///
/// # Panics
///
/// Never: the names are valid.
#[must_use]
pub fn shard_target_settings(tier: &Tier, holding: ShardHolding, replica: u32) -> StandInSettings {
    let name = format!("t-{}-{replica}", holding.shard);
    let mut settings = StandInSettings::new(
        name.parse().expect("a valid name"),
        SERVICE.parse().expect("a valid name"),
        holding,
    );
    settings.hits = HITS_PER_SHARD;
    settings.seed = u64::from(holding.shard * 100 + replica);
    let daemons = tier.daemons().iter();
    settings.vms = daemons
        .map(fulmarweir_bench::DaemonProcess::targets)
        .collect();
    settings
}

/// Starts `replicas` targets for each of the `of` shards of index version `version`.
///
/// # Panics
///
/// When a target can't be started.
pub async fn start_targets(tier: &Tier, version: u64, of: u32, replicas: u32) -> Vec<StandIn> {
    let mut targets = Vec::new();
    for shard in 0..of {
        for replica in 0..replicas {
            let holding = ShardHolding { version, shard, of };
            let settings = shard_target_settings(tier, holding, replica);
            targets.push(StandIn::start(settings).await.expect("a target starts"));
        }
    }
    targets
}

/// A caller of the tier.
#[derive(Clone, Debug, Default)]
pub struct TestCaller {
    client: HttpClient,
}

/// The run verdict of an act as its caller got it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ActResult {
    /// The act ran.
    Ran,
    /// The act did not run.
    NotRun,
    /// The verdict is that the act may have run, or the call failed.
    MayHaveRun,
}

impl TestCaller {
    /// Searches at `address` and returns the unchecked reply, or `None` when the call failed.
    pub async fn search_raw(&self, address: SocketAddr, body: &str) -> Option<HttpReply> {
        let path = format!("/v1/search/{SERVICE}");
        let call = HttpCall::new(Method::POST, address, &path, body.to_owned());
        self.client.send(call).await.ok()
    }

    /// Searches at `address` and checks the answer as [`check_answer`] does.
    ///
    /// Returns `None` for a refusal.
    ///
    /// # Panics
    ///
    /// When the call fails or the answer is wrong.
    pub async fn search(&self, address: SocketAddr, body: &str) -> Option<SearchAnswer> {
        let reply = self.search_raw(address, body).await;
        let reply = reply.expect("the tier answers every request");
        check_answer(&reply, body)
    }

    /// Runs an act under an idempotency key and returns the reply, or `None` when the call failed.
    pub async fn act_raw(
        &self,
        address: SocketAddr,
        key: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<HttpReply> {
        let path = format!("/v1/act/{SERVICE}?key={key}");
        let mut call = HttpCall::new(Method::POST, address, &path, body.to_owned())
            .header("idempotency-key", key);
        call.timeout = timeout;
        self.client.send(call).await.ok()
    }

    /// Runs an act under an idempotency key and returns its run verdict.
    ///
    /// # Panics
    ///
    /// When a reply carries no verdict.
    pub async fn act(&self, address: SocketAddr, key: &str, timeout: Duration) -> ActResult {
        let Some(reply) = self.act_raw(address, key, "{}", timeout).await else {
            return ActResult::MayHaveRun;
        };
        let verdict = reply.header("fulmarweir-run").map(str::to_owned);
        match verdict.as_deref() {
            Some("ran") => ActResult::Ran,
            Some("not-run") => ActResult::NotRun,
            Some("may-have-run") => ActResult::MayHaveRun,
            other => panic!(
                "no verdict in {} {:?}: {other:?}",
                reply.status,
                reply.text()
            ),
        }
    }

    /// Sends a call and returns the reply.
    ///
    /// # Panics
    ///
    /// When the call fails.
    pub async fn send(&self, call: HttpCall) -> HttpReply {
        self.client.send(call).await.expect("the daemon answers")
    }

    /// Submits a configuration and returns the reply, or `None` when the call failed.
    pub async fn submit(
        &self,
        address: SocketAddr,
        at: u64,
        change_id: &str,
        text: &str,
    ) -> Option<HttpReply> {
        let call = HttpCall::new(Method::PUT, address, "/v1/config", text.to_owned())
            .header("if-match", &format!("\"{at}\""))
            .header("change-id", change_id);
        self.client.send(call).await.ok()
    }

    /// Waits until a search at `address` covers all `shards`.
    ///
    /// # Panics
    ///
    /// When that takes longer than half a minute.
    pub async fn wait_full_coverage(&self, address: SocketAddr, shards: u32) {
        for _ in 0..COVERAGE_POLLS_MAX {
            let answer = self.search(address, "{\"wait\":true}").await;
            if answer.is_some_and(|answer| answer.coverage.answered == shards) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(COVERAGE_POLL_MS)).await;
        }
        panic!("no answer with all {shards} shards at {address}");
    }
}

/// Checks the hits, the coverage and the version of an answer against its request.
///
/// Returns `None` for a refusal, which must carry a run verdict.
///
/// # Panics
///
/// When the answer is wrong or a refusal has no verdict.
#[must_use]
pub fn check_answer(reply: &HttpReply, sent: &str) -> Option<SearchAnswer> {
    if !reply.status.is_success() {
        assert!(verdict_of(reply).is_some(), "{}", reply.text());
        return None;
    }
    let answer: SearchAnswer = serde_json::from_slice(&reply.body).expect("a readable answer");
    let check = AnswerCheck {
        sent,
        hits_per_shard: HITS_PER_SHARD,
        coverage_header: reply.header("fulmarweir-coverage"),
        version_header: reply.header("fulmarweir-version"),
    };
    let faults = check.faults(&answer);
    assert!(faults.is_empty(), "{faults:?} in {}", reply.text());
    Some(answer)
}

/// Returns the run verdict of a reply.
#[must_use]
pub fn verdict_of(reply: &HttpReply) -> Option<RunVerdict> {
    match reply.header("fulmarweir-run")? {
        "not-run" => Some(RunVerdict::NotRun),
        "may-have-run" => Some(RunVerdict::MayHaveRun),
        "ran" => Some(RunVerdict::Ran),
        _ => None,
    }
}
