//! Handles calls from other daemons.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use fulmarweir_pool::TargetError;
use fulmarweir_wire::TrafficClass;

use crate::{
    dispatch::{send_over_pool, send_to_holder},
    fleet_driver::receive_message,
    node::NodeState,
    peer_message::{ConfigCopy, PeerReply, PeerRequest, SubAnswer, SubQuery},
};

type ReplyFuture = Pin<Box<dyn Future<Output = PeerReply> + Send>>;

/// Handles one call. Dropping the returned future cancels the work.
pub(crate) fn handle_peer(
    node: &Arc<NodeState>,
    _connection: SocketAddr,
    request: PeerRequest,
) -> (TrafficClass, ReplyFuture) {
    let node = Arc::clone(node);
    match request {
        PeerRequest::SubQuery(query) => {
            let work = async move { PeerReply::SubQuery(run_sub_query(&node, *query).await) };
            (TrafficClass::Query, Box::pin(work))
        }
        control => {
            let work = async move { handle_control(&node, control).await };
            (TrafficClass::Control, Box::pin(work))
        }
    }
}

async fn handle_control(node: &Arc<NodeState>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Fleet { from, message } => {
            receive_message(node, from, *message);
            PeerReply::Taken
        }
        PeerRequest::FetchConfig => {
            let current = node.config.current();
            PeerReply::Config(ConfigCopy {
                version: current.version,
                text: Arc::clone(&current.text),
            })
        }
        PeerRequest::Voter(request) => {
            let reply = match &node.voter {
                Some(voter) => Some(Box::new(voter.handle(*request).await)),
                None => None,
            };
            PeerReply::Voter(reply)
        }
        PeerRequest::SubQuery(query) => PeerReply::SubQuery(run_sub_query(node, *query).await),
    }
}

async fn run_sub_query(node: &NodeState, query: SubQuery) -> Result<SubAnswer, TargetError> {
    let target = query.target.clone();
    let request = query.into_request(node.timer.now());
    let answer = match target {
        Some(target) => send_over_pool(node, &target, request).await?,
        None => send_to_holder(node, request).await?,
    };
    Ok(SubAnswer {
        body: answer.body,
        load: answer.load,
    })
}
