//! Sends requests to voters and collects the replies.

use std::{sync::Mutex, time::Duration};

use fulmarweir_base::lock;
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinSet,
    time::timeout,
};

use crate::{
    client::settings::VoterTransport,
    member::VoterMember,
    message::{VoterReply, VoterRequest},
};

/// The index of a voter and its reply, or `None` if the reply was lost.
pub(crate) type IndexedReply = (usize, Option<VoterReply>);

/// Sends requests to voters.
///
/// Requests of [`RequestDispatcher::send_all`] run to completion even if nothing waits for their
/// replies any more, because a voter that is left out of a round would lag behind.
pub(crate) struct RequestDispatcher {
    transport: VoterTransport,
    attempt_timeout: Duration,
    tasks: Mutex<JoinSet<()>>,
}

impl RequestDispatcher {
    pub(crate) fn new(transport: VoterTransport, attempt_timeout: Duration) -> Self {
        Self {
            transport,
            attempt_timeout,
            tasks: Mutex::default(),
        }
    }

    /// Sends each request to the member at the same index and returns the channel of the replies.
    pub(crate) fn send_all(
        &self,
        members: &[VoterMember],
        requests: Vec<VoterRequest>,
    ) -> UnboundedReceiver<IndexedReply> {
        let (sender, receiver) = unbounded_channel();
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        for (index, (member, request)) in members.iter().zip(requests).enumerate() {
            let answer = (self.transport)(member.clone(), request);
            let sender = sender.clone();
            let limit = self.attempt_timeout;
            tasks.spawn(async move {
                let reply = timeout(limit, answer).await.ok().flatten();
                // The caller may have stopped waiting once it had enough replies.
                let _ = sender.send((index, reply));
            });
        }
        receiver
    }

    /// Sends one request and waits for its reply.
    pub(crate) async fn send_one(
        &self,
        member: &VoterMember,
        request: VoterRequest,
    ) -> Option<VoterReply> {
        let answer = (self.transport)(member.clone(), request);
        timeout(self.attempt_timeout, answer).await.ok().flatten()
    }

    /// Waits for requests that are in flight.
    pub(crate) async fn close(&self) {
        let mut tasks = {
            let mut tasks = lock(&self.tasks);
            std::mem::take(&mut *tasks)
        };
        while tasks.join_next().await.is_some() {}
    }
}
