//! The rest of handovers: shards that were in flight when a broker returned what it had.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use fulmarweir_base::lock;
use tokio::sync::oneshot;

use super::vm_message::{HandoverReply, VmReply};

/// The rests that the origins of handovers have not asked for yet, by number.
#[derive(Debug, Default)]
pub(crate) struct RestTable {
    last_number: AtomicU64,
    unclaimed: Mutex<HashMap<u64, oneshot::Receiver<HandoverReply>>>,
}

impl RestTable {
    /// Adds a rest; returns its number and where to send its reply.
    pub(super) fn add(&self) -> (u64, oneshot::Sender<HandoverReply>) {
        let number = self.last_number.fetch_add(1, Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.unclaimed).insert(number, receiver);
        (number, sender)
    }

    /// Removes a rest that its origin has not asked for; returns whether there was one.
    pub(super) fn remove_unclaimed(&self, number: u64) -> bool {
        lock(&self.unclaimed).remove(&number).is_some()
    }

    /// Waits for a rest on behalf of its origin.
    pub(super) async fn fetch(&self, number: u64) -> VmReply {
        let receiver = lock(&self.unclaimed).remove(&number);
        let Some(receiver) = receiver else {
            return VmReply::NotTaken("unknown-rest".into());
        };
        match receiver.await {
            Ok(reply) => VmReply::Search(Box::new(reply)),
            Err(_) => VmReply::NotTaken("rest-dropped".into()),
        }
    }
}
