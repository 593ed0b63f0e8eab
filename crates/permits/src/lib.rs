//! Rates of requests that hold for all VMs together.
//!
//! Load pattern: many VMs send requests that share one rate, of a target or of a tenant. What one VM
//! sends says nothing about the sum, so each request needs a permit. A few keepers grant an equal part
//! of the rate each, whoever else is up; VMs ask for what they are about to send.
//!
//! Nothing here does I/O: times and random numbers are passed in.

mod key;

pub use key::{RateAsk, RateGrant, RateKey, RateLimit};
