//! Requests that end the targets which run them, and how all VMs together stop them.
//!
//! Load pattern: a request ends its target, comes again at another VM and ends the next one. No VM
//! sees enough of it. Each VM keeps what runs at which target ([`CrashWatch`]) and tells all keepers
//! what was lost when a target ended. Each keeper adds up by itself ([`CrashTally`]) and tells all
//! VMs which requests to hold back ([`QuarantineTable`]).
//!
//! What a target ran when it ended is lost with it, so most of the requests lost are innocent. An
//! answer anywhere clears a request.

mod answer_memory;
mod fingerprint;
mod news;
mod outbox;
mod quarantine;
mod tally;
mod watch;

pub(crate) use self::watch::{CrashWatch, RunEnd};
pub use self::{
    fingerprint::RequestFingerprint,
    news::{AnswerReport, CrashNews, CrashReport},
    outbox::CrashCall,
    quarantine::{QuarantineEntry, QuarantineState, QuarantineTable, SendRule},
    tally::CrashTally,
};
