//! Replicated registers on a small set of voters, without a leader.
//!
//! Each register is changed independently of the others: a proposer prepares a ballot at a quorum
//! of voters, learns the current value, and has a quorum accept the changed value. Any VM may
//! propose at any time. A voter replies only once its promises are durable. The registers hold the
//! operators' configuration, the evacuated data centres, the claims of acts by idempotency key, and
//! the voter set itself. An act is a request to a service that runs at most once per idempotency
//! key.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use fulmarweir_base::TimerService;
//! use fulmarweir_quorum::{
//!     ClientSettings, QuorumClient, SubmitOutcome, VoterService, VoterSet, VoterSettings,
//! };
//! use futures::FutureExt as _;
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
//! # runtime.block_on(async {
//! let folder = std::env::temp_dir().join(format!("quorum-doc-{}", std::process::id()));
//! let address = "127.0.0.1:7003".parse().unwrap();
//! let first_set = VoterSet::from_settings([("ub-1".parse().unwrap(), address)]);
//! let settings = VoterSettings::new("ub-1".parse().unwrap(), &folder, first_set.clone());
//! let timer = TimerService::new();
//! let logger = slog::Logger::root(slog::Discard, slog::o!());
//! let voter = VoterService::open(settings, timer.clone(), logger).unwrap();
//!
//! // A daemon sends the requests to other VMs; here the only voter runs in the same process.
//! let transport = {
//!     let voter = Arc::clone(&voter);
//!     Arc::new(move |_member, request| {
//!         let voter = Arc::clone(&voter);
//!         async move { Some(voter.handle(request).await) }.boxed()
//!     })
//! };
//! let client = QuorumClient::new(ClientSettings::new(first_set), transport, timer);
//! let timeout = Duration::from_secs(2);
//! let reply = client
//!     .submit_config(0, "change-1".into(), "[service a]".into(), timeout)
//!     .await
//!     .unwrap();
//! assert_eq!(reply.outcome, SubmitOutcome::Accepted { version: 1 });
//! assert_eq!(client.read_config(timeout).await.unwrap().version, 1);
//! client.close().await;
//! # drop((client, voter));
//! # std::fs::remove_dir_all(&folder).unwrap();
//! # });
//! ```

mod acceptor;
mod act;
mod ballot;
mod client;
mod config;
mod error;
mod evacuation;
mod key;
mod member;
mod message;
mod monitor;
mod record;
mod round;
mod service;
mod value;

pub use acceptor::Acceptor;
pub use act::{ActClaim, ActOutcome, ActState, BodyDigest, ClaimOutcome, SettleOutcome};
pub use ballot::{Ballot, ProposerId};
pub use client::{ClientSettings, QuorumClient, VoterHealth, VoterSetOutcome, VoterTransport};
pub use config::{CONFIG_OUTCOMES_MAX, ChangeRecord, ConfigState, SubmitOutcome, SubmitReply};
pub use error::{QuorumError, Result};
pub use evacuation::{EvacuationOrder, EvacuationSet};
pub use key::{ActKey, REGISTER_SHARDS, RegisterKey};
pub use member::{EpochState, VoterIdentity, VoterMember, VoterSet};
pub use message::{PageCursor, RegisterCopy, RequestBody, VoterReply, VoterRequest};
pub use monitor::{VoterMonitor, VoterReplacement};
pub use record::VoterRecord;
pub use round::{ProposalRound, RoundFailure, RoundStep};
pub use service::{ACT_RETENTION_SECS, VoterService, VoterSettings};
pub use value::{AcceptedValue, RegisterValue};
