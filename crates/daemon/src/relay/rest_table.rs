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
///
/// Numbers start at random, so that an origin that asks after a restart of this VM does not get the rest
/// of another request.
#[derive(Debug)]
pub(crate) struct RestTable {
    last_number: AtomicU64,
    unclaimed: Mutex<HashMap<u64, oneshot::Receiver<HandoverReply>>>,
}

impl Default for RestTable {
    fn default() -> Self {
        Self {
            last_number: AtomicU64::new(rand::random()),
            unclaimed: Mutex::default(),
        }
    }
}

impl RestTable {
    /// Adds a rest; returns its number and where to send its reply.
    pub(super) fn add(&self) -> (u64, oneshot::Sender<HandoverReply>) {
        let number = self.last_number.fetch_add(1, Relaxed).wrapping_add(1);
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

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an origin that asks a broker for a rest after a restart of the broker and gets the
    /// rest of another request, which has the same number in the new process.
    #[tokio::test]
    async fn a_number_from_before_a_restart_names_no_rest() {
        let before = RestTable::default();
        let numbers: Vec<u64> = (0..100).map(|_| before.add().0).collect();
        let after = RestTable::default();
        for _ in 0..100 {
            // Without its sender, a rest is answered at once, with another reason.
            drop(after.add());
        }
        for number in numbers {
            let reply = after.fetch(number).await;
            assert_eq!(reply, VmReply::NotTaken("unknown-rest".into()));
        }
    }
}
