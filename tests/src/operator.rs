//! Calls of an operator: changes of the configuration, its history and the status of daemons.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_bench::{HttpCall, HttpClient, HttpReply};
use http::{Method, StatusCode};
use serde::Deserialize;

use crate::{SERVICE, verdict_of};

/// Longer than the time for which a daemon tries to reach a majority of voters.
const SUBMIT_TIMEOUT_SECS: u64 = 8;
const READ_TIMEOUT_SECS: u64 = 4;

/// Outcome of the submission of a change, as its operator got it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SubmitOutcome {
    /// The change was accepted as this version.
    Accepted(u64),
    /// The change was submitted on an old version; holds the version in force.
    Conflict(u64),
    /// The change was not made.
    NotRun,
    /// The outcome is unknown: the call failed, or the answer says so.
    Undecided,
}

/// A decided change in the history of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct HistoryEntry {
    /// Version that the change became, or that was in force at a conflict.
    pub version: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// `accepted` or `conflict`.
    pub outcome: String,
}

#[derive(Deserialize)]
struct HistoryReply {
    changes: Vec<HistoryEntry>,
}

/// The part of a daemon's status that the tests read.
#[derive(Clone, Debug, Deserialize)]
pub struct VmStatus {
    /// Whether the daemon takes requests.
    pub ready: bool,
    /// Configuration of the daemon.
    pub config: ConfigStatus,
    /// Daemons of its data centre, including itself.
    pub members: Vec<MemberStatus>,
    /// The voter set as the daemon knows it.
    pub voters: VoterSetStatus,
}

/// Versions of the configuration on a daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigStatus {
    /// Version in force on the daemon.
    pub version: u64,
    /// Highest version that the daemon knows of.
    pub highest_known: u64,
}

/// A member of a data centre.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
}

/// The voter set.
#[derive(Clone, Debug, Deserialize)]
pub struct VoterSetStatus {
    /// Epoch of the set, which grows with each replacement.
    pub epoch: u64,
    /// Voters of the set.
    pub set: Vec<VoterStatus>,
}

/// One voter.
#[derive(Clone, Debug, Deserialize)]
pub struct VoterStatus {
    /// Name of the VM.
    pub vm: String,
    /// `ok`, `not-whole` or `unreachable`.
    pub state: String,
}

/// Returns a configuration whose text differs for each `number`.
#[must_use]
pub fn numbered_config(number: u64) -> String {
    let deadline_ms = 1000 + number;
    format!("[service {SERVICE}]\nkind = search\ndeadline-ms = {deadline_ms}\n")
}

/// An operator of the tier.
#[derive(Clone, Debug, Default)]
pub struct TestOperator {
    client: HttpClient,
}

impl TestOperator {
    /// Submits a change based on version `at`.
    pub async fn submit(
        &self,
        address: SocketAddr,
        at: u64,
        id: &str,
        text: &str,
    ) -> SubmitOutcome {
        let timeout = Duration::from_secs(SUBMIT_TIMEOUT_SECS);
        self.submit_within(address, at, id, text, timeout).await
    }

    /// Like [`TestOperator::submit`], but with a given timeout.
    ///
    /// # Panics
    ///
    /// When the answer is not one that the API allows.
    pub async fn submit_within(
        &self,
        address: SocketAddr,
        at: u64,
        id: &str,
        text: &str,
        timeout: Duration,
    ) -> SubmitOutcome {
        let mut call = HttpCall::new(Method::PUT, address, "/v1/config", text.to_owned())
            .header("if-match", &format!("\"{at}\""))
            .header("change-id", id);
        call.timeout = timeout;
        match self.client.send(call).await {
            Ok(reply) => submit_outcome(&reply),
            Err(_) => SubmitOutcome::Undecided,
        }
    }

    /// Returns the decided changes, newest first, or `None` without a majority of voters.
    pub async fn history(&self, address: SocketAddr) -> Option<Vec<HistoryEntry>> {
        let reply = self.get(address, "/v1/config/history").await?;
        let history: HistoryReply = serde_json::from_slice(&reply.body).ok()?;
        Some(history.changes)
    }

    /// Returns the identifiers of the accepted changes, oldest first, or `None` without a majority.
    pub async fn accepted(&self, address: SocketAddr) -> Option<Vec<String>> {
        let changes = self.history(address).await?;
        let accepted = changes.into_iter().rev();
        let accepted = accepted.filter(|entry| entry.outcome == "accepted");
        Some(accepted.map(|entry| entry.change_id).collect())
    }

    /// Returns the status of a daemon, if it answers.
    pub async fn status(&self, address: SocketAddr) -> Option<VmStatus> {
        let reply = self.get(address, "/v1/status").await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Returns the version in force on a daemon, if it answers.
    pub async fn version(&self, address: SocketAddr) -> Option<u64> {
        let reply = self.get(address, "/v1/config").await?;
        reply.header("etag")?.trim_matches('"').parse().ok()
    }

    /// Returns the text of the configuration in force on a daemon, if it answers.
    pub async fn text(&self, address: SocketAddr) -> Option<String> {
        Some(self.get(address, "/v1/config").await?.text())
    }

    /// Whether a daemon reports that it takes requests.
    pub async fn is_ready(&self, address: SocketAddr) -> bool {
        self.get(address, "/readyz").await.is_some()
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<HttpReply> {
        let mut call = HttpCall::new(Method::GET, address, path, "");
        call.timeout = Duration::from_secs(READ_TIMEOUT_SECS);
        let reply = self.client.send(call).await.ok()?;
        reply.status.is_success().then_some(reply)
    }
}

fn submit_outcome(reply: &HttpReply) -> SubmitOutcome {
    let version = || {
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("a JSON body");
        body["version"].as_u64().expect("a version number")
    };
    match (reply.status, verdict_of(reply)) {
        (StatusCode::OK, _) => SubmitOutcome::Accepted(version()),
        (StatusCode::CONFLICT, Some(RunVerdict::NotRun)) => SubmitOutcome::Conflict(version()),
        (StatusCode::SERVICE_UNAVAILABLE, Some(RunVerdict::NotRun)) => SubmitOutcome::NotRun,
        (StatusCode::SERVICE_UNAVAILABLE, Some(RunVerdict::MayHaveRun)) => SubmitOutcome::Undecided,
        (status, verdict) => panic!("{status} {verdict:?}: {}", reply.text()),
    }
}
