//! Tells keepers of requests that were lost with their targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::lock;
use fulmarweir_route::CrashCall;
use fulmarweir_wire::TrafficClass;
use futures::{StreamExt, stream::FuturesUnordered};
use slog::warn;
use tokio_util::sync::CancellationToken;

use super::{
    entry::EntryNode,
    vm_message::{VmReply, VmRequest},
};

/// Period of the checks for keepers that were not told everything, in milliseconds.
const PERIOD_MS: u64 = 500;
/// Time limit of one call, in milliseconds: a round trip between regions, and some lag.
const CALL_TIMEOUT_MS: u64 = 400;

/// Tells each keeper what this VM knows of lost requests, until stopped.
pub(super) async fn run_crash_news(node: Arc<EntryNode>, stop: CancellationToken) {
    let period = Duration::from_millis(PERIOD_MS);
    let mut calls = FuturesUnordered::new();
    loop {
        let now = node.timer.now();
        let alive: Vec<SocketAddr> = node.directory.alive(now).iter().map(|k| k.peers).collect();
        for call in lock(&node.selector).due_crash_calls(&alive, now) {
            calls.push(tell_keeper(&node, call));
        }
        let has_more = lock(&node.selector).has_crash_news();
        tokio::select! {
            () = stop.cancelled() => return,
            Some((call, is_delivered)) = calls.next() => {
                let now = node.timer.now();
                lock(&node.selector).record_crash_call_end(&call, is_delivered, now);
            }
            () = node.crash_news.notified() => {}
            () = node.timer.sleep_until(now + period), if has_more => {}
        }
    }
}

/// Returns the call with whether the keeper has got it.
async fn tell_keeper(node: &EntryNode, call: CrashCall) -> (CrashCall, bool) {
    let request = VmRequest::Crashes(Box::new(call.news.clone()));
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let reply = node
        .peers
        .call(call.keeper, TrafficClass::Control, &request, timeout);
    let fault = match reply.await {
        Ok(VmReply::Noted) => None,
        Ok(_) => Some("the peer is not a keeper".to_owned()),
        Err(error) => Some(error.to_string()),
    };
    let is_delivered = fault.is_none();
    if let Some(fault) = fault
        && node.request_log.acquire_degraded_line(node.timer.now())
    {
        warn!(node.log, "crash-news-not-told"; "keeper" => %call.keeper,
            "crashes" => call.news.crashes.len(), "answers" => call.news.answers.len(),
            "fault" => fault);
    }
    (call, is_delivered)
}
