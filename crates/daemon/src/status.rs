//! Status reports for operators.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::{
    CentreName, RegionName, ServiceName, ShardHolding, TargetName, TargetState, VmName, lock,
};
use fulmarweir_fleet::MemberStatus;
use fulmarweir_wire::TrafficClass;
use serde::Serialize;

use crate::{lifecycle::LifecyclePhase, metrics::ClassLabel, node::NodeState};

/// The body of `GET /v1/status`.
#[derive(Serialize)]
pub(crate) struct StatusReport {
    vm: VmName,
    centre: CentreName,
    region: RegionName,
    ready: bool,
    phase: &'static str,
    config: ConfigReport,
    members: Vec<MemberReport>,
    centres: Vec<CentreReport>,
    voters: VoterReport,
    targets: TargetCounts,
}

#[derive(Serialize)]
struct ConfigReport {
    version: u64,
    digest: String,
    highest_known: u64,
}

#[derive(Serialize)]
struct MemberReport {
    vm: VmName,
    centre: CentreName,
    address: SocketAddr,
    state: &'static str,
    config_version: u64,
}

#[derive(Serialize)]
struct CentreReport {
    centre: CentreName,
    live_vms: u32,
    config_version: u64,
    contacts: Vec<VmName>,
}

#[derive(Serialize)]
struct VoterReport {
    epoch: u64,
    set: Vec<VoterState>,
}

#[derive(Serialize)]
struct VoterState {
    vm: VmName,
    address: SocketAddr,
    state: &'static str,
}

#[derive(Serialize)]
struct TargetCounts {
    usable: usize,
    known: usize,
}

/// The body of `GET /v1/targets`.
#[derive(Serialize)]
pub(crate) struct TargetList {
    targets: Vec<TargetReport>,
}

#[derive(Serialize)]
struct TargetReport {
    name: TargetName,
    service: ServiceName,
    address: SocketAddr,
    state: TargetState,
    usable: bool,
    incarnation: u64,
    slots: u32,
    connections: u32,
    versions: Vec<ShardHolding>,
    brokers: Vec<VmName>,
}

fn member_state(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}

/// Collects the status of this VM, and queries the voters for theirs.
pub(crate) async fn status_report(node: &NodeState) -> StatusReport {
    let voters = voter_report(node).await;
    let current = node.config.current();
    let phase = node.lifecycle.phase();
    let fleet = lock(&node.fleet);
    let table = fleet.targets();
    let members = fleet.members().into_iter().map(|member| MemberReport {
        vm: member.identity.name.clone(),
        centre: member.identity.centre.clone(),
        address: member.identity.peers,
        state: member_state(member.status),
        config_version: member.config.version,
    });
    let centres = fleet.centres().map(|record| CentreReport {
        centre: record.centre.clone(),
        live_vms: record.live_vms,
        config_version: record.config_version,
        contacts: record.contacts.iter().map(|vm| vm.name.clone()).collect(),
    });
    StatusReport {
        vm: node.settings.name.clone(),
        centre: node.settings.centre.clone(),
        region: node.settings.region.clone(),
        ready: phase == LifecyclePhase::Ready,
        phase: phase.as_str(),
        config: ConfigReport {
            version: current.version,
            digest: current.digest.to_string(),
            highest_known: fleet.newest_known_config().version,
        },
        members: members.collect(),
        centres: centres.collect(),
        voters,
        targets: TargetCounts {
            usable: table.iter().filter(|entry| entry.usable).count(),
            known: table.iter().count(),
        },
    }
}

async fn voter_report(node: &NodeState) -> VoterReport {
    let health = node.quorum.voter_health().await;
    let set = health.into_iter().map(|voter| VoterState {
        vm: voter.member.name,
        address: voter.member.address,
        state: match (voter.reachable, voter.caught_up) {
            (true, true) => "ok",
            (true, false) => "not-whole",
            (false, _) => "unreachable",
        },
    });
    VoterReport {
        epoch: node.quorum.voters().epoch,
        set: set.collect(),
    }
}

/// Lists the targets that this VM knows.
pub(crate) fn target_report(node: &NodeState) -> TargetList {
    let table = lock(&node.fleet).targets();
    let targets = table.iter().map(|entry| TargetReport {
        name: entry.record.name.clone(),
        service: entry.record.service.clone(),
        address: entry.record.address,
        state: entry.record.state,
        usable: entry.usable,
        incarnation: entry.record.incarnation,
        slots: entry.record.slots,
        connections: entry.record.connections,
        versions: entry.record.versions.clone(),
        brokers: entry.brokers.iter().map(|vm| vm.name.clone()).collect(),
    });
    TargetList {
        targets: targets.collect(),
    }
}

/// Updates the gauges that are read from other state, before the metrics are rendered.
pub(crate) fn update_gauges(node: &Arc<NodeState>) {
    let metrics = &node.metrics;
    metrics.config_version.set(node.config.current().version);
    metrics
        .connections
        .set(u64::from(node.pools.usage().connections));
    let members = lock(&node.fleet).members();
    let alive = members
        .iter()
        .filter(|member| member.status == MemberStatus::Alive)
        .count();
    metrics.members.set(alive as u64);
    for (class, label) in [
        (TrafficClass::Control, "control"),
        (TrafficClass::Query, "query"),
    ] {
        let totals = node.meter.totals(class);
        let label = ClassLabel { class: label };
        metrics.peer_bytes.get_or_create(&label).set(totals.bytes);
        metrics.peer_calls.get_or_create(&label).set(totals.calls);
    }
}
