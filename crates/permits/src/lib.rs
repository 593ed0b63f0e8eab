//! Rates of requests that hold for all VMs together.
//!
//! Load pattern: many VMs send requests that share one rate, of a target or of a tenant. What one VM
//! sends says nothing about the sum, so each request needs a permit. A few keepers grant an equal part
//! of the rate each, whoever else is up; VMs ask for what they are about to send.
//!
//! A keeper holds a [`RateGrantor`], and a VM that sends requests a [`RateLedger`]. [`GrantBucket`]
//! and [`PermitQueue`] are what both are made of, for limits whose messages are older.
//!
//! Nothing here does I/O: times and random numbers are passed in.

mod bucket;
mod grantor;
mod key;
mod ledger;
mod policy;
mod queue;
mod quota;

pub use bucket::{GrantBucket, PermitAsker};
pub use grantor::RateGrantor;
pub use key::{RateAsk, RateGrant, RateKey, RateLimit};
pub use ledger::{RateCall, RateLedger, RateState};
pub use policy::{GRANTORS_MAX, RatePolicy};
pub use queue::{PermitBatch, PermitQueue, RequestRank, SendPermit, WaitTimes};
pub use quota::{RetryPlanner, hold_limit};
