//! Runs one search: one attempt for each shard of the newest version.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, TargetRecord};
use fulmarweir_conf::ServicePlan;
use fulmarweir_pool::{RequestKind, TargetRequest};
use futures::future::join_all;
use serde_json::Value;

use crate::{dispatch::send_attempt, node::NodeState};

/// What an answer covers, and its hits.
pub(crate) struct SearchAnswer {
    pub(crate) version: u64,
    pub(crate) shards: u32,
    pub(crate) missing: Vec<u32>,
    pub(crate) hits: Vec<Value>,
}

/// Searches all shards of the newest version that any usable target holds.
pub(crate) async fn run_search(
    node: &NodeState,
    plan: &ServicePlan,
    body: Bytes,
    deadline: MonoTime,
) -> Option<SearchAnswer> {
    let targets = node.registry.usable(node.timer.now());
    let (version, of, holders) = newest_version(plan, &targets)?;
    let request_id = node.new_request_id();
    let attempts = holders.into_iter().map(|(shard, target)| {
        let request = TargetRequest {
            service: plan.name.clone(),
            kind: RequestKind::Search,
            request: Arc::clone(&request_id),
            attempt: format!("{request_id}-{shard}").into(),
            version,
            shard,
            of,
            deadline,
            key: None,
            body: body.clone(),
        };
        async move {
            let answer = send_attempt(node, plan, &target, request).await;
            (shard, answer)
        }
    });
    let mut hits = Vec::new();
    let mut missing: Vec<u32> = (0..of).collect();
    for (shard, answer) in join_all(attempts).await {
        let Ok(answer) = answer else {
            continue;
        };
        let Ok(Value::Object(mut body)) = serde_json::from_slice(&answer.body) else {
            continue;
        };
        if let Some(Value::Array(found)) = body.remove("hits") {
            hits.extend(found);
            missing.retain(|other| *other != shard);
        }
    }
    Some(SearchAnswer {
        version,
        shards: of,
        missing,
        hits,
    })
}

type ShardHolders = BTreeMap<u32, Arc<TargetRecord>>;

fn newest_version(
    plan: &ServicePlan,
    targets: &[Arc<TargetRecord>],
) -> Option<(u64, u32, ShardHolders)> {
    let own = || targets.iter().filter(|target| target.service == plan.name);
    let holdings = own().flat_map(|target| &target.versions);
    let newest = holdings.max_by_key(|holding| holding.version)?;
    let mut holders = ShardHolders::new();
    for target in own() {
        for holding in &target.versions {
            if holding.version == newest.version {
                holders.insert(holding.shard, Arc::clone(target));
            }
        }
    }
    Some((newest.version, newest.of, holders))
}
